//===- LeaderChangeTest.cpp - Waits that a change of leader keeps ---------===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

class LeaderChangeTest : public JobLeaderTest {
protected:
  void stopLeading() {
    Group_.IsLeader_ = false;
    Strand_.advance(100ms);
  }
  void startLeading() {
    Group_.IsLeader_ = true;
    ++Group_.Term_;
    Strand_.advance(100ms);
  }
  /// Applies an entry that another leader has committed.
  void apply(const Command &Entry) {
    Machine_.apply({Group_.Term_, 0, encodeCommand(Entry)});
  }
};

} // namespace

// Guards against a long-running task that waits anew for a server without other
// images at each change of leader.
TEST_F(LeaderChangeTest, WaitForRoomBesideOtherImagesIsKept) {
  call(CallKind::Submit, "a", {makeServing(1, "a")});
  const ServerOrders First = report(makeReport("s1"));
  ASSERT_EQ(First.Starts_.size(), 1U);
  const auto ReportRunning = [&] {
    ServerReport Report = makeReport("s1");
    Report.Running_ = {makeRunning(First.Starts_[0])};
    return report(Report);
  };
  apply(AddServer{makeServer("s2")});
  stopLeading();
  apply(makeSubmit(makeJob("b", {makeServing(1, "b")})));
  Strand_.advance(800ms);
  startLeading();
  // s2 has room, but does not report, so the task waits for 1.5 s in all.
  EXPECT_TRUE(ReportRunning().Starts_.empty());
  stopLeading();
  Strand_.advance(500ms);
  startLeading();
  const ServerOrders Orders = ReportRunning();
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.Starts_[0].Task_.Job_, "b");
}

// Guards against a long-running task that waits anew for isolation at each
// change of leader.
TEST_F(LeaderChangeTest, WaitForIsolationIsKept) {
  call(CallKind::Submit, "a", {makeServing(1, "a")});
  call(CallKind::Submit, "b", {makeServing(1, "b")});
  stopLeading();
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    const std::string Id = "lost" + std::to_string(Run);
    apply(AddServer{makeServer(Id)});
    apply(StartTasks{{makeStart("a", 0, Id, Run), makeStart("b", 0, Id, Run)}});
    apply(RemoveServer{Id, {}, true, {true, true, false, true, {}}});
  }
  // The isolated run on s1 is not proved, so b gets no server for isolation.
  apply(AddServer{makeServer("s1")});
  apply(AddServer{makeServer("s2")});
  apply(StartTasks{{makeStart("a", 0, "s1", 3)}});
  Strand_.advance(800ms);
  startLeading();
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  stopLeading();
  Strand_.advance(1s);
  startLeading();
  const ServerOrders Orders = report(makeReport("s2"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.Starts_[0].Task_.Job_, "b");
}

// Guards against stops that lose their place in the relays' order at a change
// of leader: their bound counts from the end of the job. A member notes an end
// within a second.
TEST_F(LeaderChangeTest, WaitForAStopIsKept) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  ASSERT_EQ(report(makeReport("s1")).Starts_.size(), 1U);
  stopLeading();
  apply(CancelJob{"j"});
  Strand_.advance(2s);
  startLeading();
  ASSERT_EQ(Leader_.listAwaitingStop().size(), 1U);
  EXPECT_GE(Leader_.listAwaitingStop()[0].WaitedMs_, 1100U);
  EXPECT_LE(Leader_.listAwaitingStop()[0].WaitedMs_, 2100U);
  const std::uint64_t Before = Leader_.listAwaitingStop()[0].WaitedMs_;
  stopLeading();
  startLeading();
  ASSERT_EQ(Leader_.listAwaitingStop().size(), 1U);
  EXPECT_EQ(Leader_.listAwaitingStop()[0].WaitedMs_, Before + 200);
}

// Guards against the start of a gang on a draining server: a new leader does
// not know of the draining until the server reports.
TEST_F(LeaderChangeTest, GangStartsOnServersThatHaveReportedOnly) {
  const auto ReportDraining = [this] {
    ServerReport Report = makeReport("s1");
    Report.IsDraining_ = true;
    return report(Report);
  };
  report(makeReport("s2"));
  ReportDraining();
  StepSpec Gang = makeStep(2, 3000);
  Gang.Gang_ = true;
  call(CallKind::Submit, "g", {Gang});
  stopLeading();
  startLeading();
  Strand_.advance(2s);
  EXPECT_TRUE(ReportDraining().Starts_.empty());
  EXPECT_TRUE(report(makeReport("s2")).Starts_.empty());
  report(makeReport("s3"));
  Strand_.advance(2s);
  EXPECT_TRUE(ReportDraining().Starts_.empty());
  EXPECT_EQ(report(makeReport("s2")).Starts_.size(), 1U);
  EXPECT_EQ(report(makeReport("s3")).Starts_.size(), 1U);
}
