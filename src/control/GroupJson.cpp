#include "control/GroupJson.h"

using namespace tulipweir;
using namespace tulipweir::control;
using replication::Member;
using replication::MemberId;
using replication::MemberRole;
using replication::ReplicaStatus;

Json control::makeMemberJson(const Member &Value) {
  return {{"name", Value.Id_.Name_},
          {"incarnation", Value.Id_.Incarnation_},
          {"role", Value.Role_ == MemberRole::Voter ? "voter" : "learner"}};
}

Json control::makeGroupJson(const std::string &Group,
                            const ReplicaStatus &Status) {
  Json Members = Json::array();
  for (const Member &Value : Status.Members_)
    Members.push_back(makeMemberJson(Value));
  Json Waiting = Json::array();
  for (const MemberId &Id : Status.JoinRequests_)
    Waiting.push_back({{"name", Id.Name_}, {"incarnation", Id.Incarnation_}});
  return {{"group", Group},
          {"leader", Status.LeaderName_},
          {"term", Status.Term_},
          {"commitIndex", Status.CommitIndex_},
          {"appliedIndex", Status.AppliedIndex_},
          {"self",
           {{"name", Status.Self_.Name_},
            {"incarnation", Status.Self_.Incarnation_}}},
          {"failure", Status.Failure_},
          {"lostDisk", Status.LostDisk_},
          {"waiting", std::move(Waiting)},
          {"members", std::move(Members)}};
}
