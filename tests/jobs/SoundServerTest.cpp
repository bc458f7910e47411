//===- SoundServerTest.cpp - Tests of failures that are not a server's ----===//

#include "jobs/LeaderFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

// Guards against a sound server that is set aside because filling tasks get no
// processors there.
TEST_F(JobLeaderTest, FillingTasksWithoutProcessorsQuarantineNoServer) {
  for (const char *Job : {"a", "b", "c", "d"})
    call(CallKind::Submit, Job, {makeFilling(1, "image", 500)});
  std::vector<RunningTask> Running;
  std::uint64_t Stops = 0;
  for (int I = 0; I < 40; ++I) {
    ServerReport Report = makeReport("s1");
    Report.Running_ = Running;
    const ServerOrders Orders = report(Report);
    for (const StartOrder &Start : Orders.Starts_)
      Running.push_back(makeRunning(Start));
    Stops += Orders.Stops_.size();
    Strand_.advance(250ms);
  }
  EXPECT_GT(Stops, 0U) << "the runs have stalled";
  EXPECT_EQ(Log_.count(EventKind::ServerQuarantined), 0U);
}

// Guards against sound servers that are set aside because of jobs whose runs
// fail on each server.
TEST_F(JobLeaderTest, JobsThatFailEverywhereQuarantineNoServer) {
  for (const char *Job : {"a", "b", "c", "d"})
    call(CallKind::Submit, Job, {makeStep(6, 500)});
  std::map<std::string, std::vector<StartOrder>> Started;
  std::map<std::string, std::uint64_t> Numbers;
  std::uint64_t Failures = 0;
  for (int I = 0; I < 40; ++I) {
    for (const char *Server : {"s1", "s2", "s3"}) {
      ServerReport Report = makeReport(Server);
      for (const StartOrder &Start : Started[Server]) {
        Report.Ended_.push_back(
            makeEnded(++Numbers[Server], Start, RunOutcome::Failed));
        ++Failures;
      }
      Started[Server] = report(Report).Starts_;
    }
    Strand_.advance(100ms);
  }
  EXPECT_EQ(Log_.count(EventKind::ServerQuarantined), 0U);
}
