#include "control/FleetProposer.h"

#include "tulipweir/wire/Messages.h"

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration RetryPause = std::chrono::milliseconds(100);
/// A leader that takes longer may be cut off; the next try asks who leads.
static constexpr Duration OneTry = std::chrono::seconds(2);

FleetProposer::FleetProposer(replication::Replica &Fleet, PeerCaller &Peers,
                             Executor &Timers, const Clock &Time)
    : Fleet_(Fleet), Peers_(Peers), Timers_(Timers), Time_(Time) {}

void FleetProposer::propose(std::string Command, Duration Timeout,
                            Callback Done) {
  run(std::make_shared<Attempt>(
      Attempt{std::move(Command), Time_.now() + Timeout, std::move(Done)}));
}

void FleetProposer::run(std::shared_ptr<Attempt> Work) {
  const replication::ReplicaStatus Status = Fleet_.getStatus();
  if (Status.IsLeader_) {
    Fleet_.propose(Work->Command_,
                   [this, Work](Outcome<replication::Applied> Result) {
                     if (!Result)
                       return finish(Work, std::move(Result).as_failure());
                     finish(Work, std::move(Result.value().Result_));
                   });
    return;
  }
  if (Status.LeaderName_.empty())
    return finish(Work, fail(ErrorCode::Unavailable,
                             "the fleet has no leader at the moment"));
  const wire::FleetCommand Request{Work->Command_};
  Peers_.request(Status.LeaderName_, Request, OneTry,
                 [this, Work](Outcome<wire::FleetCommandReply> Reply) {
                   if (!Reply)
                     return finish(Work, std::move(Reply).as_failure());
                   finish(Work, std::move(Reply.value().Result_));
                 });
}

void FleetProposer::finish(const std::shared_ptr<Attempt> &Work,
                           Outcome<std::string> Result) {
  const bool InTime = Time_.now() + RetryPause < Work->Deadline_;
  if (Result || !InTime)
    return Work->Done_(std::move(Result));
  Timers_.postAfter(RetryPause, [this, Work] { run(Work); });
}
