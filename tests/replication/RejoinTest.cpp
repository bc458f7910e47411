#include "replication/Rejoin.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::replication;

TEST(RejoinTest, PlansOneStepAtATime) {
  constexpr MemberRole V = MemberRole::Voter;
  constexpr MemberRole L = MemberRole::Learner;
  struct Case {
    std::vector<Member> Members_;
    std::vector<MemberId> Waiting_;
    std::optional<ChangeAsked> Next_;
  };
  const Case Cases[] = {
      {{{{"a", 1}, V}, {{"b", 1}, V}}, {}, std::nullopt},
      // A stranger is for the operator, and so is an earlier incarnation.
      {{{{"a", 2}, V}}, {{"b", 1}, {"a", 1}}, std::nullopt},
      {{{{"a", 1}, V}},
       {{"a", 2}},
       ChangeAsked{0, ChangeKind::AddLearner, {"a", 2}}},
      {{{{"a", 1}, V}, {{"a", 2}, L}},
       {{"a", 2}},
       ChangeAsked{0, ChangeKind::Promote, {"a", 2}}},
      {{{{"a", 1}, V}, {{"a", 2}, V}},
       {},
       ChangeAsked{0, ChangeKind::Remove, {"a", 1}}},
      {{{{"a", 1}, L}, {{"a", 2}, L}},
       {},
       ChangeAsked{0, ChangeKind::Remove, {"a", 1}}},
      // Lost again before it was promoted.
      {{{{"a", 1}, V}, {{"a", 2}, L}},
       {{"a", 3}},
       ChangeAsked{0, ChangeKind::AddLearner, {"a", 3}}},
      {{{{"a", 1}, V}, {{"a", 2}, L}, {{"a", 3}, L}},
       {},
       ChangeAsked{0, ChangeKind::Promote, {"a", 3}}},
      {{{{"a", 1}, V}, {{"a", 2}, L}, {{"a", 3}, V}},
       {},
       ChangeAsked{0, ChangeKind::Remove, {"a", 2}}},
  };
  for (const Case &Each : Cases)
    EXPECT_EQ(planRejoin(Each.Members_, Each.Waiting_), Each.Next_);
}
