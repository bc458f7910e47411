#include "control/FleetProposer.h"

#include "tulipweir/wire/Messages.h"

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration RetryDelay = std::chrono::milliseconds(100);
/// A leader that takes longer may be partitioned; the next attempt looks up the
/// leader again.
static constexpr Duration AttemptTimeout = std::chrono::seconds(2);

FleetProposer::FleetProposer(replication::Replica &Fleet, PeerCaller &Peers,
                             Executor &Timers, const Clock &Time)
    : Fleet_(Fleet), Peers_(Peers), Timers_(Timers), Time_(Time) {}

void FleetProposer::propose(std::string Command, Duration Timeout,
                            Callback Done) {
  run(std::make_shared<Attempt>(
      Attempt{std::move(Command), Time_.now() + Timeout, std::move(Done)}));
}

void FleetProposer::run(std::shared_ptr<Attempt> Pending) {
  const replication::ReplicaStatus Status = Fleet_.getStatus();
  if (Status.IsLeader_) {
    Fleet_.propose(Pending->Command_,
                   [this, Pending](Outcome<replication::Applied> Result) {
                     if (!Result)
                       return finish(Pending, std::move(Result).as_failure());
                     finish(Pending, std::move(Result.value().Result_));
                   });
    return;
  }
  if (Status.LeaderName_.empty())
    return finish(Pending, fail(ErrorCode::Unavailable,
                                "the fleet has no leader at the moment"));
  const wire::FleetCommand Request{Pending->Command_};
  Peers_.request(Status.LeaderName_, Request, AttemptTimeout,
                 [this, Pending](Outcome<wire::FleetCommandReply> Reply) {
                   if (!Reply)
                     return finish(Pending, std::move(Reply).as_failure());
                   finish(Pending, std::move(Reply.value().Result_));
                 });
}

void FleetProposer::finish(const std::shared_ptr<Attempt> &Pending,
                           Outcome<std::string> Result) {
  const bool InTime = Time_.now() + RetryDelay < Pending->Deadline_;
  if (Result || !InTime)
    return Pending->Done_(std::move(Result));
  Timers_.postAfter(RetryDelay, [this, Pending] { run(Pending); });
}
