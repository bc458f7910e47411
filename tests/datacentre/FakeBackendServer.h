//===- FakeBackendServer.h - Backend server under lease rules ---*- C++ -*-===//
//
// Simulates a backend server that follows docs/LEASES.md and has a drifting
// clock. It accepts replies in any order.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_DATACENTRE_FAKEBACKENDSERVER_H
#define TULIPWEIR_TESTS_DATACENTRE_FAKEBACKENDSERVER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/wire/Messages.h"

#include <map>
#include <vector>

namespace tulipweir::datacentre {

/// Returns Length multiplied by Factor.
inline Duration scale(Duration Length, double Factor) {
  const double Scaled = static_cast<double>(Length.count()) * Factor;
  return Duration(static_cast<std::int64_t>(Scaled));
}

/// A clock with a wrong rate. Tests count in real time.
struct DriftingClock {
  double Rate_ = 1;
  Duration Offset_ = std::chrono::hours(1);
  TimePoint at(Duration RealTime) const {
    return TimePoint(Offset_ + scale(RealTime, Rate_));
  }
};

class FakeBackendServer {
public:
  struct Held {
    wire::AttemptReport Report_;
    Resources Reservation_;
    TimePoint LeaseEnd_;
    std::uint64_t EndShownBy_ = 0; ///< First announcement of its end.
  };

  BackendServerId Id_;
  DriftingClock Clock_;
  Resources Capacity_;
  Duration StopDelay_{};
  int Boot_ = 0;
  bool Draining_ = false;
  std::uint64_t Sequence_ = 0;
  std::map<TaskId, Held> Held_;

  void reboot() {
    ++Boot_;
    Sequence_ = 0;
    Held_.clear();
    HighestToken_.clear();
    SentAt_.clear();
  }
  BootId getBootId() const { return BootId("b" + std::to_string(Boot_)); }

  wire::Announcement announce(Duration RealTime) {
    wire::Announcement A;
    A.Server_ = Id_;
    A.Boot_ = getBootId();
    A.Capacity_ = Capacity_;
    A.Slots_ = A.Connections_ = 8;
    A.Draining_ = Draining_;
    A.Sequence_ = ++Sequence_;
    SentAt_[Sequence_] = Clock_.at(RealTime);
    for (auto &[Task, H] : Held_) {
      A.Attempts_.push_back(H.Report_);
      if (H.Report_.State_ != wire::AttemptState::Running && !H.EndShownBy_)
        H.EndShownBy_ = Sequence_;
    }
    return A;
  }

  void onReply(std::uint64_t Sequence, const wire::AnnouncementReply &Reply,
               Duration RealTime) {
    const TimePoint LeaseEnd =
        SentAt_.at(Sequence) + std::chrono::milliseconds(Reply.LeaseTtlMs_);
    for (const wire::TaskCommand &C : Reply.Commands_) {
      if (C.Kind_ == wire::TaskCommandKind::Start)
        start(C, LeaseEnd, RealTime);
      if (C.Kind_ == wire::TaskCommandKind::Stop)
        stop(C, Sequence);
      const auto H = Held_.find(C.Task_);
      if (C.Kind_ == wire::TaskCommandKind::Checkpoint && H != Held_.end() &&
          isRunning(H->second) && H->second.Report_.Token_ == C.Token_) {
        H->second.Report_.Checkpoint_ = std::to_string(C.Attempt_.value());
        H->second.Report_.State_ = wire::AttemptState::Checkpointed;
      }
    }
    for (const wire::LeaseRenewal &R : Reply.Renewals_) {
      const auto H = Held_.find(R.Task_);
      if (H != Held_.end() && H->second.Report_.Token_ == R.Token_)
        H->second.LeaseEnd_ = std::max(H->second.LeaseEnd_, LeaseEnd);
    }
  }

  /// Stops attempts whose lease expired, as late as allowed.
  void tick(Duration RealTime) {
    for (auto &[Task, H] : Held_)
      if (isRunning(H) && Clock_.at(RealTime) >= H.LeaseEnd_ + StopDelay_)
        H.Report_.State_ = wire::AttemptState::Stopped;
  }
  static bool isRunning(const Held &H) {
    return H.Report_.State_ == wire::AttemptState::Running;
  }

private:
  void start(const wire::TaskCommand &C, TimePoint LeaseEnd,
             Duration RealTime) {
    // A token is run once and a lower token never. A start that arrives after
    // its lease expired is ignored.
    if (HighestToken_[C.Task_] >= C.Token_ || Clock_.at(RealTime) >= LeaseEnd)
      return;
    HighestToken_[C.Task_] = C.Token_;
    Held H;
    H.Report_.Task_ = C.Task_;
    H.Report_.Attempt_ = C.Attempt_;
    H.Report_.Token_ = C.Token_;
    H.Reservation_ = C.Reservation_;
    H.LeaseEnd_ = LeaseEnd;
    Held_[C.Task_] = H;
  }
  void stop(const wire::TaskCommand &C, std::uint64_t Sequence) {
    const auto H = Held_.find(C.Task_);
    const bool Same = H != Held_.end() && H->second.Report_.Token_ == C.Token_;
    if (Same && isRunning(H->second)) {
      H->second.Report_.State_ = wire::AttemptState::Stopped;
    } else if (Same) {
      if (H->second.EndShownBy_ && Sequence >= H->second.EndShownBy_)
        Held_.erase(H);
    } else if (H == Held_.end() && HighestToken_[C.Task_] < C.Token_) {
      // The attempt is unknown, and its start may still be in flight. That
      // start is refused from now on.
      HighestToken_[C.Task_] = C.Token_;
      Held Stopped;
      Stopped.Report_.Task_ = C.Task_;
      Stopped.Report_.Attempt_ = C.Attempt_;
      Stopped.Report_.Token_ = C.Token_;
      Stopped.Report_.State_ = wire::AttemptState::Stopped;
      Held_[C.Task_] = Stopped;
    }
  }

  std::map<TaskId, FencingToken> HighestToken_;
  std::map<std::uint64_t, TimePoint> SentAt_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_FAKEBACKENDSERVER_H
