//===- ComparedPolicies.cpp - What ours is measured against -------------===//

#include "ComparedPolicies.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

static constexpr std::size_t DecisionsPerSecond = 128;

namespace {
class Ours final : public ComparedPolicy {
public:
  Ours(const Policy &Settings, std::uint64_t Seed) : Planner_(Settings, Seed) {}
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
  void notePlaced(const Decision &Value, const TaskInfo &Task,
                  TimePoint Now) override {
    Planner_.notePlaced(Task, Value.Attempt_, *Value.Server_,
                        Value.Reservation_, Now);
  }
  void noteReservation(const Decision &Value) override {
    Planner_.noteReservation(*Value.Task_, Value.Attempt_, Value.Reservation_);
  }
  void noteThrottle(const Decision &Value, TimePoint Now) override {
    Planner_.noteThrottle(*Value.Task_, Value.Attempt_, Value.ThrottlePercent_,
                          Now);
  }
  void noteEnded(const TaskId &Task, AttemptNumber Attempt, EndReason Reason,
                 TimePoint Now) override {
    Planner_.noteEnded(Task, Attempt, Reason, Now);
  }
  void noteUsage(const UsageSample &Sample) override {
    Planner_.noteUsage(Sample);
  }
  void noteService(const ServiceSample &Sample) override {
    Planner_.noteService(Sample);
  }
  std::vector<Decision> decide(TimePoint Now) override {
    return Planner_.decide(Now, DecisionsPerSecond);
  }

private:
  Planner Planner_;
};

/// Waiting and running tasks as first-fit and the oracle keep them.
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
  void notePlaced(const Decision &Value, const TaskInfo &Task,
                  TimePoint) override {
    Running_[Task.Task_] = Value;
    removeWaiting(Task.Task_);
  }
  void noteReservation(const Decision &) override {}
  void noteThrottle(const Decision &, TimePoint) override {}
  void noteEnded(const TaskId &Task, AttemptNumber, EndReason,
                 TimePoint) override {
    Running_.erase(Task);
  }
  void noteUsage(const UsageSample &) override {}
  void noteService(const ServiceSample &) override {}

protected:
  std::map<BackendServerId, Resources> listRoom() const {
    std::map<BackendServerId, Resources> Room;
    for (const auto &[Id, Info] : Servers_)
      Room[Id] = Info.Capacity_ - Info.ServiceShare_;
    for (const auto &[Id, Value] : Running_)
      Room[*Value.Server_] = Room[*Value.Server_] - Value.Reservation_;
    return Room;
  }
  static Decision makePlace(const TaskInfo &Task, const BackendServerId &Server,
                            const Resources &Reservation) {
    Decision Value;
    Value.Kind_ = DecisionKind::Place;
    Value.Task_ = Task.Task_;
    Value.Attempt_ = Task.NextAttempt_;
    Value.Server_ = Server;
    Value.Reservation_ = Reservation;
    return Value;
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

  void noteService(const ServiceSample &Sample) override {
    auto &Count = Over_[Sample.Server_];
    Count = Sample.P99_ > Target_ ? Count + 1 : 0;
  }

  std::vector<Decision> decide(TimePoint) override {
    std::vector<Decision> Decisions;
    for (auto &[Server, Count] : Over_)
      if (Count >= Reports_ && evictLargest(Server, Decisions))
        Count = 0;
    auto Room = listRoom();
    std::size_t Looks = 0;
    for (const TaskInfo &Task : Waiting_) {
      if (Decisions.size() >= DecisionsPerSecond || ++Looks > 400)
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
    for (const auto &[Id, Value] : Running_)
      if (Value.Server_ == Server &&
          (!Largest ||
           Value.Reservation_.MilliCpus_ > Largest->Reservation_.MilliCpus_))
        Largest = &Value;
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
  explicit Oracle(const PairedWorkload &Truth) : Truth_(Truth) {}

  std::vector<Decision> decide(TimePoint) override {
    std::vector<Decision> Decisions;
    auto Room = listRoom();
    AddedTasks Added;
    std::map<double, std::vector<const TaskInfo *>> ByEffect;
    for (const TaskInfo &Task : Waiting_)
      ByEffect[Truth_.classes()[Truth_.taskOf(Task.Task_).Class_].Effect_]
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
      const std::size_t Class = Truth_.taskOf(Task->Task_).Class_;
      const Resources &Size = Truth_.classes()[Class].Size_;
      const TrueServer *Best = pick(Class, Size, Room, Added);
      // Tasks of one class are alike: where one has no place, none has.
      if (!Best || Decisions.size() >= DecisionsPerSecond)
        return;
      auto &Free = Room[Best->Info_.Server_];
      Free = Free - Size;
      Added[Best->Info_.Server_][Class] += 1;
      Decisions.push_back(makePlace(*Task, Best->Info_.Server_, Size));
    }
  }

  const TrueServer *pick(std::size_t Class, const Resources &Size,
                         const std::map<BackendServerId, Resources> &Room,
                         const AddedTasks &Added) const {
    constexpr double TopLoad = 0.9;
    constexpr double TargetFactor = 1.25;
    const TrueServer *Best = nullptr;
    double Least = TargetFactor;
    for (const TrueServer &Server : Truth_.servers()) {
      const auto Free = Room.find(Server.Info_.Server_);
      if (!Server.Up_ || Server.FailsAll_ || Free == Room.end() ||
          !Size.fitsIn(Free->second))
        continue;
      double Slowdown = Truth_.slowdownOf(Server, Class, 1, TopLoad);
      const auto Others = Added.find(Server.Info_.Server_);
      if (Others != Added.end())
        for (const auto &[Other, Count] : Others->second)
          Slowdown +=
              Truth_.classes()[Other].Effect_ * (0.5 + TopLoad) * Count *
              static_cast<double>(Truth_.classes()[Other].Size_.MilliCpus_) /
              32000;
      if (Slowdown >= Least)
        continue;
      Least = Slowdown;
      Best = &Server;
    }
    return Best;
  }

  const PairedWorkload &Truth_;
};
} // namespace

std::unique_ptr<ComparedPolicy> decide::makeOurs(const Policy &Settings,
                                                 std::uint64_t Seed) {
  return std::make_unique<Ours>(Settings, Seed);
}

std::unique_ptr<ComparedPolicy> decide::makeFirstFit(const Policy &Settings) {
  return std::make_unique<FirstFit>(Settings);
}

std::unique_ptr<ComparedPolicy>
decide::makeOracle(const PairedWorkload &Truth) {
  return std::make_unique<Oracle>(Truth);
}
