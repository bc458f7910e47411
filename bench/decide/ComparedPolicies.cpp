//===- ComparedPolicies.cpp - Policies to compare -----------------------===//

#include "ComparedPolicies.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr std::size_t DecisionsPerSecond = 128;

namespace {
class PlannerPolicy final : public ComparedPolicy {
public:
  PlannerPolicy(const Policy &Settings, std::uint64_t Seed)
      : Planner_(Settings, Seed) {}
  void upsertServer(const ServerInfo &Server) override {
    Planner_.upsertServer(Server);
  }
  void removeServer(const BackendServerId &Server) override {
    Planner_.removeServer(Server);
  }
  void addWaiting(const TaskInfo &Task, TimePoint Now) override {
    Planner_.addWaiting(Task, Now);
  }
  void removeWaiting(const TaskId &Task) override {
    Planner_.removeWaiting(Task);
  }
  void recordPlacement(const Decision &D, const TaskInfo &Task,
                       TimePoint Now) override {
    Planner_.recordPlacement(Task, D.Attempt_, *D.Server_, D.Reservation_, Now);
  }
  void updateReservation(const Decision &D) override {
    Planner_.updateReservation(*D.Task_, D.Attempt_, D.Reservation_);
  }
  void updateThrottle(const Decision &D, TimePoint Now) override {
    Planner_.updateThrottle(*D.Task_, D.Attempt_, D.ThrottlePercent_, Now);
  }
  void recordEnd(const TaskId &Task, AttemptNumber Attempt, EndReason Reason,
                 TimePoint Now) override {
    Planner_.recordEnd(Task, Attempt, Reason, Now);
  }
  void addUsageSample(const UsageSample &Sample) override {
    Planner_.addUsageSample(Sample);
  }
  void addServiceSample(const ServiceSample &Sample) override {
    Planner_.addServiceSample(Sample);
  }
  std::vector<Decision> decide(TimePoint Now) override {
    return Planner_.decide(Now, DecisionsPerSecond);
  }

private:
  Planner Planner_;
};

/// Keeps the lists of servers, waiting tasks and running tasks that first-fit
/// and the oracle share.
class ListPolicy : public ComparedPolicy {
public:
  void upsertServer(const ServerInfo &Server) override {
    Servers_[Server.Server_] = Server;
  }
  void removeServer(const BackendServerId &Server) override {
    Servers_.erase(Server);
  }
  void addWaiting(const TaskInfo &Task, TimePoint) override {
    Waiting_.push_back(Task);
  }
  void removeWaiting(const TaskId &Task) override {
    std::erase_if(Waiting_,
                  [&](const TaskInfo &Info) { return Info.Task_ == Task; });
  }
  void recordPlacement(const Decision &D, const TaskInfo &Task,
                       TimePoint) override {
    Running_[Task.Task_] = D;
    removeWaiting(Task.Task_);
  }
  void updateReservation(const Decision &) override {}
  void updateThrottle(const Decision &, TimePoint) override {}
  void recordEnd(const TaskId &Task, AttemptNumber, EndReason,
                 TimePoint) override {
    Running_.erase(Task);
  }
  void addUsageSample(const UsageSample &) override {}
  void addServiceSample(const ServiceSample &) override {}

protected:
  std::map<BackendServerId, Resources> listFreeResources() const {
    std::map<BackendServerId, Resources> Room;
    for (const auto &[Id, Info] : Servers_)
      Room[Id] = Info.Capacity_ - Info.ServiceShare_;
    for (const auto &[Id, D] : Running_)
      Room[*D.Server_] = Room[*D.Server_] - D.Reservation_;
    return Room;
  }
  static Decision makePlace(const TaskInfo &Task, const BackendServerId &Server,
                            const Resources &Reservation) {
    Decision D;
    D.Kind_ = DecisionKind::Place;
    D.Task_ = Task.Task_;
    D.Attempt_ = Task.NextAttempt_;
    D.Server_ = Server;
    D.Reservation_ = Reservation;
    return D;
  }

  std::map<BackendServerId, ServerInfo> Servers_;
  std::deque<TaskInfo> Waiting_;
  std::map<TaskId, Decision> Running_;
};

class FirstFit final : public ListPolicy {
public:
  explicit FirstFit(const Policy &Settings)
      : Target_(Settings.Targets_.front().P99_),
        Reports_(Settings.GuardReports_) {}

  void addServiceSample(const ServiceSample &Sample) override {
    auto &Count = Over_[Sample.Server_];
    Count = Sample.P99_ > Target_ ? Count + 1 : 0;
  }

  std::vector<Decision> decide(TimePoint) override {
    std::vector<Decision> Decisions;
    for (auto &[Server, Count] : Over_)
      if (Count >= Reports_ && evictLargest(Server, Decisions))
        Count = 0;
    auto Room = listFreeResources();
    std::size_t Examined = 0;
    for (const TaskInfo &Task : Waiting_) {
      if (Decisions.size() >= DecisionsPerSecond || ++Examined > 400)
        break;
      for (auto &[Server, Free] : Room) {
        if (!Task.Declared_.fitsIn(Free))
          continue;
        Free = Free - Task.Declared_;
        Decisions.push_back(makePlace(Task, Server, Task.Declared_));
        break;
      }
    }
    return Decisions;
  }

private:
  bool evictLargest(const BackendServerId &Server,
                    std::vector<Decision> &Decisions) {
    const Decision *Largest = nullptr;
    for (const auto &[Id, D] : Running_)
      if (D.Server_ == Server &&
          (!Largest ||
           D.Reservation_.MilliCpus_ > Largest->Reservation_.MilliCpus_))
        Largest = &D;
    if (!Largest)
      return false;
    Decisions.push_back(*Largest);
    Decisions.back().Kind_ = DecisionKind::Evict;
    Decisions.back().Reason_ = ReasonCode::TailOverTarget;
    return true;
  }

  Duration Target_;
  std::uint32_t Reports_;
  std::map<BackendServerId, std::uint32_t> Over_;
};

class Oracle final : public ListPolicy {
public:
  explicit Oracle(const SimulatedWorkload &Workload) : Workload_(Workload) {}

  std::vector<Decision> decide(TimePoint) override {
    std::vector<Decision> Decisions;
    auto Room = listFreeResources();
    AddedTasks Added;
    std::map<double, std::vector<const TaskInfo *>> ByEffect;
    for (const TaskInfo &Task : Waiting_)
      ByEffect[Workload_.classes()[Workload_.getTask(Task.Task_).Class_]
                   .Effect_]
          .push_back(&Task);
    for (const auto &[Effect, Tasks] : ByEffect)
      placeClass(Tasks, Room, Added, Decisions);
    return Decisions;
  }

private:
  using AddedTasks = std::map<BackendServerId, std::map<std::size_t, double>>;

  void placeClass(const std::vector<const TaskInfo *> &Tasks,
                  std::map<BackendServerId, Resources> &Room, AddedTasks &Added,
                  std::vector<Decision> &Decisions) const {
    for (const TaskInfo *Task : Tasks) {
      const std::size_t Class = Workload_.getTask(Task->Task_).Class_;
      const Resources &Size = Workload_.classes()[Class].Size_;
      const SimulatedServer *Best = pick(Class, Size, Room, Added);
      // Tasks of one class need the same resources: if one does not fit, none
      // does.
      if (!Best || Decisions.size() >= DecisionsPerSecond)
        return;
      auto &Free = Room[Best->Info_.Server_];
      Free = Free - Size;
      Added[Best->Info_.Server_][Class] += 1;
      Decisions.push_back(makePlace(*Task, Best->Info_.Server_, Size));
    }
  }

  const SimulatedServer *pick(std::size_t Class, const Resources &Size,
                              const std::map<BackendServerId, Resources> &Room,
                              const AddedTasks &Added) const {
    constexpr double TopLoad = 0.9;
    constexpr double TargetFactor = 1.25;
    const SimulatedServer *Best = nullptr;
    double Least = TargetFactor;
    for (const SimulatedServer &Server : Workload_.servers()) {
      const auto Free = Room.find(Server.Info_.Server_);
      if (!Server.Up_ || Server.FailsAll_ || Free == Room.end() ||
          !Size.fitsIn(Free->second))
        continue;
      double Slowdown = Workload_.computeSlowdown(Server, Class, 1, TopLoad);
      const auto Others = Added.find(Server.Info_.Server_);
      if (Others != Added.end())
        for (const auto &[Other, Count] : Others->second)
          Slowdown +=
              Workload_.classes()[Other].Effect_ * (0.5 + TopLoad) * Count *
              static_cast<double>(Workload_.classes()[Other].Size_.MilliCpus_) /
              32000;
      if (Slowdown >= Least)
        continue;
      Least = Slowdown;
      Best = &Server;
    }
    return Best;
  }

  const SimulatedWorkload &Workload_;
};
} // namespace

std::unique_ptr<ComparedPolicy>
decide::makePlannerPolicy(const Policy &Settings, std::uint64_t Seed) {
  return std::make_unique<PlannerPolicy>(Settings, Seed);
}

std::unique_ptr<ComparedPolicy> decide::makeFirstFit(const Policy &Settings) {
  return std::make_unique<FirstFit>(Settings);
}

std::unique_ptr<ComparedPolicy>
decide::makeOracle(const SimulatedWorkload &Workload) {
  return std::make_unique<Oracle>(Workload);
}
