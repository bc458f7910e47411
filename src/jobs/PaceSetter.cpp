#include "jobs/PaceSetter.h"

#include "jobs/PacePlan.h"

#include <algorithm>
#include <optional>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// How soon a server reports again whose paces are changing: its tails are
/// measured over half a second. One whose paces rest reports as usual, or the
/// leader would hear a sixth more.
static constexpr std::uint64_t PacedReportMs = 250;
/// An answer may be lost: a pace is told again after so long, where the use is
/// off by more than the scatter of a report (percent of the need).
static constexpr Duration PaceRepeat = 1500ms;
static constexpr std::uint64_t PaceScatter = 25;
static constexpr std::uint64_t Percent = 100;

void PaceSetter::note(const ServerReport &Report) {
  const std::string &Id = Report.Facts_.Id_;
  const ServerTails Found = Machine_.read([&](const JobRegistry &Book) {
    return Learner_.learn(Book, Report, Time_.now());
  });
  if (!Found.HasServing_)
    return Paces_.forget(Id);
  const std::uint64_t Before = Paces_.getLeast(Id);
  Paces_.note(Id, {Found.WorstPercent_, Found.HasFilling_},
              planPaces(Effects_, Found.Serving_.WorstBases_, Found.Asked_,
                        Found.LeftShare_),
              Time_.now());
  const std::uint64_t After = Paces_.getLeast(Id);
  if (After == Before)
    return;
  Event Line;
  Line.Kind_ = EventKind::TaskPaced;
  Line.Server_ = Id;
  Line.Count_ = After;
  Line.Reason_ = "worst tail at " + std::to_string(Found.WorstPercent_) +
                 "% of its target";
  Line.Outcome_ = "all at most " + std::to_string(Paces_.getGuarded(Id));
  Log_.write(Line);
}

/// Whether the processors used don't go with the pace: clearly more, or less
/// than half.
static bool isUnlike(std::uint64_t Used, const StepSpec &Step,
                     std::uint64_t Pace) {
  const auto Need = static_cast<std::uint64_t>(Step.Need_.MilliCpus_);
  const std::uint64_t Wanted = Need * Pace / Percent;
  return Used > Wanted + Need * PaceScatter / Percent || Used < Wanted / 2;
}

void PaceSetter::addPaces(const ServerReport &Report, LiveServer &Live,
                          ServerOrders &Orders) const {
  const std::string &Id = Report.Facts_.Id_;
  if (!Paces_.isToBeTold(Id, Time_.now()))
    return;
  const TimePoint Now = Time_.now();
  std::map<TaskKey, PaceSent> Sent;
  if (Paces_.isMoving(Id, Now))
    Orders.NextReportMs_ = PacedReportMs;
  Machine_.read([&](const JobRegistry &Book) {
    const auto Add = [&](const TaskKey &Task, std::uint64_t Run,
                         std::optional<std::uint64_t> Used) {
      const StepSpec *Step = Book.findStep(Task);
      if (!Step || !Step->Fills_)
        return;
      const std::uint64_t Wanted = Paces_.getPace(Id, Step->Image_);
      PaceSent Own{Run, 100, Now};
      const auto Before = Live.PacesSent_.find(Task);
      if (Before != Live.PacesSent_.end() && Before->second.Run_ == Run)
        Own = Before->second;
      // An order that comes again begins its delay anew, so it is repeated only
      // where the task works as if it had not arrived.
      const bool IsLost = Used && Now - Own.At_ >= PaceRepeat &&
                          isUnlike(*Used, *Step, Own.Percent_);
      if (Own.Percent_ != Wanted || IsLost) {
        Orders.Paces_.push_back({Task, Run, Wanted});
        Own = {Run, Wanted, Now};
      }
      Sent[Task] = Own;
    };
    for (const RunningTask &Running : Report.Running_)
      Add(Running.Task_, Running.Run_, Running.Measure_);
    for (const StartOrder &Start : Orders.Starts_)
      Add(Start.Task_, Start.Run_, std::nullopt);
    return 0;
  });
  Live.PacesSent_ = std::move(Sent);
}
