#include "control/LearnerDuty.h"

#include <algorithm>

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using replication::Member;
using replication::MemberId;
using replication::ReplicaStatus;

static constexpr Duration TickPeriod = std::chrono::seconds(1);

/// Whether it, or a later life of it, takes part already.
static bool isSuperseded(const ReplicaStatus &Status, const MemberId &Id) {
  return std::any_of(Status.Members_.begin(), Status.Members_.end(),
                     [&Id](const Member &Value) {
                       return Value.Id_.Name_ == Id.Name_ &&
                              Value.Id_.Incarnation_ >= Id.Incarnation_;
                     });
}

LearnerDuty::LearnerDuty(std::string Group, replication::Replica &Replica,
                         Executor &Strand, std::set<std::string> Allowed)
    : Group_(std::move(Group)), Replica_(Replica), Strand_(Strand),
      Allowed_(std::move(Allowed)) {}

void LearnerDuty::start() {
  Strand_.postAfter(TickPeriod, [this] { tick(); });
}

void LearnerDuty::tick() {
  if (Stopped_)
    return;
  run();
  start();
}

void LearnerDuty::run() {
  const ReplicaStatus Status = Replica_.getStatus();
  if (Adding_ || !Status.IsLeader_)
    return;
  for (const MemberId &Id : Status.JoinRequests_) {
    if (!Allowed_.contains(Id.Name_) || isSuperseded(Status, Id))
      continue;
    Adding_ = true;
    spdlog::info("group {}: adds {} ({}) as a learner", Group_, Id.Name_,
                 Id.Incarnation_);
    Replica_.addLearner(Id, [this](Outcome<void> Result) {
      Strand_.post([this, Result = std::move(Result)] {
        Adding_ = false;
        if (!Result)
          spdlog::warn("group {}: no learner added: {}", Group_,
                       Result.error().Message_);
      });
    });
    return;
  }
}
