#include "control/LearnerAdmission.h"

#include <algorithm>

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using replication::Member;
using replication::MemberId;
using replication::ReplicaStatus;

static constexpr Duration TickInterval = std::chrono::seconds(1);

/// Returns whether the member, or a later incarnation of it, is already in the
/// group.
static bool isSuperseded(const ReplicaStatus &Status, const MemberId &Id) {
  return std::any_of(Status.Members_.begin(), Status.Members_.end(),
                     [&Id](const Member &Existing) {
                       return Existing.Id_.Name_ == Id.Name_ &&
                              Existing.Id_.Incarnation_ >= Id.Incarnation_;
                     });
}

LearnerAdmission::LearnerAdmission(std::string Group,
                                   replication::Replica &Replica,
                                   Executor &Strand,
                                   std::set<std::string> Allowed)
    : Group_(std::move(Group)), Replica_(Replica), Strand_(Strand),
      Allowed_(std::move(Allowed)) {}

void LearnerAdmission::start() {
  Strand_.postAfter(TickInterval, [this] { tick(); });
}

void LearnerAdmission::tick() {
  if (Stopped_)
    return;
  run();
  start();
}

void LearnerAdmission::run() {
  const ReplicaStatus Status = Replica_.getStatus();
  if (Adding_ || !Status.IsLeader_)
    return;
  for (const MemberId &Id : Status.JoinRequests_) {
    if (!Allowed_.contains(Id.Name_) || isSuperseded(Status, Id))
      continue;
    Adding_ = true;
    spdlog::info("group {}: adding {} (incarnation {}) as a learner", Group_,
                 Id.Name_, Id.Incarnation_);
    Replica_.addLearner(Id, [this](Outcome<void> Result) {
      Strand_.post([this, Result = std::move(Result)] {
        Adding_ = false;
        if (!Result)
          spdlog::warn("group {}: adding a learner failed: {}", Group_,
                       Result.error().Message_);
      });
    });
    return;
  }
}
