#include "jobs/PaceSetter.h"

#include "jobs/PacePlan.h"
#include "jobs/ServerRoom.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// How soon a server whose filling tasks are paced reports again: its tails are
/// measured over half a second.
static constexpr std::uint64_t PacedReportMs = 250;
/// An answer may be lost: a pace is told again after so long, where the use is
/// off by more than the scatter of a report (percent of the need).
static constexpr Duration PaceRepeat = 1500ms;
static constexpr std::uint64_t PaceScatter = 25;
static constexpr std::uint64_t Percent = 100;

static StepKey getKey(const RunningTask &Running) {
  return {Running.Task_.Job_, Running.Task_.Occurrence_, Running.Task_.Step_};
}

/// A task that is not at work yet has no tail.
void PaceSetter::learn(const RunningTask &Running, const StepSpec &Step,
                       const FillingUse &Use, bool IsTelling) {
  if (Running.Measure_ == 0 || Running.Percent_ < Percent)
    return;
  const StepKey Key = getKey(Running);
  const double LogTail =
      std::log(double(Running.Measure_) / double(Step.TailTargetMs_));
  if (const auto Base = Loads_.findBase(Key); Base && IsTelling)
    Effects_.learn(Step.Image_, Use, std::exp(LogTail - *Base));
  Loads_.note(Key, Step.Image_, LogTail - Effects_.predict(Step.Image_, Use),
              Time_.now());
}

void PaceSetter::noteLoad(const RunningTask &Running, const StepSpec &Step,
                          ServingUse &Use) const {
  const StepKey Key = getKey(Running);
  Use.Reserved_ += Step.Need_.MilliCpus_;
  Use.Used_ += static_cast<std::int64_t>(double(Step.Need_.MilliCpus_) *
                                         Loads_.getLoad(Key));
  const std::optional<double> Base = Loads_.findBase(Key);
  if (!Base)
    return;
  const auto [Worst, IsFirst] = Use.WorstBases_.try_emplace(Step.Image_, *Base);
  Worst->second = std::max(Worst->second, *Base);
}

void PaceSetter::note(const ServerReport &Report) {
  const std::string &Id = Report.Facts_.Id_;
  TailReading Reading;
  ImagePaces Planned;
  bool HasServing = false;
  Machine_.read([&](const JobBook &Book) {
    const double Capacity = double(Report.Facts_.Capacity_.MilliCpus_);
    const ServerRecord *Server = Book.findServer(Id);
    if (!Server)
      return 0;
    FillingUse Use;
    FillingUse Asked;
    double Others = 0; // Used by tasks that neither fill nor serve.
    std::vector<std::pair<const StepSpec *, const RunningTask *>> Tails;
    for (const RunningTask &Running : Report.Running_) {
      const StepSpec *Step = Book.findStep(Running.Task_);
      if (!Step)
        continue;
      if (Step->TailTargetMs_ > 0)
        Tails.emplace_back(Step, &Running);
      if (!Step->Fills_ && Step->TailTargetMs_ == 0)
        Others += double(Running.Measure_);
      if (!Step->Fills_)
        continue;
      Reading.HasFilling_ = true;
      if (Capacity <= 0)
        continue;
      Use[Step->Image_] += double(Running.Measure_) / Capacity;
      Asked[Step->Image_] += double(Step->Need_.MilliCpus_) / Capacity;
    }
    ServingUse Serving;
    for (const auto &[Step, Running] : Tails)
      noteLoad(*Running, *Step, Serving);
    const double Left = Capacity <= 0
                            ? 0
                            : ServerRoom::MostUsed -
                                  (Others + double(Serving.Used_)) / Capacity;
    double Filled = 0;
    for (const auto &[Image, Share] : Use)
      Filled += Share;
    // Where processors are short, all tails grow, whatever fills.
    const bool IsTelling = Filled <= Left;
    // Only now the use of all that fill is known.
    for (const auto &[Step, Running] : Tails) {
      HasServing = true;
      Reading.TailPercent_ =
          std::max(Reading.TailPercent_,
                   Running->Measure_ * Percent / Step->TailTargetMs_);
      learn(*Running, *Step, Use, IsTelling);
    }
    Planned = planPaces(Effects_, Serving.WorstBases_, Asked, Left);
    Loads_.noteServer(Id, std::move(Serving));
    return 0;
  });
  if (!HasServing)
    return Paces_.forget(Id);
  const std::uint64_t Before = Paces_.getLeast(Id);
  Paces_.note(Id, Reading, Planned, Time_.now());
  const std::uint64_t After = Paces_.getLeast(Id);
  if (After == Before)
    return;
  Event Line;
  Line.Kind_ = EventKind::TaskPaced;
  Line.Server_ = Id;
  Line.Count_ = After;
  Line.Reason_ = "worst tail at " + std::to_string(Reading.TailPercent_) +
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

void PaceSetter::addPaces(const ServerReport &Report, ServerLive &Live,
                          ServerOrders &Orders) const {
  const std::string &Id = Report.Facts_.Id_;
  if (!Paces_.isToBeTold(Id, Time_.now()))
    return;
  const TimePoint Now = Time_.now();
  std::map<TaskKey, PaceSent> Sent;
  Orders.NextReportMs_ = PacedReportMs;
  Machine_.read([&](const JobBook &Book) {
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
