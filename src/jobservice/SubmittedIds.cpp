#include "jobservice/SubmittedIds.h"

#include <functional>

using namespace tulipweir;
using namespace tulipweir::jobservice;

static std::uint64_t hashId(std::string_view Id) {
  return std::hash<std::string_view>()(Id);
}

void SubmittedIds::beginAttempt(std::string_view Id) {
  ++Attempts_[hashId(Id)];
}

void SubmittedIds::endAttempt(std::string_view Id, bool MayBeAccepted,
                              TimePoint Now) {
  const Key Hash = hashId(Id);
  const auto It = Attempts_.find(Hash);
  if (It != Attempts_.end() && --It->second == 0)
    Attempts_.erase(It);
  if (MayBeAccepted)
    keep(Hash, Now);
}

void SubmittedIds::keep(Key Id, TimePoint Now) {
  KeptAt_[Id] = Now;
  Order_.emplace_back(Now, Id);
  // A row per attempt, so the rows are bounded as well as the ids.
  while (Order_.size() > Settings_.MaxIds_ ||
         Now - Order_.front().first > Settings_.Retention_) {
    const auto [At, Oldest] = Order_.front();
    Order_.pop_front();
    const auto It = KeptAt_.find(Oldest);
    if (It != KeptAt_.end() && It->second == At)
      KeptAt_.erase(It);
  }
}

bool SubmittedIds::mayBeAccepted(std::string_view Id, TimePoint Now) const {
  const Key Hash = hashId(Id);
  if (Attempts_.contains(Hash))
    return true;
  const auto It = KeptAt_.find(Hash);
  return It != KeptAt_.end() && Now - It->second <= Settings_.Retention_;
}
