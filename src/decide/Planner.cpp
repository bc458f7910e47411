//===- Planner.cpp - Where tasks run, and what gives way ----------------===//

#include "tulipweir/decide/Planner.h"

#include <algorithm>
#include <map>

using namespace tulipweir;
using namespace tulipweir::decide;

/// How long a proposed placement holds its room before it is proposed again.
static constexpr Duration ProposalTime = std::chrono::seconds(5);

namespace {
struct Server {
  ServerInfo Info_;
  Resources Reserved_;
  std::uint32_t Tasks_ = 0;
};

struct Running {
  TaskInfo Info_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  Resources Reservation_;
};

struct Waiting {
  TaskInfo Info_;
  TimePoint Since_;
  TimePoint RetryAt_;
  std::optional<BackendServerId> Proposed_;
  std::optional<Decision> Last_;
};
} // namespace

class Planner::Impl {
public:
  explicit Impl(const Policy &Settings) : Policy_(Settings) {}

  void release(Waiting &Task) {
    if (!Task.Proposed_)
      return;
    auto &Home = Servers_[*Task.Proposed_];
    Home.Reserved_ = Home.Reserved_ - Task.Info_.Declared_;
    Held_[Task.Info_.Team_] = Held_[Task.Info_.Team_] - Task.Info_.Declared_;
    Task.Proposed_.reset();
  }

  bool isWithinQuota(const TaskInfo &Task) const {
    const auto Held = Held_.find(Task.Team_);
    const Resources Used = Held == Held_.end() ? Resources{} : Held->second;
    return std::all_of(Policy_.Quotas_.begin(), Policy_.Quotas_.end(),
                       [&](const TeamQuota &Quota) {
                         return Quota.Team_ != Task.Team_ ||
                                (Used + Task.Declared_).fitsIn(Quota.Limit_);
                       });
  }

  std::optional<BackendServerId> findRoom(const Resources &Needed) const {
    for (const auto &[Id, Home] : Servers_) {
      if (Home.Info_.Draining_)
        continue;
      const auto Room =
          Home.Info_.Capacity_ - Home.Info_.ServiceShare_ - Home.Reserved_;
      if (Needed.fitsIn(Room))
        return Id;
    }
    return std::nullopt;
  }

  Policy Policy_;
  std::map<BackendServerId, Server> Servers_;
  std::map<TaskId, Running> Running_;
  std::map<TaskId, Waiting> Waiting_;
  std::map<TeamId, Resources> Held_;
};

Planner::Planner(const Policy &Settings, std::uint64_t)
    : Impl_(std::make_unique<Impl>(Settings)) {}
Planner::~Planner() = default;

void Planner::setPolicy(const Policy &Settings) { Impl_->Policy_ = Settings; }

void Planner::upsertServer(const ServerInfo &Info) {
  Impl_->Servers_[Info.Server_].Info_ = Info;
}

void Planner::removeServer(const BackendServerId &Id) {
  // Kept, so that attempts that end later still find it.
  Impl_->Servers_[Id].Info_.Draining_ = true;
}

void Planner::addWaiting(const TaskInfo &Task, TimePoint Now) {
  Impl_->Waiting_.insert({Task.Task_, Waiting{Task, Now, Now, {}, {}}});
}

void Planner::removeWaiting(const TaskId &Task) {
  const auto Found = Impl_->Waiting_.find(Task);
  if (Found == Impl_->Waiting_.end())
    return;
  Impl_->release(Found->second);
  Impl_->Waiting_.erase(Found);
}

void Planner::notePlaced(const TaskInfo &Task, AttemptNumber Attempt,
                         const BackendServerId &Server,
                         const Resources &Reservation, TimePoint) {
  removeWaiting(Task.Task_);
  if (Impl_->Running_.contains(Task.Task_))
    return;
  Impl_->Running_[Task.Task_] = Running{Task, Attempt, Server, Reservation};
  auto &Home = Impl_->Servers_[Server];
  Home.Reserved_ = Home.Reserved_ + Reservation;
  ++Home.Tasks_;
  auto &Held = Impl_->Held_[Task.Team_];
  Held = Held + Reservation;
}

void Planner::noteReservation(const TaskId &, AttemptNumber,
                              const Resources &) {}
void Planner::noteThrottle(const TaskId &, AttemptNumber, std::uint32_t,
                           TimePoint) {}

void Planner::noteEnded(const TaskId &Task, AttemptNumber Attempt, EndReason,
                        TimePoint) {
  const auto Found = Impl_->Running_.find(Task);
  if (Found == Impl_->Running_.end() || Found->second.Attempt_ != Attempt)
    return;
  auto &Home = Impl_->Servers_[Found->second.Server_];
  Home.Reserved_ = Home.Reserved_ - Found->second.Reservation_;
  --Home.Tasks_;
  auto &Held = Impl_->Held_[Found->second.Info_.Team_];
  Held = Held - Found->second.Reservation_;
  Impl_->Running_.erase(Found);
}

void Planner::noteUsage(const UsageSample &) {}
void Planner::noteService(const ServiceSample &) {}

static Decision makeHold(const TaskInfo &Task, ReasonCode Reason) {
  Decision Value;
  Value.Reason_ = Reason;
  Value.Task_ = Task.Task_;
  Value.Attempt_ = Task.NextAttempt_;
  Value.Text_ = "task " + Task.Task_.toString() +
                " waits: " + std::string(getReasonName(Reason));
  return Value;
}

static Decision makePlace(const TaskInfo &Task, const BackendServerId &Server) {
  Decision Value;
  Value.Kind_ = DecisionKind::Place;
  Value.Task_ = Task.Task_;
  Value.Attempt_ = Task.NextAttempt_;
  Value.Server_ = Server;
  Value.Reservation_ = Task.Declared_;
  Value.Candidates_ = {Candidate{Server, true, 1, "first with room"}};
  Value.Text_ = "task " + Task.Task_.toString() + " starts on " +
                Server.value() + ", the first with room";
  return Value;
}

std::vector<Decision> Planner::decide(TimePoint Now, std::size_t Budget) {
  std::vector<Decision> Decisions;
  for (auto &[Id, Task] : Impl_->Waiting_) {
    if (Decisions.size() >= Budget)
      break;
    if (Now < Task.RetryAt_ || Impl_->Running_.contains(Id))
      continue;
    Impl_->release(Task);
    Task.RetryAt_ = Now + ProposalTime;
    const bool InQuota = Impl_->isWithinQuota(Task.Info_);
    const auto Found =
        InQuota ? Impl_->findRoom(Task.Info_.Declared_) : std::nullopt;
    Task.Proposed_ = Found;
    if (Found) {
      auto &Home = Impl_->Servers_[*Found];
      Home.Reserved_ = Home.Reserved_ + Task.Info_.Declared_;
      auto &Held = Impl_->Held_[Task.Info_.Team_];
      Held = Held + Task.Info_.Declared_;
    }
    const auto Reason = InQuota ? ReasonCode::NoRoom : ReasonCode::QuotaReached;
    Task.Last_ =
        Found ? makePlace(Task.Info_, *Found) : makeHold(Task.Info_, Reason);
    Decisions.push_back(*Task.Last_);
  }
  return Decisions;
}

std::optional<Explanation> Planner::explain(const TaskId &Task,
                                            TimePoint) const {
  Explanation Value;
  Value.Task_ = Task;
  const auto Run = Impl_->Running_.find(Task);
  if (Run != Impl_->Running_.end()) {
    Value.Running_ = true;
    Value.Server_ = Run->second.Server_;
    Value.Declared_ = Run->second.Info_.Declared_;
    Value.Reservation_ = Run->second.Reservation_;
    return Value;
  }
  const auto Wait = Impl_->Waiting_.find(Task);
  if (Wait == Impl_->Waiting_.end())
    return std::nullopt;
  Value.Declared_ = Wait->second.Info_.Declared_;
  Value.Last_ = Wait->second.Last_;
  return Value;
}

std::vector<ServerView> Planner::listServers() const {
  std::vector<ServerView> Views;
  for (const auto &[Id, Home] : Impl_->Servers_)
    Views.push_back({Id, Home.Info_.Rack_, Home.Info_.Capacity_, Home.Reserved_,
                     Home.Info_.Draining_, false, Home.Tasks_});
  return Views;
}
