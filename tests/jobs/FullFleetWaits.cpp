// How long the long-running tasks of FullFleet wait, and beside which room.
#include "jobs/FullFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

/// Returns whether two tasks like this one would fit, on one server in service
/// or on two.
bool FullFleet::hasRoomForTwo(const TaskKey &Task, const StepSpec &Spec) const {
  std::size_t Fitting = 0;
  for (const Server &Backend : Servers_) {
    if (!isInService(Backend) || !mayRun(Backend, Task, Spec) ||
        !Spec.Need_.fitsIn(Backend.Free_))
      continue;
    const bool FitsTwice = Spec.SpreadLimit_ != 1 &&
                           (Spec.Need_ + Spec.Need_).fitsIn(Backend.Free_);
    Fitting += FitsTwice ? 2 : 1;
    if (Fitting >= 2)
      return true;
  }
  return false;
}

void FullFleet::lookForTasksDownBesideRoom() {
  for (auto &[Task, Entry] : LongRunning_) {
    const bool IsDown =
        Entry.DownSince_ && Time_.now() - *Entry.DownSince_ >= MaxDownTime;
    if (!IsDown || !hasRoomForTwo(Task, Entry.Spec_)) {
      Entry.RoomLooks_ = 0;
      continue;
    }
    if (++Entry.RoomLooks_ != RoomLooks)
      continue;
    if (TasksDownBesideRoom_++ == 0)
      FirstDownBesideRoom_ = describe(Task, Entry, " two servers, or twice");
  }
}

void FullFleet::look() {
  updateLostPlacements();
  countLongAbsences();
  std::size_t Count = 0;
  for (auto &[Task, Entry] : LongRunning_)
    if (!Entry.IsRunning_ && Entry.CountsFrom_ <= Time_.now()) {
      ++Count;
      measureWait(Task, Entry);
    }
  if (Time_.now() - BeganAt_ > FillTime)
    MostWaiting_ = std::max(MostWaiting_, Count);
}

void FullFleet::measureWait(const TaskKey &Task, LongRunningTask &Waiting) {
  const StepSpec &Spec = Waiting.Spec_;
  std::string Free;
  std::string Reclaimable;
  for (const Server &Backend : Servers_) {
    if (!isInService(Backend) || !mayRun(Backend, Task, Spec))
      continue;
    if (Spec.Need_.fitsIn(Backend.Free_))
      Free += " " + Backend.Id_;
    if (Spec.Need_.fitsIn(Backend.Free_ + Backend.UsedByShortWork_))
      Reclaimable += " " + Backend.Id_;
  }
  const auto Measure = [&](const std::string &Where,
                           std::optional<TimePoint> &Since, Duration &Longest,
                           std::string &Description) {
    if (Where.empty())
      return Since.reset();
    if (!Since)
      Since = Time_.now();
    if (Time_.now() - *Since <= Longest)
      return;
    Longest = Time_.now() - *Since;
    Description = describe(Task, Waiting, Where);
  };
  Measure(Free, Waiting.RoomSince_, MaxWaitBesideRoom_, LongestWait_);
  Measure(Reclaimable, Waiting.ReclaimableSince_, MaxWaitBesideShortWork_,
          LongestWaitBesideShortWork_);
}

std::string FullFleet::describe(const TaskKey &Task,
                                const LongRunningTask &Waiting,
                                const std::string &Where) const {
  const auto ToText = [](Duration Time) {
    return std::to_string(Time / 1ms) + " ms";
  };
  return Task.Job_ + "." + std::to_string(Task.Index_) + " (" +
         std::to_string(Waiting.Spec_.Need_.MilliCpus_) +
         " mCPU) waits since " + ToText(Waiting.WaitingSince_ - BeganAt_) +
         ", now " + ToText(Time_.now() - BeganAt_) + ", room on" + Where;
}
