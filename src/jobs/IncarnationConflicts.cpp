#include "jobs/IncarnationConflicts.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Twice the longest pause between two reports of a live server, so the
/// registered incarnation would have reported by then.
static constexpr Duration TakeoverDelay = 1s;
/// Claims expire after this time: a running server proves its claim or is
/// refused much sooner.
static constexpr Duration ClaimExpiry = 60s;
/// A server without an answer reports again after a second by its clock, which
/// may be slow. Two reports with less between them enclose an answer.
static constexpr std::uint64_t MaxAnsweredMs = 900;

bool IncarnationConflicts::recordReport(const Claim &Value,
                                        const ServerReport &Report,
                                        TimePoint ReceivedAt,
                                        TimePoint RegisteredHeard,
                                        TimePoint Now) {
  std::erase_if(Claims_, [Now](const auto &Entry) {
    return Now - Entry.second.Begin_ > ClaimExpiry;
  });
  const auto [It, IsNew] = Claims_.try_emplace(Value, Progress{Now});
  Progress &Known = It->second;
  // The registered incarnation has reported since the claim began.
  const bool IsVoid = RegisteredHeard > Known.Begin_;
  if (IsVoid)
    Known = Progress{Now};
  // Delayed reports of an incarnation that has ended arrive out of order, with
  // longer pauses between their sending, or were sent before the answer.
  const bool IsAfterAnswer =
      Known.LastSequence_ != 0 && Report.Sequence_ > Known.LastSequence_ &&
      Report.ServerClockMs_ > Known.LastClockMs_ &&
      Report.ServerClockMs_ - Known.LastClockMs_ <= MaxAnsweredMs &&
      ReceivedAt >= Known.AnsweredAt_;
  Known.IsRunning_ = Known.IsRunning_ || IsAfterAnswer;
  if (Report.Sequence_ > Known.LastSequence_) {
    Known.LastSequence_ = Report.Sequence_;
    Known.LastClockMs_ = Report.ServerClockMs_;
    Known.AnsweredAt_ = Now;
  }
  return IsNew || IsVoid;
}

void IncarnationConflicts::recordFlush(const Claim &Value, TimePoint Begin) {
  const auto It = Claims_.find(Value);
  if (It != Claims_.end() && It->second.Begin_ == Begin)
    It->second.IsFlushed_ = true;
}

bool IncarnationConflicts::mayTakeOver(const Claim &Value,
                                       TimePoint Now) const {
  const auto It = Claims_.find(Value);
  if (It == Claims_.end() || !It->second.IsFlushed_)
    return false;
  return (Value.AreOfSameServer_ && It->second.IsRunning_) ||
         Now - It->second.Begin_ >= TakeoverDelay;
}

void IncarnationConflicts::forget(const std::string &Successor) {
  std::erase_if(Claims_, [&Successor](const auto &Entry) {
    return Entry.first.Successor_ == Successor;
  });
}
