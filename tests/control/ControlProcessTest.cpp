//===- ControlProcessTest.cpp - Complete control processes on loopback ---===//

#include "tulipweir/control/ControlProcess.h"
#include "control/BundleFile.h"
#include "fleet/FleetFixture.h"
#include "replication/PosixFileSystem.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Link.h"
#include "tulipweir/wire/Messages.h"

#include <gtest/gtest.h>

#include <condition_variable>
#include <filesystem>
#include <future>
#include <thread>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::control;
using net::ExitCode;

namespace {
class ControlProcessTest : public testing::Test {
protected:
  ControlProcessTest() {
    Folder_ = testing::TempDir() + "control-" + std::to_string(::getpid()) +
              "-" +
              testing::UnitTest::GetInstance()->current_test_info()->name();
    std::filesystem::remove_all(Folder_);
    Settings_.Name_ = "c1";
    Settings_.DataCentre_ = "east";
    Settings_.Secret_ = "0123456789abcdef";
    Settings_.DataFolder_ = Folder_;
    Settings_.ListenLinks_ = {"127.0.0.1", 0};
    Settings_.ListenHttp_ = {"127.0.0.1", 0};
    Settings_.DataCentreMembers_ = {{"c1", {"127.0.0.1", 1}}};
    Settings_.FleetMembers_ = Settings_.DataCentreMembers_;
  }
  ~ControlProcessTest() override { std::filesystem::remove_all(Folder_); }

  ExitCode start() {
    Process_ = std::make_unique<ControlProcess>(Settings_, Time_);
    const ExitCode Code = Process_->start().Code_;
    if (Code != ExitCode::Success)
      return Code;
    net::LinkSettings Link;
    Link.Secret_ = Settings_.Secret_;
    Client_ = std::make_unique<net::LinkClient>(
        Pool_.context(), Process_->getLinkEndpoint(), Link);
    Client_->start();
    return Code;
  }
  using Answer = Outcome<wire::OperatorAnswer>;
  std::future<Answer> callOperator(const std::string &Path,
                                   const std::string &Query) {
    auto Received = std::make_shared<std::promise<Answer>>();
    Client_->request(wire::OperatorCall{"GET", Path, Query, ""},
                     std::chrono::seconds(30),
                     [Received](Answer Reply) { Received->set_value(Reply); });
    return Received->get_future();
  }
  /// Polls until the process leads and answers with status 200.
  bool waitForLeader() {
    for (int Try = 0; Try < 1000; ++Try) {
      const Answer Received = callOperator("/servers", "").get();
      if (Received && Received.value().Status_ == 200)
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  SystemClock Time_;
  ControlSettings Settings_;
  std::string Folder_;
  net::IoPool Pool_{1};
  std::unique_ptr<ControlProcess> Process_;
  std::unique_ptr<net::LinkClient> Client_;
};
} // namespace

TEST_F(ControlProcessTest, LeadsAloneAndStopsAsPlanned) {
  ASSERT_EQ(start(), ExitCode::Success);
  EXPECT_TRUE(waitForLeader());
  EXPECT_NE(Process_->makeStateDump().find("\"leadsDataCentre\":true"),
            std::string::npos);
  EXPECT_EQ(Process_->stop(), ExitCode::Success);
  EXPECT_EQ(start(), ExitCode::Success) << "restart with the same folder";
  EXPECT_TRUE(waitForLeader());
}

TEST_F(ControlProcessTest, StartLoadsTheBundleFromTheDataFolder) {
  replication::PosixFileSystem Files;
  ASSERT_TRUE(Files.makeFolder(Folder_));
  const std::string Text = fleet::test::makeBundleText(5, 0, "", 1, 1);
  ASSERT_TRUE(BundleFile(Files, Folder_)
                  .save({BundleVersion(5), fleet::computeDigest(Text), Text}));
  ASSERT_EQ(start(), ExitCode::Success);
  ASSERT_TRUE(waitForLeader());
  const Answer Received = callOperator("/bundles/current", "").get();
  ASSERT_TRUE(Received) << Received.error().Message_;
  EXPECT_NE(Received.value().Body_.find("\"version\":5"), std::string::npos);
  EXPECT_EQ(Process_->stop(), ExitCode::Success);
}

TEST_F(ControlProcessTest, PlannedStopAnswersCallsInProgress) {
  ASSERT_EQ(start(), ExitCode::Success);
  ASSERT_TRUE(waitForLeader());
  auto Waiting =
      callOperator("/decisions", "waitMs=20000&after=99999999999999");
  while (Process_->makeStateDump().find("\"callsInProgress\":1") ==
         std::string::npos)
    std::this_thread::yield();
  EXPECT_EQ(Process_->stop(), ExitCode::Success);
  const Answer Received = Waiting.get();
  ASSERT_TRUE(Received) << Received.error().Message_;
  EXPECT_EQ(Received.value().Status_, 200U);
}

TEST_F(ControlProcessTest, RefusesAnAddressInUseAndAnotherMembersFolder) {
  ASSERT_EQ(start(), ExitCode::Success);
  Settings_.ListenLinks_ = Process_->getLinkEndpoint();
  Settings_.DataFolder_ = Folder_ + "/other";
  ControlProcess Second(Settings_, Time_);
  EXPECT_EQ(Second.start().Code_, ExitCode::CannotListen);
  EXPECT_EQ(Process_->stop(), ExitCode::Success);
  Settings_.DataFolder_ = Folder_;
  Settings_.Name_ = "c2";
  Settings_.ListenLinks_.Port_ = 0;
  ControlProcess OtherMember(Settings_, Time_);
  EXPECT_EQ(OtherMember.start().Code_, ExitCode::StorageFailed);
}
