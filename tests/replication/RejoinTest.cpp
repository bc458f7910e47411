//===- RejoinTest.cpp - Planning of membership changes --------------------===//

#include "replication/Rejoin.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::replication;

namespace {

constexpr bool Alive = true;
constexpr bool Unresponsive = false;

MemberHealth voter(const char *Name, bool IsAlive = Alive,
                   bool IsUnresponsive = false) {
  return {{{Name, 1}, MemberRole::Voter}, IsAlive, IsUnresponsive};
}
MemberHealth learner(const char *Name, bool IsAlive = Alive) {
  return {{{Name, 1}, MemberRole::Learner}, IsAlive, false};
}
ChangeRequested change(ChangeKind Kind, const char *Name) {
  return {0, Kind, {Name, 1}};
}

} // namespace

TEST(PlanMembersTest, AnUnknownMemberIsAddedAsALearner) {
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

TEST(PlanMembersTest, AnUnresponsiveLearnerIsNotPromoted) {
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), learner("c", Unresponsive)}, {}, 3),
      std::nullopt);
}

TEST(PlanMembersTest, AnUnresponsiveVoterIsReplacedBeforeItIsRemoved) {
  const MemberHealth FailedVoter = voter("c", Unresponsive, true);
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), FailedVoter, learner("d")}, {}, 3),
      change(ChangeKind::Promote, "d"));
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), FailedVoter, voter("d")}, {}, 3),
      change(ChangeKind::Remove, "c"));
}

TEST(PlanMembersTest, WithoutAReplacementNoVoterIsRemoved) {
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), voter("c", Unresponsive, true)}, {},
                  3),
      std::nullopt);
}

TEST(PlanMembersTest, ABrieflyUnresponsiveVoterStays) {
  EXPECT_EQ(planMembers({voter("a"), voter("b"), voter("c", Unresponsive),
                         learner("d")},
                        {}, 3),
            std::nullopt);
}

TEST(PlanMembersTest, AKnownNameIsLeftToPlanRejoin) {
  EXPECT_EQ(planMembers({voter("a")}, {{"a", 2}}, 3), std::nullopt);
  EXPECT_EQ(planRejoin({voter("a", Unresponsive)}, {{"a", 2}}),
            (ChangeRequested{0, ChangeKind::AddLearner, {"a", 2}}));
}

TEST(PlanRejoinTest, AClockThatWasSetBackDoesNotPreventAReplacement) {
  // The new incarnation's number is below that of the lost one.
  const MemberHealth Before{{{"a", 9}, MemberRole::Voter}, Unresponsive, false};
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

TEST(PlanRejoinTest, ADelayedJoinRequestChangesNothing) {
  EXPECT_EQ(planRejoin({voter("a")}, {{"a", 7}}), std::nullopt)
      << "the incarnation that is a member answers";
}

TEST(PlanRejoinTest, NoMemberIsRemovedWhileNoIncarnationAnswers) {
  const MemberHealth Other{{{"a", 2}, MemberRole::Voter}, Unresponsive, false};
  EXPECT_EQ(planRejoin({voter("a", Unresponsive), Other}, {}), std::nullopt);
}

TEST(PlanMembersTest, UnknownMembersCannotGrowTheGroupWithoutBound) {
  const std::vector<MemberHealth> Many(32, learner("x", Unresponsive));
  EXPECT_EQ(planMembers(Many, {{"b", 1}}, 3), std::nullopt);
}

static MemberPlaces makePlaces() {
  return {{"a", "north"}, {"b", "north"}, {"c", "north"}, {"d", "south"},
          {"e", "south"}, {"f", "west"},  {"g", "east"}};
}

// Guards against voters that happen to be in one data centre, whose loss ends
// the group.
TEST(PlanMembersTest, ASpareOfTheEmptiestPlaceIsPromoted) {
  EXPECT_EQ(planMembers({voter("a"), learner("b"), learner("d")}, {}, 3,
                        makePlaces()),
            change(ChangeKind::Promote, "d"));
  EXPECT_EQ(planMembers({voter("a"), voter("d"), learner("b"), learner("f")},
                        {}, 3, makePlaces()),
            change(ChangeKind::Promote, "f"));
  EXPECT_EQ(planMembers({voter("a"), learner("x"), learner("b")}, {}, 3,
                        makePlaces()),
            change(ChangeKind::Promote, "b"))
      << "a member of an unknown place comes last";
}

// Guards against a place that holds the majority for good, as after the return
// of a lost data centre.
TEST(PlanMembersTest, AMajorityAtOnePlaceIsSpread) {
  std::vector<MemberHealth> Members = {voter("a"), voter("b"), voter("c"),
                                       voter("d"), voter("f"), learner("g")};
  EXPECT_EQ(planMembers(Members, {}, 5, makePlaces()),
            change(ChangeKind::Promote, "g"));
  Members.back() = voter("g");
  Members.front().IsSelf_ = true;
  EXPECT_EQ(planMembers(Members, {}, 5, makePlaces()),
            change(ChangeKind::Remove, "b"))
      << "the leader stays";
  Members.erase(Members.begin() + 1);
  EXPECT_EQ(planMembers(Members, {}, 5, makePlaces()), std::nullopt);
}

// Guards against changes without an end where no better member is there.
TEST(PlanMembersTest, AMajorityAtTheOnlyPlaceStays) {
  EXPECT_EQ(
      planMembers({voter("a"), voter("b"), learner("c")}, {}, 2, makePlaces()),
      std::nullopt);
  EXPECT_EQ(planMembers(
                {voter("a"), voter("b"), voter("d"), voter("e"), learner("c")},
                {}, 4, makePlaces()),
            std::nullopt);
}
