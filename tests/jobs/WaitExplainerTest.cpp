//===- WaitExplainerTest.cpp - Reasons why waiting tasks do not start -----===//

#include "jobs/DispatcherFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class WaitExplainerTest : public DispatcherTest {
protected:
  WaitExplainerTest() { LiveServers_.reset(Registry_, Now_, 60s); }
  std::string explain() const {
    return Dispatcher_.explainer().explainWait(
        Registry_, LiveServers_, *Registry_.readySteps().begin(), Now_);
  }
  /// Returns the texts about steps that wait beside room for a second.
  std::vector<std::string> listUnusedRoom() {
    Dispatcher_.observe(Registry_, Now_);
    Now_ += 1s;
    std::vector<std::string> Texts;
    for (const auto &[Step, Text] : Dispatcher_.explainer().findUnusedRoom(
             Registry_, LiveServers_, Now_ - 1s, Now_, 8))
      Texts.push_back(Text);
    return Texts;
  }
};

} // namespace

// Guards against a text that counts a full server as quarantined, so that a
// full fleet and withheld servers look the same.
TEST_F(WaitExplainerTest, QuarantineIsNamedOnlyForServersWithRoom) {
  quarantine("s1");
  submit(makeJob("j", {makeServing(1, "a", 3000)}));
  EXPECT_EQ(explain(), "1 quarantined or on probation, 1 with capacity that is "
                       "not offered yet");
  submit(makeJob("large", {makeServing(1, "a", 5000)}));
  EXPECT_EQ(
      Dispatcher_.explainer().explainWait(
          Registry_, LiveServers_, *Registry_.readySteps().rbegin(), Now_),
      "2 full");
}

TEST_F(WaitExplainerTest, ServerWithRoomForAWaitingLongRunningTaskIsNamed) {
  apply(RemoveServer{"s2", {}, false, {}});
  quarantine("s1");
  submit(makeJob("j", {makeServing(1, "a", 3000)}));
  submit(makeJob("large", {makeServing(1, "a", 5000)}));
  EXPECT_EQ(listUnusedRoom(),
            std::vector<std::string>{"1 servers with room: s1 4000 free, 4000 "
                                     "reported: quarantined or on probation"});
}

TEST_F(WaitExplainerTest, ShortStepsAreNotListedAsWaitingBesideRoom) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  EXPECT_TRUE(listUnusedRoom().empty());
}

// Pattern of load: steps wait on a fleet of thousands of servers. Guards
// against an explanation whose cost grows with the fleet.
TEST_F(WaitExplainerTest, ALargeFleetIsExaminedInParts) {
  const std::size_t Servers = 2 * WaitExplainer::MaxExamined + 2;
  for (std::size_t I = 2; I < Servers; ++I)
    apply(AddServer{makeServer("t" + std::to_string(I))});
  LiveServers_.reset(Registry_, Now_, 60s);
  submit(makeJob("j", {makeServing(1, "a", 5000)}));
  const std::string Part = "of 256 of 514 servers 256 full";
  EXPECT_EQ(explain(), Part);
  std::set<std::string> Texts;
  // Three parts cover the fleet, the third with servers of the first.
  quarantine("t99");
  for (int I = 0; I < 3; ++I) {
    Dispatcher_.explainer().examineNext(Registry_);
    Texts.insert(explain());
  }
  EXPECT_EQ(Texts, std::set<std::string>{Part});
}

// Guards against parts that leave servers out.
TEST_F(WaitExplainerTest, TheNextPartsOfALargeFleetCoverAllServers) {
  for (std::size_t I = 2; I < 2 * WaitExplainer::MaxExamined; ++I)
    apply(AddServer{makeServer("t" + std::to_string(I))});
  LiveServers_.reset(Registry_, Now_, 60s);
  quarantine("t99");
  submit(makeJob("j", {makeServing(1, "a", 1000)}));
  std::size_t Named = 0;
  for (int I = 0; I < 2; ++I) {
    Named += explain().find("1 quarantined") != std::string::npos ? 1 : 0;
    Dispatcher_.explainer().examineNext(Registry_);
  }
  EXPECT_EQ(Named, 1U);
}
