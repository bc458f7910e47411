#include "jobs/PaceSetter.h"

#include "jobs/PacePlan.h"

#include <algorithm>
#include <optional>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Report interval of a server whose paces are changing: its tails are averages
/// over half a second. A server with stable paces reports as usual; otherwise
/// the leader would receive a sixth more reports.
static constexpr std::uint64_t AdjustingReportMs = 250;
/// Answers may be lost: a pace is sent again after this time if the use
/// deviates by more than the scatter of a report (percent of the need).
static constexpr Duration PaceRepeatDelay = 1500ms;
/// A new leader does not know the paces that runs have from an earlier one. For
/// this long, which is four orders, it tells them by the use.
static constexpr Duration PaceCheckTime = 4 * PaceRepeatDelay;
static constexpr std::uint64_t MaxTolerancePercent = 25;
/// The scatter is proportional to the use, so a task that should hardly work is
/// recognized by little use.
static constexpr std::uint64_t MinTolerancePercent = 5;
static constexpr std::uint64_t Percent = 100;

void PaceSetter::updatePaces(const ServerReport &Report) {
  const std::string &Id = Report.Facts_.Id_;
  const ServerTails Tails = Machine_.read([&](const JobRegistry &Registry) {
    return Learner_.learn(Registry, Report, Time_.now());
  });
  if (!Tails.HasServing_)
    return Paces_.forget(Id);
  const std::uint64_t Before = Paces_.getMinPace(Id);
  Paces_.update(Id, {Tails.WorstPercent_, Tails.HasFilling_},
                planPaces(Interference_, Tails.Serving_.WorstBaselines_,
                          Tails.RequestedShares_, Tails.AvailableShare_),
                Time_.now());
  const std::uint64_t After = Paces_.getMinPace(Id);
  if (After == Before)
    return;
  Event Line;
  Line.Kind_ = EventKind::TaskPaced;
  Line.Server_ = Id;
  Line.Count_ = After;
  Line.Reason_ = "worst tail at " + std::to_string(Tails.WorstPercent_) +
                 "% of its target";
  Line.Outcome_ =
      "pace limit for all images: " + std::to_string(Paces_.getLimit(Id));
  Log_.write(Line);
}

/// Returns whether the used processors do not match the pace: clearly more, or
/// less than half.
static bool deviatesFromPace(std::uint64_t Used, const StepSpec &Step,
                             std::uint64_t Pace) {
  const auto Need = static_cast<std::uint64_t>(Step.Need_.MilliCpus_);
  const std::uint64_t Expected = Need * Pace / Percent;
  const std::uint64_t Tolerance =
      std::clamp(Expected / 2, Need * MinTolerancePercent / Percent,
                 Need * MaxTolerancePercent / Percent);
  return Used > Expected + Tolerance || Used < Expected / 2;
}

/// Returns whether runs on the server may still have paces from an earlier
/// leader.
static bool mayHaveEarlierPaces(LiveServer &Live, TimePoint Now) {
  if (!Live.MayHavePaces_)
    return false;
  if (!Live.PacesCheckedSince_)
    Live.PacesCheckedSince_ = Now;
  Live.MayHavePaces_ = Now - *Live.PacesCheckedSince_ <= PaceCheckTime;
  return Live.MayHavePaces_;
}

void PaceSetter::addPaceOrders(const ServerReport &Report, LiveServer &Live,
                               ServerOrders &Orders) const {
  const std::string &Id = Report.Facts_.Id_;
  const TimePoint Now = Time_.now();
  const bool MayDiffer = mayHaveEarlierPaces(Live, Now);
  if (!MayDiffer && !Paces_.needsOrders(Id, Now))
    return;
  std::map<TaskKey, PaceSent> Sent;
  if (Paces_.isAdjusting(Id, Now))
    Orders.NextReportMs_ = AdjustingReportMs;
  Machine_.read([&](const JobRegistry &Registry) {
    const auto AddPace = [&](const TaskKey &Task, std::uint64_t Run,
                             std::optional<std::uint64_t> Used) {
      const StepSpec *Step = Registry.findStep(Task);
      if (!Step || !Step->Fills_)
        return;
      const std::uint64_t NewPace = Paces_.getPace(Id, Step->Image_);
      PaceSent LastSent{Run, 100, Now};
      const auto It = Live.PacesSent_.find(Task);
      if (It != Live.PacesSent_.end() && It->second.Run_ == Run)
        LastSent = It->second;
      // A repeated order restarts its delay on the server, so it is sent only
      // if the task runs as if the first one had not arrived.
      const bool IsLost = Used && Now - LastSent.At_ >= PaceRepeatDelay &&
                          deviatesFromPace(*Used, *Step, LastSent.Percent_);
      if (LastSent.Percent_ != NewPace || IsLost) {
        Orders.Paces_.push_back({Task, Run, NewPace});
        LastSent = {Run, NewPace, Now};
      }
      Sent[Task] = LastSent;
    };
    for (const RunningTask &Running : Report.Running_)
      AddPace(Running.Task_, Running.Run_, Running.Measure_);
    for (const StartOrder &Start : Orders.Starts_)
      AddPace(Start.Task_, Start.Run_, std::nullopt);
    return 0;
  });
  Live.PacesSent_ = std::move(Sent);
}
