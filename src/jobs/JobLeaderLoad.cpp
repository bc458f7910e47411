#include "jobs/JobLeaderImpl.h"

#include <array>
#include <cmath>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr Duration LoadLogInterval = std::chrono::seconds(1);
static constexpr double Percent = 100;

static std::vector<QueueBacklog> listBacklogs(const JobRegistry &Registry) {
  std::vector<QueueBacklog> Backlogs;
  for (const QueuePolicy &Queue : Registry.configuration().Queues_)
    Backlogs.push_back({Queue.getKey(), Registry.countPending(Queue.getKey())});
  return Backlogs;
}

/// Returns the percentages of the filling work that have started, by the size
/// of its job; empty if there is none.
static std::string
describeSizes(const std::map<std::string, QueueWork> &Queues) {
  std::array<SizeWork, QueueWork::SizeClasses> Totals{};
  for (const auto &[Key, Queue] : Queues)
    for (std::size_t I = 0; I < Totals.size(); ++I) {
      Totals.at(I).Offered_ += Queue.sizes().at(I).Offered_;
      Totals.at(I).Started_ += Queue.sizes().at(I).Started_;
    }
  std::string Text;
  for (const SizeWork &Size : Totals)
    if (Size.Offered_ > 0)
      Text.append(Text.empty() ? ", filling work started by size: " : " ")
          .append(std::to_string(
              std::lround(Percent * Size.Started_ / Size.Offered_)))
          .append("%");
  return Text;
}

void JobLeader::Impl::countStart(const TaskStart &Start) {
  const StepSpec *Step = Machine_.read([&Start](const JobRegistry &Registry) {
    return Registry.findStep(Start.Task_);
  });
  if (!Step)
    return;
  if (Step->LongRunning_)
    ++Figures_.LongRunningStarts_;
  else
    ++(Step->Fills_ ? Figures_.FillingStarts_ : Figures_.BoundedStarts_);
}

void JobLeader::Impl::logLoad() {
  const Duration Elapsed = Time_.now() - LoadLoggedAt_;
  if (Elapsed < LoadLogInterval)
    return;
  LoadLoggedAt_ = Time_.now();
  const WorkTimer::Times Times = Work_.take();
  for (std::size_t Kind = 0; Kind < Times.size(); ++Kind)
    Meter_.addWork(static_cast<LeaderWork>(Kind), Times.at(Kind));
  const LoadFigures Figures = std::exchange(Figures_, {});
  if (Figures.Reports_ == 0)
    return;
  Event Line;
  Line.Kind_ = EventKind::LeaderLoad;
  Line.Term_ = Term_;
  Line.Count_ = Figures.Reports_;
  Line.AgeMs_ =
      static_cast<std::int64_t>(Figures.ReportsWaitedMs_ / Figures.Reports_);
  const auto Steps = Machine_.read(
      [](const JobRegistry &Registry) { return Registry.readySteps().size(); });
  Line.Outcome_ = std::to_string(Figures.BoundedStarts_) + " bounded, " +
                  std::to_string(Figures.FillingStarts_) + " filling, " +
                  std::to_string(Figures.LongRunningStarts_) +
                  " long-running starts, " + std::to_string(Figures.Ends_) +
                  " ends, " + std::to_string(Steps) + " steps wait" +
                  describeSizes(Dispatcher_.fillingWork());
  Line.Reason_ = toText(Times, Elapsed);
  Log_.write(Line);
}

LoadStatus JobLeader::Impl::describeLoad() const {
  LoadStatus Status;
  if (!isLeading())
    return Status;
  Status.IsLeading_ = true;
  Status.Shares_ = Shares_.getStatus();
  Status.Queues_ = Machine_.read(&listBacklogs);
  Status.RunTimes_ = RunTimes_.list();
  for (const auto &[Key, Queue] : Dispatcher_.fillingWork())
    Status.Filling_.push_back(
        {Key, {Queue.sizes().begin(), Queue.sizes().end()}});
  Status.Admission_ = Admission_.getStatus(Time_.now());
  return Status;
}
