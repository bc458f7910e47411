#include "jobs/GangPlanner.h"

#include <algorithm>
#include <map>
#include <string>

using namespace tulipweir;
using namespace tulipweir::jobs;

using Servers = std::vector<const ServerRecord *>;

/// Fills one server after the other; returns nothing if not all tasks fit.
static std::vector<TaskStart> placeInOrder(const JobRegistry &Registry,
                                           const ReadyStep &Ready,
                                           const Servers &Candidates) {
  const JobRecord &Job = *Registry.findJob(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  const StepRecord &Record =
      Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_];
  std::uint64_t Run = 0;
  for (const TaskRecord &Task : Record.Tasks_)
    Run = std::max(Run, Task.LastRun_);
  std::vector<TaskStart> Starts;
  for (const ServerRecord *Server : Candidates) {
    Resources Free = Server->Facts_.Capacity_ - Server->Used_;
    std::uint64_t TasksHere = 0;
    while (Starts.size() < Record.Tasks_.size()) {
      const TaskStart Start{
          {Ready.Job_, Ready.Occurrence_, Ready.Step_, Starts.size()},
          Run + 1,
          Server->Facts_.Id_};
      const bool IsCrowded =
          Step.SpreadLimit_ > 0 && TasksHere >= Step.SpreadLimit_;
      if (IsCrowded || !Step.getReserved().fitsIn(Free) ||
          !Registry.findRejectionReason(Start).empty())
        break;
      Free = Free - Step.getReserved();
      ++TasksHere;
      Starts.push_back(Start);
    }
  }
  if (Starts.size() < Record.Tasks_.size())
    Starts.clear();
  return Starts;
}

std::vector<TaskStart> jobs::planGangStarts(
    const JobRegistry &Registry, const ReadyStep &Ready, bool MaySpread,
    const std::function<bool(const ServerRecord &Server)> &MayUse) {
  const JobRecord &Job = *Registry.findJob(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  std::map<std::string, Servers> Racks;
  for (const auto &[Id, Server] : Registry.servers())
    if (Server.Facts_.Service_ == Job.Policy_.Service_ && MayUse(Server))
      Racks[Server.Facts_.Rack_].push_back(&Server);
  std::vector<const std::string *> Order;
  Order.reserve(Racks.size());
  for (const auto &[Rack, Members] : Racks)
    Order.push_back(&Rack);
  std::stable_partition(
      Order.begin(), Order.end(),
      [&Step](const std::string *Rack) { return *Rack == Step.DataRack_; });
  for (const std::string *Rack : Order)
    if (auto Starts = placeInOrder(Registry, Ready, Racks[*Rack]);
        !Starts.empty())
      return Starts;
  if (Step.SameRack_ && !MaySpread)
    return {};
  Servers All;
  for (const std::string *Rack : Order)
    All.insert(All.end(), Racks[*Rack].begin(), Racks[*Rack].end());
  return placeInOrder(Registry, Ready, All);
}
