#include "replication/LeaderWatch.h"

using namespace tulipweir;
using namespace tulipweir::replication;

LeaderWatch::LeaderWatch(Replica &Group, Executor &Strand, Callbacks Owner)
    : Group_(Group), Strand_(Strand), Owner_(std::move(Owner)) {}

void LeaderWatch::poll() {
  const ReplicaStatus Status = Group_.getStatus();
  const bool SameTerm = Status.IsLeader_ && Status.Term_ == Term_;
  if (Leading_ && !SameTerm)
    endLeading();
  if (!Status.IsLeader_ || Leading_)
    return;
  if (Confirming_ && SameTerm)
    return;
  confirm(Status.Term_);
}

void LeaderWatch::confirm(std::uint64_t Term) {
  Term_ = Term;
  Confirming_ = true;
  std::weak_ptr<bool> Alive = Alive_;
  Group_.confirmLeadership([this, Alive, Term](Outcome<void> Result) {
    if (Alive.expired())
      return;
    const bool Confirmed = Result.has_value();
    Strand_.post([this, Alive, Term, Confirmed] {
      if (Alive.expired() || Term != Term_ || !Confirming_)
        return;
      Confirming_ = false;
      if (!Confirmed)
        return;
      Leading_ = true;
      Owner_.OnLeading_(Term);
    });
  });
}

void LeaderWatch::endLeading() {
  Leading_ = false;
  Confirming_ = false;
  Owner_.OnFollowing_();
}
