//===- BundleRegistryTest.cpp ---------------------------------------------===//

#include "tulipweir/fleet/BundleRegistry.h"
#include "FleetFixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace tulipweir;
using namespace tulipweir::fleet;
using namespace tulipweir::fleet::test;

namespace {
/// Starts with version 1 in force, which requires sign-offs by 2 of 3
/// operators.
class BundleRegistryTest : public testing::Test {
protected:
  BundleRegistryTest() {
    Registry_.propose(makeProposal(First_, 1));
    EXPECT_TRUE(Registry_.sign(makeSignCommand(First_, 2)).Accepted_);
  }
  std::string makeSuccessor(const std::string &Note) const {
    return makeBundleText(2, 1, computeDigest(First_).value(), 3, 2, Note);
  }
  std::uint64_t inForce() const { return Registry_.inForce().Version_.value(); }

  std::string First_ = makeBundleText(1, 0, "");
  BundleRegistry Registry_;
};
} // namespace

TEST_F(BundleRegistryTest, FirstBundleIsSignedByItsOwnOperators) {
  EXPECT_EQ(inForce(), 1U);
  EXPECT_EQ(Registry_.history().latest()->SignedBy_,
            (std::vector<OperatorId>{makeOperator(1), makeOperator(2)}));
}

TEST_F(BundleRegistryTest, BundleIsAcceptedWithLastSignOff) {
  const auto Next = makeSuccessor("");
  const CommandResult Result = Registry_.propose(makeProposal(Next, 1));
  EXPECT_EQ(Result.Error_, "");
  EXPECT_FALSE(Result.Accepted_);
  EXPECT_EQ(inForce(), 1U);
  EXPECT_TRUE(Registry_.sign(makeSignCommand(Next, 3)).Accepted_);
  EXPECT_EQ(inForce(), 2U);
}

TEST_F(BundleRegistryTest, OperatorIsNotCountedTwice) {
  const auto Next = makeSuccessor("");
  Registry_.propose(makeProposal(Next, 1));
  EXPECT_EQ(Registry_.propose(makeProposal(Next, 1)).Error_, "already_exists");
  EXPECT_EQ(Registry_.sign(makeSignCommand(Next, 1)).Error_, "already_exists");
  EXPECT_EQ(inForce(), 1U);
}

TEST_F(BundleRegistryTest, UnknownOperatorsAndForgedSignaturesAreRejected) {
  const auto Next = makeSuccessor("");
  Registry_.propose(makeProposal(Next, 1));
  SignBundle Forged = makeSignCommand(Next, 3);
  Forged.SignOff_.Operator_ = makeOperator(2);
  EXPECT_EQ(Registry_.sign(Forged).Error_, "permission_denied");
  EXPECT_EQ(Registry_.sign(makeSignCommand(Next, 9)).Error_,
            "permission_denied");
  SignBundle OtherText = makeSignCommand(makeSuccessor("other"), 2);
  OtherText.Digest_ = computeDigest(Next);
  EXPECT_EQ(Registry_.sign(OtherText).Error_, "permission_denied");
  EXPECT_EQ(inForce(), 1U);
}

TEST_F(BundleRegistryTest, OperatorsOfBundleInForceDecide) {
  // Operator 4 is only on the proposed list, which would require one sign-off.
  const auto Next = makeBundleText(2, 1, computeDigest(First_).value(), 4, 1);
  EXPECT_EQ(Registry_.propose(makeProposal(Next, 4)).Error_,
            "permission_denied");
  EXPECT_FALSE(Registry_.propose(makeProposal(Next, 1)).Accepted_);
  EXPECT_EQ(inForce(), 1U);
}

TEST_F(BundleRegistryTest, ResentAcceptedBundleIsReportedAsAccepted) {
  const auto Next = makeSuccessor("");
  Registry_.propose(makeProposal(Next, 1));
  Registry_.sign(makeSignCommand(Next, 2));
  for (const CommandResult &Resent :
       {Registry_.propose(makeProposal(Next, 1)),
        Registry_.sign(makeSignCommand(Next, 2)),
        Registry_.propose(makeProposal(First_, 1)),
        Registry_.sign(makeSignCommand(First_, 3))}) {
    EXPECT_EQ(Resent.Error_, "already_exists");
    EXPECT_TRUE(Resent.Accepted_);
  }
  EXPECT_EQ(inForce(), 2U);
  EXPECT_EQ(Registry_.history().size(), 2U);
}

TEST_F(BundleRegistryTest, ParentVersionAndParentDigestMustBothBeInForce) {
  const auto Digest1 = computeDigest(First_).value();
  for (const auto &Stale : {makeBundleText(1, 0, ""), makeBundleText(2, 0, ""),
                            makeBundleText(3, 2, Digest1),
                            makeBundleText(2, 1, std::string(64, 'b'))}) {
    const auto Result = Registry_.propose(makeProposal(Stale, 1));
    EXPECT_EQ(Result.Error_, Stale == First_ ? "already_exists" : "conflict");
    EXPECT_EQ(Result.Digest_.value(), Digest1);
  }
}

TEST_F(BundleRegistryTest, SignersOfSupersededProposalReceiveAcceptedDigest) {
  const auto Superseded = makeSuccessor("lost");
  const auto Accepted = makeSuccessor("won");
  Registry_.propose(makeProposal(Superseded, 1));
  Registry_.propose(makeProposal(Accepted, 2));
  Registry_.sign(makeSignCommand(Accepted, 3));
  const CommandResult Result = Registry_.sign(makeSignCommand(Superseded, 2));
  EXPECT_EQ(Result.Error_, "conflict");
  EXPECT_EQ(Result.Digest_, computeDigest(Accepted));
  EXPECT_TRUE(Registry_.proposals().empty());
}

TEST_F(BundleRegistryTest, OldestProposalOfAnOperatorIsEvicted) {
  for (int I = 0; I < 10; ++I)
    Registry_.propose(makeProposal(makeSuccessor(std::to_string(I)), 1));
  EXPECT_EQ(Registry_.proposals().size(),
            BundleRegistry::MaxProposalsPerOperator);
  EXPECT_EQ(Registry_.sign(makeSignCommand(makeSuccessor("0"), 2)).Error_,
            "not_found");
  EXPECT_TRUE(Registry_.sign(makeSignCommand(makeSuccessor("9"), 2)).Accepted_);
}

TEST_F(BundleRegistryTest, InvalidTextIsRejectedWithItsProblems) {
  const CommandResult Result = Registry_.propose(makeProposal("{}", 1));
  EXPECT_EQ(Result.Error_, "invalid_argument");
  EXPECT_NE(Result.Message_.find("/version is missing"), std::string::npos);
}

/// 50 operators change version 1 at the same time, each sends its proposal up
/// to three times, and all proposals arrive in a random order.
TEST(BundleRaceTest, ExactlyOneOfFiftyEqualVersionsIsAccepted) {
  static constexpr unsigned Operators = 50;
  for (unsigned Seed = 0; Seed < 8; ++Seed) {
    std::mt19937 Random(Seed);
    const auto First = makeBundleText(1, 0, "", Operators, 1);
    BundleRegistry Registry;
    ASSERT_TRUE(Registry.propose(makeProposal(First, 1)).Accepted_);
    std::vector<ProposeBundle> Sent;
    for (unsigned I = 1; I <= Operators; ++I)
      for (unsigned Copy = 0; Copy < 1 + Random() % 3; ++Copy)
        Sent.push_back(makeProposal(
            makeBundleText(2, 1, computeDigest(First).value(), Operators, 1,
                           "by " + std::to_string(I)),
            I));
    std::shuffle(Sent.begin(), Sent.end(), Random);
    const Digest Winner = computeDigest(Sent.front().Text_);
    unsigned AcceptedCount = 0;
    for (const ProposeBundle &Proposal : Sent) {
      const CommandResult Result = Registry.propose(Proposal);
      AcceptedCount += Result.Error_.empty() ? 1 : 0;
      const bool IsWinner = computeDigest(Proposal.Text_) == Winner;
      EXPECT_EQ(Result.Accepted_, IsWinner);
      EXPECT_EQ(Result.Digest_, Winner);
      EXPECT_EQ(Result.Error_ == "conflict", !IsWinner);
    }
    EXPECT_EQ(AcceptedCount, 1U);
    EXPECT_EQ(Registry.history().size(), 2U);
    EXPECT_EQ(Registry.history().latest()->Digest_, Winner);
  }
}

TEST(BundleHistoryTest, OldTextsAndDetailsAreDroppedButVersionsAndDigestsKept) {
  BundleHistory History;
  const std::size_t Count = BundleHistory::MaxDetailedRecords + 100;
  for (std::uint64_t Version = 1; Version <= Count; ++Version) {
    AcceptedBundle Accepted;
    Accepted.Version_ = BundleVersion(Version);
    Accepted.Digest_ = computeDigest(std::to_string(Version));
    Accepted.Text_ = "text";
    Accepted.Note_ = "note";
    History.append(std::move(Accepted));
  }
  EXPECT_EQ(History.size(), Count);
  EXPECT_EQ(History.archive().size(), 100U);
  const auto List = History.list(Count + 1);
  ASSERT_EQ(List.size(), Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const std::uint64_t Version = Count - I;
    EXPECT_EQ(List[I].Digest_, computeDigest(std::to_string(Version)));
    EXPECT_EQ(List[I].Text_.empty(), I >= BundleHistory::MaxTexts);
    EXPECT_EQ(List[I].Note_.empty(), I >= BundleHistory::MaxDetailedRecords);
  }
  EXPECT_EQ(History.findVersion(BundleVersion(7))->Digest_, computeDigest("7"));
  EXPECT_FALSE(History.findVersion(BundleVersion(Count + 1)));
}

TEST_F(BundleRegistryTest, InconsistentSnapshotIsRejected) {
  Registry_.propose(makeProposal(makeSuccessor("waits"), 1));
  const AcceptedBundle InForce = *Registry_.history().latest();
  const auto Restore = [&](const std::deque<AcceptedBundle> &Recent) {
    return BundleRegistry::restore(BundleHistory({}, Recent),
                                   Registry_.proposals(), {},
                                   Registry_.nextSequence());
  };
  EXPECT_EQ(Restore({InForce}).value(), Registry_);
  AcceptedBundle OtherVersion = InForce;
  OtherVersion.Version_ = BundleVersion(2);
  AcceptedBundle OtherText = InForce;
  OtherText.Text_ += " ";
  AcceptedBundle NoDigest = InForce;
  NoDigest.Digest_ = Digest("x");
  EXPECT_FALSE(Restore({OtherVersion}).has_value());
  EXPECT_FALSE(Restore({OtherText}).has_value());
  EXPECT_FALSE(Restore({NoDigest, InForce}).has_value());
  EXPECT_FALSE(Restore({InForce, InForce}).has_value())
      << "versions do not increase";
  auto Proposals = Registry_.proposals();
  Proposals.begin()->second.Text_ += " ";
  EXPECT_FALSE(BundleRegistry::restore(BundleHistory({}, {InForce}), Proposals,
                                       {}, Registry_.nextSequence())
                   .has_value());
}
