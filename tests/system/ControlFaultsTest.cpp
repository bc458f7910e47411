// Controls of one data centre are killed, frozen and robbed of their disks
// while requests that may not be repeated and batch tasks go through them.

#include "system/support/ChargeLoad.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <csignal>
#include <filesystem>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;
using testing::IsEmpty;

static constexpr std::size_t Tasks = 8;
static constexpr Milliseconds LeaseTtl{2000};

static ClusterShape makeShape() {
  ClusterShape Shape;
  Shape.ControlsEach_ = 3;
  Shape.EntriesEach_ = 2;
  Shape.ServersEach_ = 4;
  Shape.ControlFlags_ = {
      "--lease-ttl",
      std::to_string(LeaseTtl.count()),
  };
  return Shape;
}

/// Three controls with a load of charges and a job of eight tasks.
class ControlFaults : public testing::Test {
protected:
  void SetUp() override {
    ASSERT_TRUE(Whole_.start()) << Whole_.whatFailed();
    ASSERT_TRUE(Whole_.submitJob(
        "rebill", Tasks, {{"workMs", 9000}, {"checkpointEveryMs", 500}}));
    ASSERT_TRUE(waitFor(
        LongEnough,
        [&] {
          return Whole_.readAudit().listEvents("taskStart").size() >= Tasks;
        }))
        << Whole_.operate("GET", "/jobs/rebill").Body_
        << Whole_.operate("GET", "/jobs/rebill/explain?task=0").Body_
        << Whole_.showOutputs();
    ChargeLoadShape Shape;
    Shape.Ports_ = {Whole_.entryPort(0, 0), Whole_.entryPort(0, 1)};
    Charges_ = std::make_unique<ChargeLoad>(Whole_, Shape);
    ASSERT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  }

  ControlProcess &leader() {
    return Whole_.control(0, Whole_.waitForLeader(0));
  }

  /// Everything goes on, ends, and the stand-ins ran nothing twice.
  void expectNothingLostOrDoubled() {
    EXPECT_TRUE(Charges_->waitForServed(20)) << Whole_.showOutputs();
    Charges_->stop();
    EXPECT_TRUE(Whole_.waitForJob("rebill", "finished"))
        << Whole_.operate("GET", "/jobs/rebill").Body_ << Whole_.showOutputs();
    Audit Ran = Whole_.readAudit();
    EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
    EXPECT_THAT(Charges_->listFaults(Ran), IsEmpty());
    for (std::size_t Task = 0; Task < Tasks; ++Task)
      EXPECT_EQ(Ran.countEnds("rebill/" + std::to_string(Task), "finished"),
                1U);
  }

  /// Stops a control for good and wipes its disk; it comes back empty.
  void loseDisk(ControlProcess &Lost) {
    Lost.Child_->kill();
    std::filesystem::remove_all(Lost.DataFolder_);
    std::filesystem::create_directories(Lost.DataFolder_);
    Lost.Child_->start();
  }

  /// One command for each group brings a replaced VM back.
  bool replace(const ControlProcess &Lost) {
    auto Replaced = [&](const std::string &Group) {
      return waitFor(LongEnough, [&] {
        return Whole_
                   .operate("POST", "/members/" + Group + "/replace",
                            Json{{"name", Lost.Name_}})
                   .Status_ == 200;
      });
    };
    return Replaced("dc1") && Replaced("fleet");
  }

  Cluster Whole_{makeShape()};
  std::unique_ptr<ChargeLoad> Charges_;
};

TEST_F(ControlFaults, TheLeaderIsKilledTwice) {
  for (int Round = 0; Round < 2; ++Round) {
    ControlProcess &Killed = leader();
    Killed.Child_->kill();
    EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
    Killed.Child_->start();
  }
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, TheLeaderIsFrozenForLongerThanEveryLease) {
  ControlProcess &Frozen = leader();
  Frozen.Child_->signal(SIGSTOP);
  std::int64_t FrozenAt = nowMs();
  EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  waitFor(LongEnough,
          [&] { return nowMs() - FrozenAt > 3 * LeaseTtl.count(); });
  Frozen.Child_->signal(SIGCONT);
  EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, ADataFolderIsLostAndASecondVmRightAfterTheRepair) {
  ControlProcess &First = leader();
  loseDisk(First);
  EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  EXPECT_TRUE(replace(First))
      << Whole_.operate("GET", "/members").Body_ << Whole_.showOutputs();
  ControlProcess &Second = leader();
  loseDisk(Second);
  EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  EXPECT_TRUE(replace(Second))
      << Whole_.operate("GET", "/members").Body_ << Whole_.showOutputs();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, AllControlsAreKilledAtOnce) {
  for (std::size_t Number = 0; Number < 3; ++Number)
    Whole_.control(0, Number).Child_->kill();
  for (std::size_t Number = 0; Number < 3; ++Number)
    Whole_.control(0, Number).Child_->start();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, TheLeaderIsStoppedAsPlanned) {
  ControlProcess &Stopped = leader();
  Stopped.Child_->signal(SIGTERM);
  EXPECT_EQ(Stopped.Child_->wait(LongEnough), 0)
      << Stopped.Child_->readOutput();
  EXPECT_TRUE(Charges_->waitForServed(10)) << Whole_.showOutputs();
  Stopped.Child_->start();
  expectNothingLostOrDoubled();
}
