#include "jobservice/StateDump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// Most tasks, and most jobs, that a dump lists.
static constexpr std::size_t MaxDumpedEntries = 50;

/// Adds the tasks that servers crashed under and the jobs that failed for it.
static void addCrashes(const jobs::JobRegistry &Registry,
                       nlohmann::json &Dump) {
  nlohmann::json Suspects = nlohmann::json::array();
  for (const auto &[Key, Servers] : Registry.crashSuspects()) {
    if (Suspects.size() >= MaxDumpedEntries)
      break;
    const jobs::CrashRecords &Crashes = Registry.findTask(Key)->Crashes_;
    Suspects.push_back({{"job", Key.Job_},
                        {"task", toText(Key)},
                        {"crashes", Crashes.size()},
                        {"servers", Servers}});
  }
  nlohmann::json GivenUp = nlohmann::json::array();
  for (const auto &[Id, Job] : Registry.jobs())
    if (Job.Cause_ == jobs::FailureCause::Crashes &&
        GivenUp.size() < MaxDumpedEntries)
      GivenUp.push_back({{"job", Id}, {"reason", Job.Reason_}});
  Dump["crashSuspects"] = Registry.crashSuspects().size();
  Dump["suspected"] = std::move(Suspects);
  Dump["givenUp"] = std::move(GivenUp);
}

/// Adds how much of the capacity long-running work takes, and how much more
/// waits: where it waits for more than is left, no server can be at fault.
static void addCapacity(const jobs::JobRegistry &Registry,
                        nlohmann::json &Dump) {
  std::int64_t Capacity = 0;
  std::int64_t Reserved = 0;
  std::int64_t LongRunning = 0;
  for (const auto &[Id, Server] : Registry.servers()) {
    Capacity += Server.Facts_.Capacity_.MilliCpus_;
    Reserved += Server.Used_.MilliCpus_;
    LongRunning += Server.UsedByLongRunning_.MilliCpus_;
  }
  std::uint64_t Tasks = 0;
  std::int64_t Waiting = 0;
  for (const jobs::ReadyStep &Ready : Registry.readyLongRunningSteps()) {
    const jobs::JobRecord &Job = *Registry.findJob(Ready.Job_);
    const std::uint64_t Count =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    Tasks += Count;
    Waiting += static_cast<std::int64_t>(Count) *
               Job.Spec_.Steps_[Ready.Step_].getReserved().MilliCpus_;
  }
  Dump["cpus"] = {{"capacity", Capacity},
                  {"reserved", Reserved},
                  {"reservedLongRunning", LongRunning},
                  {"waitingLongRunning", Waiting}};
  Dump["longRunningTasksWaiting"] = Tasks;
}

static nlohmann::json describeShares(const jobs::ShareStatus &Shares) {
  return {{"capacity", Shares.Capacity_},
          {"lasting", Shares.Lasting_},
          {"lastingWaiting", Shares.LastingWaiting_},
          {"bounded", Shares.Bounded_},
          {"boundedWaiting", Shares.BoundedWaiting_},
          {"yieldable", Shares.Yieldable_},
          {"yielding", Shares.Yielding_}};
}

/// Returns the jobs that wait by queue; queues without any are left out.
static nlohmann::json
describeBacklogs(const std::vector<jobs::QueueBacklog> &Queues) {
  nlohmann::json Dump = nlohmann::json::object();
  for (const jobs::QueueBacklog &Queue : Queues)
    if (Queue.Waiting_ != 0 && Dump.size() < MaxDumpedEntries)
      Dump[Queue.Queue_] = Queue.Waiting_;
  return Dump;
}

/// Returns what is known best, as that decides most.
static nlohmann::json
describeRunTimes(std::vector<jobs::LearnedRunTime> RunTimes) {
  std::stable_sort(RunTimes.begin(), RunTimes.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.Samples_ > Right.Samples_;
                   });
  nlohmann::json Dump = nlohmann::json::array();
  for (const jobs::LearnedRunTime &Each : RunTimes) {
    if (Dump.size() >= MaxDumpedEntries)
      break;
    Dump.push_back({{"queue", Each.Queue_},
                    {"image", Each.Image_},
                    {"fills", Each.Fills_},
                    {"samples", Each.Samples_},
                    {"unit", Each.IsDeclared_ ? "1/1000 of declared" : "ms"},
                    {"median", Each.Median_},
                    {"percentile95", Each.Percentile95_}});
  }
  return Dump;
}

static nlohmann::json describeAdmission(const jobs::AdmissionStatus &Status) {
  nlohmann::json Queues = nlohmann::json::array();
  for (const jobs::QueueAdmission &Each : Status.Queues_) {
    if (Queues.size() >= MaxDumpedEntries)
      break;
    Queues.push_back({{"queue", Each.Queue_},
                      {"backlogSeconds", Each.Backlog_},
                      {"rate", Each.Rate_},
                      {"tooLate", Each.TooLate_},
                      {"lastingFull", Each.LastingFull_},
                      {"returned", Each.Returned_}});
  }
  return {{"enabled", Status.IsEnabled_},
          {"reliable", Status.IsReliable_},
          {"promises", Status.Promises_},
          {"queues", std::move(Queues)}};
}

static nlohmann::json
describeFilling(const std::vector<jobs::FillingWork> &Queues) {
  nlohmann::json Dump = nlohmann::json::object();
  for (const jobs::FillingWork &Queue : Queues) {
    if (Dump.size() >= MaxDumpedEntries)
      break;
    nlohmann::json Sizes = nlohmann::json::array();
    for (const jobs::SizeWork &Size : Queue.Sizes_)
      Sizes.push_back({{"offeredSeconds", Size.Offered_},
                       {"startedSeconds", Size.Started_}});
    Dump[Queue.Queue_] = std::move(Sizes);
  }
  return Dump;
}

/// Adds what the leader knows of its load; only the leader's dump has it.
static void addLoad(const jobs::LoadStatus &Load, nlohmann::json &Dump) {
  if (!Load.IsLeading_)
    return;
  Dump["load"] = {{"shares", describeShares(Load.Shares_)},
                  {"backlog", describeBacklogs(Load.Queues_)},
                  {"runTimes", describeRunTimes(Load.RunTimes_)},
                  {"filling", describeFilling(Load.Filling_)},
                  {"admission", describeAdmission(Load.Admission_)}};
}

std::string jobservice::makeStateDump(const replication::ReplicaStatus &Status,
                                      const jobs::JobStateMachine &Machine,
                                      const jobs::LoadStatus &Load) {
  nlohmann::json Dump = {{"name", Status.Self_.Name_},
                         {"incarnation", Status.Self_.Incarnation_},
                         {"leads", Status.IsLeader_},
                         {"leader", Status.LeaderName_},
                         {"term", Status.Term_},
                         {"commit", Status.CommitIndex_},
                         {"applied", Status.AppliedIndex_},
                         {"logBytes", Status.LogBytes_},
                         {"retainedBytes", Status.RetainedBytes_},
                         {"bytesSinceSnapshot", Status.BytesSinceSnapshot_},
                         {"snapshotBytes", Status.SnapshotBytes_},
                         {"snapshots", Status.Snapshots_},
                         {"snapshotsForSize", Status.SnapshotsForSize_},
                         {"queuedBytes", Status.QueuedBytes_},
                         {"refusedProposals", Status.RefusedProposals_},
                         {"recoveredBytes", Status.Recovery_.Bytes_},
                         {"recoveredEntries", Status.Recovery_.Entries_},
                         {"syncs", Status.Syncs_},
                         {"failure", Status.Failure_}};
  for (const replication::Member &Member : Status.Members_)
    Dump["members"].push_back(
        {{"name", Member.Id_.Name_},
         {"votes", Member.Role_ == replication::MemberRole::Voter}});
  Machine.read([&Dump](const jobs::JobRegistry &Registry) {
    Dump["configuration"] = Registry.configuration().Version_;
    Dump["jobs"] = Registry.jobs().size();
    Dump["servers"] = Registry.servers().size();
    Dump["readySteps"] = Registry.readySteps().size();
    Dump["evacuated"] = Registry.evacuated();
    addCapacity(Registry, Dump);
    addCrashes(Registry, Dump);
    return 0;
  });
  addLoad(Load, Dump);
  return Dump.dump();
}

std::string jobservice::makeFailureDump(const std::string &Failure) {
  return nlohmann::json{{"failure", Failure}}.dump();
}
