//===- RejoinTest.cpp - Which change of members comes next
//------------------===//

#include "replication/Rejoin.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::replication;

namespace {

constexpr bool Alive = true;
constexpr bool Silent = false;

MemberHealth voter(const char *Name, bool IsAlive = Alive,
                   bool IsGone = false) {
  return {{{Name, 1}, MemberRole::Voter}, IsAlive, IsGone};
}
MemberHealth learner(const char *Name, bool IsAlive = Alive) {
  return {{{Name, 1}, MemberRole::Learner}, IsAlive, false};
}
ChangeRequested change(ChangeKind Kind, const char *Name) {
  return {0, Kind, {Name, 1}};
}

} // namespace

TEST(PlanMembersTest, AStrangerIsTakenInAsALearner) {
  EXPECT_EQ(planMembers({voter("a")}, {{"b", 1}}, 3),
            change(ChangeKind::AddLearner, "b"));
}

TEST(PlanMembersTest, LearnersArePromotedUpToTheTarget) {
  EXPECT_EQ(planMembers({voter("a"), voter("b"), learner("c")}, {}, 3),
            change(ChangeKind::Promote, "c"));
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), voter("c"), learner("d")}, {}, 3),
      std::nullopt);
}

TEST(PlanMembersTest, ASilentLearnerIsNotPromoted) {
  EXPECT_EQ(planMembers({voter("a"), voter("b"), learner("c", Silent)}, {}, 3),
            std::nullopt);
}

TEST(PlanMembersTest, AGoneVoterIsReplacedBeforeItIsRemoved) {
  const MemberHealth Gone = voter("c", Silent, true);
  EXPECT_EQ(planMembers({voter("a"), voter("b"), Gone, learner("d")}, {}, 3),
            change(ChangeKind::Promote, "d"));
  EXPECT_EQ(planMembers({voter("a"), voter("b"), Gone, voter("d")}, {}, 3),
            change(ChangeKind::Remove, "c"));
}

TEST(PlanMembersTest, WithoutAReplacementNobodyLosesItsVote) {
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), voter("c", Silent, true)}, {}, 3),
      std::nullopt);
}

TEST(PlanMembersTest, AVoterThatIsSilentForAMomentStays) {
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), voter("c", Silent), learner("d")},
                  {}, 3),
      std::nullopt);
}

TEST(PlanMembersTest, AKnownNameIsLeftToTheOtherPlan) {
  EXPECT_EQ(planMembers({voter("a")}, {{"a", 2}}, 3), std::nullopt);
  EXPECT_EQ(planRejoin({voter("a", Silent)}, {{"a", 2}}),
            (ChangeRequested{0, ChangeKind::AddLearner, {"a", 2}}));
}

TEST(PlanRejoinTest, AClockThatWasSetBackKeepsNobodyOut) {
  // Its number is below that of the incarnation that is no more.
  const MemberHealth Before{{{"a", 9}, MemberRole::Voter}, Silent, false};
  const MemberId Now{"a", 3};
  EXPECT_EQ(planRejoin({Before}, {Now}),
            (ChangeRequested{0, ChangeKind::AddLearner, Now}));
  MemberHealth Fresh{{Now, MemberRole::Learner}, Alive, false};
  EXPECT_EQ(planRejoin({Fresh, Before}, {}),
            (ChangeRequested{0, ChangeKind::Promote, Now}));
  Fresh.Member_.Role_ = MemberRole::Voter;
  EXPECT_EQ(planRejoin({Fresh, Before}, {}),
            (ChangeRequested{0, ChangeKind::Remove, {"a", 9}}));
  EXPECT_EQ(planRejoin({Fresh}, {}), std::nullopt);
}

TEST(PlanRejoinTest, AQuestionThatWasHeldUpChangesNothing) {
  EXPECT_EQ(planRejoin({voter("a")}, {{"a", 7}}), std::nullopt)
      << "the incarnation that is a member answers";
}

TEST(PlanRejoinTest, NobodyIsRemovedWhileNoIncarnationAnswers) {
  const MemberHealth Other{{{"a", 2}, MemberRole::Voter}, Silent, false};
  EXPECT_EQ(planRejoin({voter("a", Silent), Other}, {}), std::nullopt);
}

TEST(PlanMembersTest, StrangersCannotGrowTheGroupWithoutBound) {
  const std::vector<MemberHealth> Many(32, learner("x", Silent));
  EXPECT_EQ(planMembers(Many, {{"b", 1}}, 3), std::nullopt);
}
