//===- Fakes.h - Manually driven logs, links and executors -----*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_CONTROL_FAKES_H
#define TULIPWEIR_TESTS_CONTROL_FAKES_H

#include "control/PeerCaller.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"
#include "tulipweir/replication/StateMachine.h"

#include <deque>
#include <map>
#include <utility>

namespace tulipweir::control::test {

/// Runs posted tasks in order when run() is called.
class ManualExecutor final : public Executor {
public:
  explicit ManualExecutor(ManualClock &Time) : Time_(Time) {}
  void post(std::function<void()> Task) override {
    Tasks_.push_back(std::move(Task));
  }
  void postAfter(Duration Delay, std::function<void()> Task) override {
    Later_.emplace(Time_.now() + Delay, std::move(Task));
  }
  void run() {
    while (!Later_.empty() && Later_.begin()->first <= Time_.now())
      Tasks_.push_back(Later_.extract(Later_.begin()).mapped());
    while (!Tasks_.empty()) {
      const auto Task = std::move(Tasks_.front());
      Tasks_.pop_front();
      Task();
    }
  }

private:
  ManualClock &Time_;
  std::deque<std::function<void()>> Tasks_;
  std::multimap<TimePoint, std::function<void()>> Later_;
};

class FakeReplica;

/// The log of one group; a committed command is applied at all members at once.
struct FakeLog {
  struct PendingProposal {
    std::string Command_;
    FakeReplica *Proposer_ = nullptr;
    replication::Replica::AppliedCallback Done_;
  };

  void lead(FakeReplica *Leader);
  /// Commits all pending proposals.
  void commit();
  /// Simulates a partitioned leader: the outcome of its proposals is unknown.
  void disconnectLeader();

  std::vector<std::pair<FakeReplica *, replication::StateMachine *>> Members_;
  FakeReplica *Leader_ = nullptr;
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;
  bool HoldCommits_ = false; ///< Proposals wait for commit().
  std::deque<PendingProposal> Pending_;
};

class FakeReplica final : public replication::Replica {
public:
  FakeReplica(FakeLog &Log, std::string Name,
              replication::StateMachine &Machine)
      : Log_(Log), Name_(std::move(Name)) {
    Log_.Members_.emplace_back(this, &Machine);
    Members_.push_back({{Name_, 1}, replication::MemberRole::Voter});
  }

  void propose(std::string Command, AppliedCallback Done) override {
    ++Proposals_;
    if (Log_.Leader_ != this)
      return Done(fail(ErrorCode::NotLeader, getLeaderName()));
    Log_.Pending_.push_back({std::move(Command), this, std::move(Done)});
    if (!Log_.HoldCommits_)
      Log_.commit();
  }
  void receive(std::string Message) override {
    Received_.push_back(std::move(Message));
  }
  void confirmLeadership(std::function<void(Outcome<void>)> Done) override {
    if (Log_.Leader_ != this)
      return Done(fail(ErrorCode::NotLeader, getLeaderName()));
    Done(succeed());
  }
  std::optional<std::uint64_t> findLeaseTerm(TimePoint) const override {
    if (!LeaseHeld_ || Log_.Leader_ != this)
      return std::nullopt;
    return Log_.Term_;
  }
  replication::ReplicaStatus getStatus() const override {
    replication::ReplicaStatus Status;
    Status.Self_ = {Name_, 1};
    Status.IsLeader_ = Log_.Leader_ == this || BelievesToLead_;
    Status.LeaderName_ = BelievesToLead_ ? Name_ : getLeaderName();
    Status.Term_ = BelievesToLead_ ? BelievedTerm_ : Log_.Term_;
    Status.Members_ = Members_;
    Status.JoinRequests_ = Waiting_;
    return Status;
  }
  void addLearner(replication::MemberId Id,
                  std::function<void(Outcome<void>)> Done) override {
    Steps_.push_back("add " + Id.Name_ + " " + std::to_string(Id.Incarnation_));
    Members_.push_back({Id, replication::MemberRole::Learner});
    Done(succeed());
  }
  void promote(replication::MemberId Id,
               std::function<void(Outcome<void>)> Done) override {
    Steps_.push_back("promote " + std::to_string(Id.Incarnation_));
    if (PromotionsRefused_-- > 0)
      return Done(fail(ErrorCode::Unavailable, "it has not caught up"));
    Done(succeed());
  }
  void remove(replication::MemberId Id,
              std::function<void(Outcome<void>)> Done) override {
    Steps_.push_back("remove " + std::to_string(Id.Incarnation_));
    std::erase_if(Members_, [&](const auto &One) { return One.Id_ == Id; });
    Done(succeed());
  }
  void transferLeadership(std::function<void(Outcome<void>)> Done) override {
    Done(succeed());
  }
  void transferLeadershipTo(std::string,
                            std::function<void(Outcome<void>)> Done) override {
    Done(succeed());
  }
  void stop() override {}

  std::string getLeaderName() const {
    return Log_.Leader_ ? Log_.Leader_->Name_ : "";
  }

  FakeLog &Log_;
  const std::string Name_;
  bool LeaseHeld_ = true;
  bool BelievesToLead_ =
      false; ///< Simulates a paused leader that has not seen the next term.
  std::uint64_t BelievedTerm_ = 0;
  std::vector<replication::Member> Members_;
  std::vector<replication::MemberId> Waiting_;
  std::vector<std::string> Steps_;
  std::vector<std::string> Received_;
  int PromotionsRefused_ = 0;
  std::uint64_t Proposals_ = 0;
};

inline void FakeLog::lead(FakeReplica *Leader) {
  Leader_ = Leader;
  ++Term_;
}

inline void FakeLog::commit() {
  while (!Pending_.empty()) {
    const PendingProposal Next = std::move(Pending_.front());
    Pending_.pop_front();
    ++Index_;
    std::string Result;
    for (const auto &[Member, Machine] : Members_) {
      std::string Output = Machine->apply({Term_, Index_, Next.Command_});
      if (Member == Next.Proposer_)
        Result = std::move(Output);
    }
    if (Next.Done_)
      Next.Done_(replication::Applied{Term_, Index_, std::move(Result)});
  }
}

inline void FakeLog::disconnectLeader() {
  Leader_ = nullptr;
  for (PendingProposal &Output : Pending_)
    if (const auto Done = std::exchange(Output.Done_, nullptr))
      Done(fail(ErrorCode::Unavailable, "leadership was lost"));
}

/// Passes calls to functions by name; a peer without one is unreachable.
class FakePeers final : public PeerCaller {
public:
  using Answer = std::function<Outcome<std::string>(wire::MessageKind Kind,
                                                    const std::string &Body)>;

  void call(const std::string &To, wire::MessageKind Kind, std::string Body,
            Duration, Reply Done) override {
    Calls_.push_back(To);
    const auto It = Answers_.find(To);
    if (It == Answers_.end())
      return Done(fail(ErrorCode::Unavailable, "unreachable"));
    Done(It->second(Kind, Body));
  }
  void post(const std::string &To, wire::MessageKind,
            std::string Body) override {
    Posts_.emplace_back(To, std::move(Body));
  }

  std::map<std::string, Answer> Answers_;
  std::vector<std::string> Calls_;
  std::vector<std::pair<std::string, std::string>> Posts_;
};

} // namespace tulipweir::control::test

#endif // TULIPWEIR_TESTS_CONTROL_FAKES_H
