//===- RestartedServerTest.cpp - A server that starts again under its id --===//

#include "jobs/LeaderFixture.h"
#include "tulipweir/jobs/IncarnationId.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// Servers that report their start time and a clock that begins with it.
class RestartedServerTest : public JobLeaderTest {
protected:
  static constexpr Duration AnswerPause = 100ms;

  /// Returns the next report of an incarnation of the server.
  ServerReport makeReportOf(const std::string &Server, std::uint64_t BornMs) {
    const std::string Id = IncarnationId::make(Server, BornMs).toString();
    StartedAt_.try_emplace(Id, Time_.now());
    ServerReport Report = makeIncarnationReport(Id, Server);
    Report.ServerClockMs_ =
        static_cast<std::uint64_t>((Time_.now() - StartedAt_.at(Id)) / 1ms);
    return Report;
  }
  /// Reports of the incarnation until it gets a lease, or for two seconds.
  ServerOrders reportUntilLease(const std::string &Server,
                                std::uint64_t BornMs) {
    ServerOrders Orders;
    for (Duration Waited{}; Waited < 2s && Orders.LeaseMs_ == 0;
         Waited += AnswerPause) {
      Orders = report(makeReportOf(Server, BornMs));
      Strand_.advance(AnswerPause);
    }
    return Orders;
  }
  std::size_t countServers() const {
    return Machine_.read(
        [](const JobRegistry &Registry) { return Registry.servers().size(); });
  }

  std::map<std::string, TimePoint> StartedAt_; ///< By incarnation.
};

} // namespace

// Guards against tasks that wait for a lease of an incarnation that has ended.
TEST_F(RestartedServerTest, TasksStartOnTheRestartedServerWithinASecond) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  ASSERT_EQ(report(makeReportOf("s1", 5000)).Starts_.size(), 1U);
  for (const std::uint64_t BornMs : {6000, 4000}) {
    Strand_.advance(300ms);
    const TimePoint RestartedAt = Time_.now();
    const ServerOrders Orders = reportUntilLease("s1", BornMs);
    EXPECT_EQ(Orders.Starts_.size(), 1U) << BornMs;
    EXPECT_LE(Time_.now() - RestartedAt, 1s) << BornMs;
    EXPECT_EQ(countServers(), 1U) << BornMs;
  }
  EXPECT_EQ(Log_.count(EventKind::ServerRestarted), 2U);
}

// Guards against a live incarnation that is replaced after delayed reports of
// one that has ended without being registered. Its time of day was later.
TEST_F(RestartedServerTest, DelayedReportsReplaceNoIncarnation) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerReport First = makeReportOf("s1", 9000);
  Strand_.advance(1s);
  const ServerReport Second = makeReportOf("s1", 9000);
  const ServerOrders Orders = report(makeReportOf("s1", 5000));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(report(First).LeaseMs_, 0U);
  Strand_.advance(500ms); // The relays have flushed.
  EXPECT_EQ(report(Second).LeaseMs_, 0U);
  ServerReport Alive = makeReportOf("s1", 5000);
  Alive.Running_ = {makeRunning(Orders.Starts_[0])};
  const ServerOrders Later = report(Alive);
  EXPECT_GT(Later.LeaseMs_, 0U);
  EXPECT_TRUE(Later.Stops_.empty());
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
}

// Guards against two delayed reports that were sent close to each other, the
// second before the answer to the first.
TEST_F(RestartedServerTest, ReportsFromBeforeTheAnswerReplaceNoIncarnation) {
  const ServerReport First = makeReportOf("s1", 9000);
  Strand_.advance(300ms);
  ServerReport Second = makeReportOf("s1", 9000);
  report(makeReportOf("s1", 5000));
  EXPECT_EQ(report(First).LeaseMs_, 0U);
  Strand_.advance(500ms);
  Second.WaitedMs_ = 600;
  EXPECT_EQ(report(Second).LeaseMs_, 0U);
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
}

// Guards against a takeover while a relay holds a report of the earlier
// incarnation with a completed run.
TEST_F(RestartedServerTest, AnIncarnationEndsOnceTheRelaysHaveFlushed) {
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  const ServerOrders Orders = report(makeReportOf("s1", 5000));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  Strand_.advance(300ms);
  ServerReport Held = makeReportOf("s1", 5000);
  Held.Ended_ = {makeEnded(1, Orders.Starts_[0], RunOutcome::Done)};
  Relays_.AnswersAutomatically_ = false;
  for (int I = 0; I < 4; ++I) {
    EXPECT_EQ(report(makeReportOf("s1", 6000)).LeaseMs_, 0U);
    Strand_.advance(AnswerPause);
  }
  Leader_.recordLateEnds(Held, [](const Outcome<ServerOrders> &) {});
  Relays_.answer();
  Strand_.runAll();
  const ServerOrders Later = report(makeReportOf("s1", 6000));
  EXPECT_GT(Later.LeaseMs_, 0U);
  EXPECT_TRUE(Later.Starts_.empty());
  EXPECT_EQ(call(CallKind::Show, "j").State_, JobState::Completed);
}

// Guards against a late report of an ended incarnation that counts as one of
// the current incarnation.
TEST_F(RestartedServerTest, LateReportsOfAnEndedIncarnationChangeNothing) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  report(makeReportOf("s1", 5000));
  const ServerReport Late = makeReportOf("s1", 5000);
  const ServerOrders Orders = reportUntilLease("s1", 6000);
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(report(Late), ServerOrders{});
  ServerReport Alive = makeReportOf("s1", 6000);
  Alive.Running_ = {makeRunning(Orders.Starts_[0])};
  EXPECT_TRUE(report(Alive).Stops_.empty());
  EXPECT_EQ(countServers(), 1U);
}

// Guards against an ended incarnation that registers again under a new leader.
TEST_F(RestartedServerTest, AnIncarnationStaysEndedUnderANewLeader) {
  report(makeReportOf("s1", 5000));
  const ServerReport Late = makeReportOf("s1", 5000);
  reportUntilLease("s1", 6000);
  beginNextTerm();
  EXPECT_EQ(report(Late), ServerOrders{});
  EXPECT_GT(report(makeReportOf("s1", 6000)).LeaseMs_, 0U);
  EXPECT_EQ(countServers(), 1U);
}

// Guards against an end of the new incarnation that is acknowledged or dropped
// because the earlier one had used its number.
TEST_F(RestartedServerTest, EndsCountAnewWithEachIncarnation) {
  call(CallKind::Submit, "a", {makeStep(1, 100)});
  const ServerOrders First = report(makeReportOf("s1", 5000));
  ServerReport Done = makeReportOf("s1", 5000);
  Done.Ended_ = {makeEnded(1, First.Starts_.at(0), RunOutcome::Done)};
  EXPECT_EQ(report(Done).EndsNoted_, 1U);
  call(CallKind::Submit, "b", {makeStep(1, 100)});
  const ServerOrders Second = reportUntilLease("s1", 6000);
  ASSERT_EQ(Second.Starts_.size(), 1U);
  Group_.IsHeld_ = true;
  ServerReport Again = makeReportOf("s1", 6000);
  Again.Ended_ = {makeEnded(1, Second.Starts_[0], RunOutcome::Done)};
  std::optional<ServerOrders> Early;
  Leader_.report(Again, [&Early](Outcome<ServerOrders> Orders) {
    Early = std::move(Orders.value());
  });
  Strand_.advance(400ms);
  ASSERT_TRUE(Early);
  EXPECT_EQ(Early->EndsNoted_, 0U) << "it is not committed";
  Group_.commitAll();
  Strand_.runAll();
  EXPECT_EQ(call(CallKind::Show, "b").State_, JobState::Completed);
}

// Guards against a restarted server that counts as draining.
TEST_F(RestartedServerTest, ADrainingServerThatRestartsGetsStarts) {
  ServerReport Draining = makeReportOf("s1", 5000);
  Draining.IsDraining_ = true;
  report(Draining);
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_EQ(reportUntilLease("s1", 6000).Starts_.size(), 1U);
}

// Guards against a gang of which one member stays on an ended incarnation.
TEST_F(RestartedServerTest, AGangOfARestartedServerRunsAgainAsAWhole) {
  StepSpec Gang = makeStep(2, 4000);
  Gang.Gang_ = true;
  report(makeReportOf("s1", 5000));
  report(makeReportOf("s2", 5000));
  call(CallKind::Submit, "g", {Gang});
  Strand_.advance(AnswerPause);
  const ServerOrders First = report(makeReportOf("s1", 5000));
  const ServerOrders Second = report(makeReportOf("s2", 5000));
  ASSERT_EQ(First.Starts_.size() + Second.Starts_.size(), 2U);
  reportUntilLease("s1", 6000);
  ServerReport Other = makeReportOf("s2", 5000);
  Other.Ended_ = {makeEnded(1, Second.Starts_[0], RunOutcome::GangMemberEnded)};
  report(Other);
  Strand_.advance(AnswerPause);
  const ServerOrders Third = report(makeReportOf("s1", 6000));
  const ServerOrders Fourth = report(makeReportOf("s2", 5000));
  ASSERT_EQ(Third.Starts_.size(), 1U);
  ASSERT_EQ(Fourth.Starts_.size(), 1U);
  EXPECT_EQ(Third.Starts_[0].Run_, Fourth.Starts_[0].Run_);
}

// Guards against two incarnations of a server that are both registered, as the
// server has another address since.
TEST_F(RestartedServerTest, ARestartAtAnotherAddressEndsTheEarlierIncarnation) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  ASSERT_EQ(report(makeReportOf("s1", 5000)).Starts_.size(), 1U);
  ServerOrders Orders;
  for (int I = 0; I < 10 && Orders.LeaseMs_ == 0; ++I) {
    ServerReport Moved = makeReportOf("s1", 6000);
    Moved.Facts_.Address_ = "elsewhere:80";
    Orders = report(Moved);
    Strand_.advance(AnswerPause);
  }
  EXPECT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(countServers(), 1U);
}

// Guards against a late notice of leaving that ends a restarted server.
TEST_F(RestartedServerTest, OnlyADrainingIncarnationLeavesWithoutAStartTime) {
  const auto Leave = [this](const std::string &Id) {
    bool IsAnswered = false;
    Leader_.leave(Id, [&IsAnswered](const Outcome<void> &Result) {
      IsAnswered = Result.has_value();
    });
    Strand_.advance(500ms);
    return IsAnswered;
  };
  report(makeReportOf("s1", 5000));
  EXPECT_TRUE(Leave("s1"));
  EXPECT_TRUE(Leave("s1/4000")) << "an earlier incarnation";
  EXPECT_EQ(countServers(), 1U);
  ServerReport Draining = makeReportOf("s1", 5000);
  Draining.IsDraining_ = true;
  report(Draining);
  EXPECT_TRUE(Leave("s1"));
  EXPECT_EQ(countServers(), 0U);
  report(makeReportOf("s1", 6000));
  EXPECT_TRUE(Leave("s1/6000"));
  EXPECT_EQ(countServers(), 0U);
}

// Guards against an upgrade that takes running servers for restarted ones: an
// earlier version registered them without their start time.
TEST_F(RestartedServerTest, AServerRegisteredWithoutAStartTimeRunsOn) {
  call(CallKind::Submit, "j", {makeServing(1, "web")});
  const ServerOrders Orders = report(makeReport("s1"));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  for (int I = 0; I < 20; ++I) {
    Strand_.advance(500ms);
    ServerReport Timed = makeReport("s1");
    Timed.Facts_ = makeReportOf("s1", 5000).Facts_;
    Timed.Running_ = {makeRunning(Orders.Starts_[0])};
    Timed.Running_[0].Percent_ = 100;
    const ServerOrders Later = report(Timed);
    EXPECT_GT(Later.LeaseMs_, 0U);
    EXPECT_TRUE(Later.Stops_.empty());
  }
  EXPECT_EQ(Log_.count(EventKind::ServerGone), 0U);
  EXPECT_EQ(reportUntilLease("s1", 6000).Starts_.size(), 1U)
      << "a restart is seen all the same";
}

// Guards against questions about incarnations, which the advice service and the
// provider of VMs do not know.
TEST_F(RestartedServerTest, OutsideSystemsAreAskedAboutIds) {
  Configuration Value = makeConfiguration(2);
  Value.Queues_[0].Advice_ = {true, 20, 5, 3000};
  Leader_.putConfiguration(Value, [](const Outcome<void> &) {});
  report(makeReportOf("s1", 5000));
  call(CallKind::Submit, "j", {makeStep(1, 1000)});
  Strand_.advance(60ms);
  ASSERT_EQ(Advisor_.Questions_.size(), 1U);
  EXPECT_EQ(Advisor_.Questions_[0].Servers_, (std::vector<std::string>{"s1"}));
  Advisor_.Questions_[0].Reply_(Advice{{{"s1", "t"}}, 9s});
  Strand_.runAll();
  // The ticket is valid for this incarnation only.
  EXPECT_TRUE(reportUntilLease("s1", 6000).Starts_.empty());
  Strand_.advance(AnswerPause);
  ASSERT_EQ(Advisor_.Questions_.size(), 2U);
  Advisor_.Questions_[1].Reply_(Advice{{{"s1", "u"}}, 9s});
  Strand_.runAll();
  const ServerOrders Orders = report(makeReportOf("s1", 6000));
  ASSERT_EQ(Orders.Starts_.size(), 1U);
  EXPECT_EQ(Orders.Starts_[0].Ticket_, "u");
}

// Guards against a VM whose server is not emptied before its maintenance.
TEST_F(RestartedServerTest, TheProvidersServerIsTheRegisteredIncarnation) {
  Provider_.Vms_ = {{"v1", "booking", VmState::Up, "s1"}};
  report(makeReportOf("s1", 5000));
  reportUntilLease("s1", 6000);
  Leader_.startWave({3, {"v1"}, 20'000, 1}, [](const Outcome<void> &) {});
  Strand_.advance(Settings_.HolderLease_ + 1s);
  call(CallKind::Submit, "j", {makeStep(1, 100)});
  EXPECT_TRUE(report(makeReportOf("s1", 6000)).Starts_.empty())
      << "its VM is due for maintenance";
}
