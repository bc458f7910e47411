// Three data centres, one of them cut off for longer than the leases. It goes
// on with what is its own; afterwards everything is in step, nothing doubled.

#include "system/support/ChargeLoad.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;
using testing::IsEmpty;

static constexpr std::size_t CutOff = 2;
static constexpr std::int64_t LeaseMs = 2000;
static constexpr std::int64_t AssignmentMs = 6 * LeaseMs;

static ClusterShape makeShape() {
  ClusterShape Shape;
  Shape.DataCentres_ = 3;
  Shape.CanCut_ = true;
  Shape.ControlFlags_ = {"--lease-ttl", std::to_string(LeaseMs),

                         "--assignment-ttl", std::to_string(AssignmentMs)};
  return Shape;
}

class DataCentreCut : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Whole_.start()) << Whole_.whatFailed(); }

  bool submitTo(std::size_t DataCentre, const std::string &Job,
                std::int64_t WorkMs) {
    return Whole_.submitJob(
               Job, 4, {{"workMs", WorkMs}, {"checkpointEveryMs", 500}},
               DataCentre, "dc" + std::to_string(DataCentre + 1)) &&
           waitFor(LongEnough, [&] {
             return Whole_.readAudit().countStarts(
                        Job, "dc" + std::to_string(DataCentre + 1)) == 4;
           });
  }
  static void passMs(std::int64_t Length) {
    std::int64_t From = nowMs();
    waitFor(LongEnough, [&] { return nowMs() - From >= Length; });
  }
  std::uint64_t versionAt(std::size_t DataCentre) {
    return Whole_.operate("GET", "/bundles/current", {}, DataCentre)
        .json()
        .value("version", std::uint64_t(0));
  }

  Cluster Whole_{makeShape()};
};

TEST_F(DataCentreCut, ItServesAndFinishesWhatIsItsOwnAndCatchesUp) {
  ASSERT_TRUE(submitTo(CutOff, "own", 5000)) << Whole_.showOutputs();
  ChargeLoadShape Shape;
  Shape.Ports_ = {Whole_.entryPort(CutOff)};
  Shape.Threads_ = 2;
  ChargeLoad Charges(Whole_, Shape);
  ASSERT_TRUE(Charges.waitForServed(5)) << Whole_.showOutputs();

  Whole_.setCut(CutOff, true);
  BundleOptions Next = Whole_.followCurrent();
  EXPECT_TRUE(waitFor(LongEnough, [&] {
    return Cluster::isAccepted(Whole_.proposeBundle(Whole_.makeBundle(Next)));
  })) << Whole_.showOutputs();
  EXPECT_TRUE(Charges.waitForServed(20)) << Whole_.showOutputs();
  passMs(3 * LeaseMs);
  for (int Task = 0; Task < 4; ++Task)
    EXPECT_TRUE(waitFor(LongEnough, [&] {
      return Whole_.readAudit().countEnds("own/" + std::to_string(Task),
                                          "finished") == 1;
    })) << Whole_.showOutputs();
  EXPECT_EQ(versionAt(CutOff), Next.ParentVersion_);

  Whole_.setCut(CutOff, false);
  EXPECT_TRUE(
      waitFor(LongEnough, [&] { return versionAt(CutOff) == Next.Version_; }))
      << get(Whole_.control(CutOff).HttpPort_, "/metrics").Body_
      << get(Whole_.control(0).HttpPort_, "/metrics").Body_
      << get(Whole_.control(CutOff).HttpPort_, "/debug/state").Body_
      << get(Whole_.control(0).HttpPort_, "/debug/state").Body_
      << Whole_.showOutputs();
  EXPECT_TRUE(Whole_.waitForJob("own", "finished", 0)) << Whole_.showOutputs();
  Charges.stop();
  Audit Ran = Whole_.readAudit();
  EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
  EXPECT_THAT(Charges.listFaults(Ran), IsEmpty());
}

TEST_F(DataCentreCut, KilledAndRestartedInsideItServesByTheSameBundle) {
  BundleOptions Next = Whole_.followCurrent();
  EXPECT_TRUE(waitFor(LongEnough, [&] {
    return Cluster::isAccepted(Whole_.proposeBundle(Whole_.makeBundle(Next)));
  })) << Whole_.showOutputs();
  ASSERT_TRUE(waitFor(LongEnough, [&] {
    return versionAt(CutOff) == Next.Version_;
  })) << Whole_.showOutputs();

  Whole_.setCut(CutOff, true);
  Whole_.control(CutOff).Child_->kill();
  Whole_.entry(CutOff).Child_->kill();
  Whole_.control(CutOff).Child_->start();
  Whole_.entry(CutOff).Child_->start();
  EXPECT_TRUE(waitFor(LongEnough, [&] {
    return get(Whole_.entryPort(CutOff), "/readyz").Status_ == 200;
  })) << Whole_.showOutputs();
  EXPECT_EQ(versionAt(CutOff), Next.Version_);
  Whole_.setCut(CutOff, false);
}

TEST_F(DataCentreCut, AJobMovesOnlyOnceTheCutOffOneHasGivenItUp) {
  ASSERT_TRUE(submitTo(CutOff, "long", 30000)) << Whole_.showOutputs();
  Whole_.setCut(CutOff, true);
  EXPECT_TRUE(
      Whole_.waitForJob("long", "finished", 0, std::chrono::seconds(90)))
      << Whole_.showOutputs();
  Whole_.setCut(CutOff, false);
  EXPECT_TRUE(Whole_.waitForJob("long", "finished", CutOff))
      << Whole_.showOutputs();
  Audit Ran = Whole_.readAudit();
  EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
  EXPECT_EQ(Ran.countStarts("long", "dc3"), 4U);
  for (int Task = 0; Task < 4; ++Task)
    EXPECT_EQ(Ran.countEnds("long/" + std::to_string(Task), "finished"), 1U);
}
