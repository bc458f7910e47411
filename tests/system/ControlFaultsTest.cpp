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
    ASSERT_TRUE(Whole.start()) << Whole.whatFailed();
    ASSERT_TRUE(Whole.submitJob(
        "rebill", Tasks, {{"workMs", 9000}, {"checkpointEveryMs", 500}}));
    ASSERT_TRUE(waitFor(
        LongEnough,
        [&] {
          return Whole.readAudit().listEvents("taskStart").size() >= Tasks;
        }))
        << Whole.operate("GET", "/jobs/rebill").Body_
        << Whole.operate("GET", "/jobs/rebill/explain?task=0").Body_
        << Whole.showOutputs();
    ChargeLoadShape Shape;
    Shape.Ports_ = {Whole.entryPort(0, 0), Whole.entryPort(0, 1)};
    Charges = std::make_unique<ChargeLoad>(Whole, Shape);
    ASSERT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  }

  ControlProcess &leader() { return Whole.control(0, Whole.waitForLeader(0)); }

  /// Everything goes on, ends, and the stand-ins ran nothing twice.
  void expectNothingLostOrDoubled() {
    EXPECT_TRUE(Charges->waitForServed(20)) << Whole.showOutputs();
    Charges->stop();
    EXPECT_TRUE(Whole.waitForJob("rebill", "finished"))
        << Whole.operate("GET", "/jobs/rebill").Body_ << Whole.showOutputs();
    Audit Ran = Whole.readAudit();
    EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
    EXPECT_THAT(Charges->listFaults(Ran), IsEmpty());
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
        return Whole
                   .operate("POST", "/members/" + Group + "/replace",
                            Json{{"name", Lost.Name_}})
                   .Status_ == 200;
      });
    };
    return Replaced("dc1") && Replaced("fleet");
  }

  Cluster Whole{makeShape()};
  std::unique_ptr<ChargeLoad> Charges;
};

TEST_F(ControlFaults, TheLeaderIsKilledTwice) {
  for (int Round = 0; Round < 2; ++Round) {
    ControlProcess &Killed = leader();
    Killed.Child_->kill();
    EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
    Killed.Child_->start();
  }
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, TheLeaderIsFrozenForLongerThanEveryLease) {
  ControlProcess &Frozen = leader();
  Frozen.Child_->signal(SIGSTOP);
  std::int64_t FrozenAt = nowMs();
  EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  waitFor(LongEnough, [&] { return nowMs() - FrozenAt > 3 * 2000; });
  Frozen.Child_->signal(SIGCONT);
  EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, ADataFolderIsLostAndASecondVmRightAfterTheRepair) {
  ControlProcess &First = leader();
  loseDisk(First);
  EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  EXPECT_TRUE(replace(First))
      << Whole.operate("GET", "/members").Body_ << Whole.showOutputs();
  ControlProcess &Second = leader();
  loseDisk(Second);
  EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  EXPECT_TRUE(replace(Second))
      << Whole.operate("GET", "/members").Body_ << Whole.showOutputs();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, AllControlsAreKilledAtOnce) {
  for (std::size_t Number = 0; Number < 3; ++Number)
    Whole.control(0, Number).Child_->kill();
  for (std::size_t Number = 0; Number < 3; ++Number)
    Whole.control(0, Number).Child_->start();
  expectNothingLostOrDoubled();
}

TEST_F(ControlFaults, TheLeaderIsStoppedAsPlanned) {
  ControlProcess &Stopped = leader();
  Stopped.Child_->signal(SIGTERM);
  EXPECT_EQ(Stopped.Child_->wait(LongEnough), 0)
      << Stopped.Child_->readOutput();
  EXPECT_TRUE(Charges->waitForServed(10)) << Whole.showOutputs();
  Stopped.Child_->start();
  expectNothingLostOrDoubled();
}
