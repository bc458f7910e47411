#include "jobs/WaitExplainer.h"

#include <algorithm>
#include <array>
#include <map>

using namespace tulipweir;
using namespace tulipweir::jobs;

static constexpr std::size_t ObstacleCount =
    static_cast<std::size_t>(StartObstacle::None) + 1;
/// The number of servers that a text about unused room names.
static constexpr std::size_t MaxNamedServers = 3;

/// Returns the obstacle as the end of "N servers ...".
static std::string_view getText(StartObstacle Obstacle) {
  // In the order of the enumeration.
  static constexpr std::array<std::string_view, ObstacleCount> Texts = {
      "without the label",
      "in a data centre that is being evacuated",
      "full",
      "leaving or not reporting",
      "quarantined or on probation",
      "closed for a suspected task",
      "at the spread limit of the step",
      "without a ticket of the advice service",
      "where it would slow serving tasks",
      "without idle processors",
      "reserved for others",
      "with capacity that is not offered yet"};
  return Texts.at(static_cast<std::size_t>(Obstacle));
}

StartObstacle WaitExplainer::findObstacle(const JobRegistry &Registry,
                                          const LiveServerTable &LiveServers,
                                          const ReadyStep &Step,
                                          const ServerRecord &Server,
                                          TimePoint Now) const {
  const JobRecord &Job = *Registry.findJob(Step.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[Step.Step_];
  const std::string &Id = Server.Facts_.Id_;
  const TaskKey First{Step.Job_, Step.Occurrence_, Step.Step_, 0};
  const Resources Free = Server.Facts_.Capacity_ - Server.Used_ -
                         LiveServers.sumUnplacedUsage(Registry, Server);
  if (!Server.Facts_.hasLabel(Spec.Label_))
    return StartObstacle::Unlabelled;
  if (Registry.isEvacuated(Server.Facts_))
    return StartObstacle::Evacuated;
  if (!Spec.getReserved().fitsIn(Free))
    return StartObstacle::Full;
  const LiveServer *Live = LiveServers.find(Id);
  if (!Live || !Live->isInService() || Live->isSilent(Now) ||
      Live->NoStartsUntil_ > Now)
    return StartObstacle::Unavailable;
  if (Health_.getHealthState(Id, Now) != HealthState::Healthy)
    return StartObstacle::Quarantined;
  if (Isolation_.isClosed(Registry, LiveServers, Server, Now))
    return StartObstacle::Closed;
  if (Spec.SpreadLimit_ > 0 &&
      Server.countTasksOfStep(First) >= Spec.SpreadLimit_)
    return StartObstacle::Crowded;
  if (Job.Policy_.Advice_.IsRequired_ &&
      !Advice_.findTicket({First.Job_, First.Occurrence_, First.Step_}, Id,
                          Now))
    return StartObstacle::Unadvised;
  if (Spec.Fills_ &&
      Interference_.isInterferingWithAny(Server.Serving_, Spec.Image_))
    return StartObstacle::Interfering;
  if (Spec.Fills_ && Spec.Need_.MilliCpus_ >
                         RemainingCapacity::computeIdleCpus(Server, Loads_))
    return StartObstacle::Busy;
  const CapacitySurvey::Reservation *Reserved = Survey_.findReservation(Id);
  const bool IsReserved = Reserved && !Spec.getReserved().fitsIn(
                                          Free - Reserved->getKeptFrom(Spec));
  return IsReserved ? StartObstacle::Reserved : StartObstacle::None;
}

/// Returns the servers from FirstExamined_ on, in the order of ids, which
/// starts again after the last one.
std::vector<const ServerRecord *>
WaitExplainer::listExamined(const JobRegistry &Registry) const {
  const std::map<std::string, ServerRecord> &Servers = Registry.servers();
  const std::size_t Count = std::min(Servers.size(), MaxExamined);
  std::vector<const ServerRecord *> Examined;
  Examined.reserve(Count);
  for (auto It = Servers.lower_bound(FirstExamined_); Examined.size() < Count;
       ++It) {
    if (It == Servers.end())
      It = Servers.begin();
    Examined.push_back(&It->second);
  }
  return Examined;
}

void WaitExplainer::examineNext(const JobRegistry &Registry) {
  const std::vector<const ServerRecord *> Examined = listExamined(Registry);
  if (Examined.size() < Registry.servers().size())
    // The least id that follows the last one.
    FirstExamined_ = Examined.back()->Facts_.Id_ + '\0';
  else
    FirstExamined_.clear();
}

std::string WaitExplainer::explainWait(const JobRegistry &Registry,
                                       const LiveServerTable &LiveServers,
                                       const ReadyStep &Step,
                                       TimePoint Now) const {
  const JobRecord &Job = *Registry.findJob(Step.Job_);
  std::array<std::size_t, ObstacleCount> Counts{};
  const std::vector<const ServerRecord *> Examined = listExamined(Registry);
  for (const ServerRecord *Server : Examined)
    if (Server->Facts_.Service_ == Job.Policy_.Service_)
      ++Counts.at(static_cast<std::size_t>(
          findObstacle(Registry, LiveServers, Step, *Server, Now)));
  std::string Text;
  const auto Add = [&Text](std::size_t Count, const std::string &Reason) {
    if (Count > 0)
      Text += (Text.empty() ? "" : ", ") + std::to_string(Count) + " " + Reason;
  };
  for (std::size_t I = 0; I < ObstacleCount; ++I) {
    const auto Obstacle = static_cast<StartObstacle>(I);
    std::string Reason(getText(Obstacle));
    if (Obstacle == StartObstacle::Unlabelled)
      Reason += " " + Job.Spec_.Steps_[Step.Step_].Label_;
    Add(Counts.at(I), Reason);
  }
  if (Text.empty())
    Text = "no server of its service";
  if (Examined.size() < Registry.servers().size())
    Text = "of " + std::to_string(Examined.size()) + " of " +
           std::to_string(Registry.servers().size()) + " servers " + Text;
  const std::vector<TaskRecord> &Tasks =
      Job.findOccurrence(Step.Occurrence_)->Steps_[Step.Step_].Tasks_;
  std::size_t Suspected = 0;
  TaskKey Key{Step.Job_, Step.Occurrence_, Step.Step_, 0};
  for (; Key.Index_ < Tasks.size(); ++Key.Index_) {
    const TaskRecord &Task = Tasks[Key.Index_];
    Suspected +=
        Task.State_ == TaskState::Waiting && Isolation_.isIsolating(Key, Task);
  }
  Add(Suspected, "tasks waiting for isolation, as their servers crashed");
  return Text;
}

/// Returns what the runs in the server's last report leave of its capacity.
static Resources getReportedFree(const JobRegistry &Registry,
                                 const ServerRecord &Server,
                                 const LiveServer &Live) {
  Resources Free = Server.Facts_.Capacity_;
  for (const RunningTask &Run : Live.Running_)
    if (const StepSpec *Step = Registry.findStep(Run.Task_))
      Free = Free - Step->getReserved();
  return Free;
}

std::vector<std::pair<ReadyStep, std::string>> WaitExplainer::findUnusedRoom(
    const JobRegistry &Registry, const LiveServerTable &LiveServers,
    TimePoint Since, TimePoint Now, std::size_t MaxSteps) const {
  std::vector<const ReadyStep *> Waiting;
  std::int64_t LeastCpus = std::numeric_limits<std::int64_t>::max();
  for (const ReadyStep &Step : Registry.readyLongRunningSteps())
    if (Waits_.hasWaitedSince(Step, Since)) {
      Waiting.push_back(&Step);
      LeastCpus = std::min(LeastCpus, Registry.findJob(Step.Job_)
                                          ->Spec_.Steps_[Step.Step_]
                                          .Need_.MilliCpus_);
    }
  std::vector<const ServerRecord *> WithRoom;
  if (Waiting.empty())
    return {};
  for (const ServerRecord *Server : listExamined(Registry)) {
    const Resources Free = Server->Facts_.Capacity_ - Server->Used_;
    if (Free.MilliCpus_ >= LeastCpus &&
        LiveServers.canStart(Registry, *Server, Now))
      WithRoom.push_back(Server);
  }
  std::vector<std::pair<ReadyStep, std::string>> Found;
  for (const ReadyStep *Step : Waiting) {
    if (Found.size() >= MaxSteps || WithRoom.empty())
      break;
    const JobRecord &Job = *Registry.findJob(Step->Job_);
    const Resources Need = Job.Spec_.Steps_[Step->Step_].getReserved();
    std::string Text;
    std::size_t Named = 0;
    for (const ServerRecord *Server : WithRoom) {
      // Nearly all servers on a full fleet have no room, for hundreds of steps.
      const bool HasRoom =
          Need.fitsIn(Server->Facts_.Capacity_ - Server->Used_);
      if (!HasRoom || Server->Facts_.Service_ != Job.Policy_.Service_)
        continue;
      const StartObstacle Obstacle =
          findObstacle(Registry, LiveServers, *Step, *Server, Now);
      // A server without room, or without what the step requires, is no option.
      if (Obstacle == StartObstacle::Full ||
          Obstacle == StartObstacle::Unlabelled ||
          Obstacle == StartObstacle::Crowded || ++Named > MaxNamedServers)
        continue;
      const LiveServer *Live = LiveServers.find(Server->Facts_.Id_);
      Text +=
          (Text.empty() ? "" : "; ") + Server->Facts_.Id_ + " " +
          std::to_string(Server->Facts_.Capacity_.MilliCpus_ -
                         Server->Used_.MilliCpus_) +
          " free, " +
          std::to_string(getReportedFree(Registry, *Server, *Live).MilliCpus_) +
          " reported: " + std::string(getText(Obstacle));
    }
    if (Named > 0)
      Found.emplace_back(*Step, std::to_string(Named) +
                                    " servers with room: " + std::move(Text));
  }
  return Found;
}
