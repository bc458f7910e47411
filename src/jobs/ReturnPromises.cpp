#include "jobs/ReturnPromises.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A caller is in time from a little before it was told to return: its clock
/// and the network are not exact.
static constexpr Duration Tolerance = 100ms;

bool ReturnPromise::isOpen(TimePoint Now) const {
  return Now >= OpensAt_ - Tolerance && Now <= ClosesAt_;
}

void ReturnPromises::reset() {
  Promises_.clear();
  Reservations_.clear();
  Order_.clear();
}

void ReturnPromises::put(const std::string &Id, const ReturnPromise &Promise,
                         const JobDemand &Demand) {
  remove(Id);
  while (Promises_.size() >= MaxPromises) {
    const auto [Number, Oldest] = std::move(Order_.front());
    Order_.pop_front();
    const auto It = Promises_.find(Oldest);
    if (It != Promises_.end() && It->second.Number_ == Number)
      remove(Oldest);
  }
  const std::uint64_t Number = ++LastNumber_;
  Promises_[Id] = {Promise, Number};
  Order_.emplace_back(Number, Id);
  for (const ClassDemand &Class : Demand.Classes_)
    Reservations_.push_back({Number, Demand.Priority_, Class.Class_,
                             Promise.DataCentre_, Class.Work_, Promise.OpensAt_,
                             Promise.ClosesAt_});
}

void ReturnPromises::remove(const std::string &Id) {
  const auto It = Promises_.find(Id);
  if (It == Promises_.end())
    return;
  std::erase_if(Reservations_, [&It](const Reservation &Reserved) {
    return Reserved.Number_ == It->second.Number_;
  });
  Promises_.erase(It);
}

void ReturnPromises::prune(TimePoint Now) {
  std::erase_if(Reservations_, [Now](const Reservation &Reserved) {
    return Reserved.ClosesAt_ < Now;
  });
  std::erase_if(Promises_, [Now](const auto &Entry) {
    const ReturnPromise &Promise = Entry.second.Promise_;
    return std::max(Promise.Limit_, Promise.ClosesAt_) < Now;
  });
  std::erase_if(Order_, [this](const auto &Entry) {
    const auto It = Promises_.find(Entry.second);
    return It == Promises_.end() || It->second.Number_ != Entry.first;
  });
}

const ReturnPromise *ReturnPromises::find(const std::string &Id) const {
  const auto It = Promises_.find(Id);
  return It == Promises_.end() ? nullptr : &It->second.Promise_;
}

std::vector<double> ReturnPromises::sum(const std::string &Id,
                                        const JobDemand &Demand,
                                        TimePoint Until,
                                        const std::vector<bool> &Counts,
                                        TimePoint Now) const {
  const auto Own = Promises_.find(Id);
  const std::uint64_t OwnNumber =
      Own == Promises_.end() ? 0 : Own->second.Number_;
  std::vector<double> Result(Demand.Classes_.size());
  for (const Reservation &Reserved : Reservations_) {
    const bool GoesFirst =
        Reserved.Priority_ < Demand.Priority_ ||
        (Reserved.Priority_ == Demand.Priority_ &&
         Reserved.DataCentre_ < Counts.size() && Counts[Reserved.DataCentre_]);
    if (!GoesFirst || Reserved.Number_ == OwnNumber ||
        Reserved.OpensAt_ > Until || Reserved.ClosesAt_ < Now)
      continue;
    for (std::size_t I = 0; I < Result.size(); ++I)
      if (Demand.Classes_[I].Class_ == Reserved.Class_)
        Result[I] += Reserved.Work_;
  }
  return Result;
}
