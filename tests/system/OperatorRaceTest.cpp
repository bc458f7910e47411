// Operators race each other, resend, and ask processes that come back.

#include "system/support/Cluster.h"

#include "tulipweir/fleet/Bundle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <atomic>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;

static constexpr std::size_t Operators = 50;

static ClusterShape makeShape() {
  ClusterShape Shape;
  Shape.DataCentres_ = 3;
  Shape.ServersEach_ = 1;
  return Shape;
}

class OperatorRace : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Whole_.start()) << Whole_.whatFailed(); }

  std::string makeNext(const std::string &Note) {
    BundleOptions Next = Whole_.followCurrent();
    Next.Note_ = Note;
    return Whole_.makeBundle(Next);
  }
  Json readCurrent(std::size_t DataCentre = 0) {
    return Whole_.operate("GET", "/bundles/current", {}, DataCentre).json();
  }

  Cluster Whole_{makeShape()};
};

TEST_F(OperatorRace, OfFiftyEqualVersionNumbersExactlyOneWins) {
  std::vector<std::string> Texts;
  for (std::size_t Number = 0; Number < Operators; ++Number)
    Texts.push_back(makeNext("racer " + std::to_string(Number)));
  std::vector<HttpAnswer> Answers(Operators);
  std::vector<std::thread> Threads;
  for (std::size_t Number = 0; Number < Operators; ++Number)
    Threads.emplace_back([&, Number] {
      // A lost or undecided answer is asked for again, as an operator would.
      waitFor(LongEnough, [&] {
        Answers[Number] = Whole_.proposeBundle(Texts[Number], Number % 3);
        return Answers[Number].Status_ == 200 || Answers[Number].Status_ == 409;
      });
    });
  for (std::thread &Each : Threads)
    Each.join();
  std::size_t Won = 0;
  std::string Digest = readCurrent().value("digest", "");
  for (std::size_t Number = 0; Number < Operators; ++Number) {
    bool Accepted = Cluster::isAccepted(Answers[Number]);
    Won += Accepted;
    if (Accepted) {
      EXPECT_EQ(fleet::computeDigest(Texts[Number]).value(), Digest);
      continue;
    }
    EXPECT_EQ(Answers[Number].Status_, 409) << Answers[Number].Body_;
    // The losers are told which one won.
    EXPECT_NE(Answers[Number].Body_.find(Digest), std::string::npos)
        << Answers[Number].Body_;
  }
  EXPECT_EQ(Won, 1U);
}

TEST_F(OperatorRace, AResentBundleIsAlreadyAcceptedAndNeverReverts) {
  std::vector<std::string> Texts;
  BundleOptions Next = Whole_.followCurrent();
  for (int Number = 0; Number < 30; ++Number) {
    Texts.push_back(Whole_.makeBundle(Next));
    ASSERT_TRUE(waitFor(LongEnough, [&] {
      return Cluster::isAccepted(Whole_.proposeBundle(Texts.back()));
    }));
    Next.ParentVersion_ = Next.Version_++;
    Next.ParentDigest_ = fleet::computeDigest(Texts.back()).value();
  }
  constexpr std::uint64_t Version = 31;
  for (std::size_t Centre = 0; Centre < 3; ++Centre)
    EXPECT_TRUE(waitFor(LongEnough, [&] {
      return readCurrent(Centre).value("version", std::uint64_t(0)) == Version;
    }));
  // The newest again: already accepted. An old one again: nothing changes.
  EXPECT_TRUE(Cluster::isAccepted(Whole_.proposeBundle(Texts.back())));
  Whole_.proposeBundle(Texts.front());
  EXPECT_EQ(readCurrent().value("version", std::uint64_t(0)), Version);
  for (std::size_t Centre = 0; Centre < 3; ++Centre) {
    Whole_.control(Centre).Child_->kill();
    Whole_.control(Centre).Child_->start();
    Whole_.entry(Centre).Child_->kill();
    Whole_.entry(Centre).Child_->start();
  }
  for (std::size_t Centre = 0; Centre < 3; ++Centre) {
    // Nobody may see an older one on the way back.
    EXPECT_TRUE(waitFor(LongEnough, [&] {
      Json Current = readCurrent(Centre);
      if (!Current.is_object() || !Current.contains("digest"))
        return false;
      EXPECT_EQ(Current.value("version", std::uint64_t(0)), Version);
      return true;
    })) << Whole_.showOutputs();
  }
}
