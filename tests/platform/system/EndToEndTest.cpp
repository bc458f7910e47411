//===- EndToEndTest.cpp - System tests of the platform's programs ---------===//

#include "platform/system/PlatformCluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::platform_test;
using namespace tulipweir::system_test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

class EndToEndTest : public ::testing::Test, public PlatformCluster {
protected:
  EndToEndTest() : PlatformCluster(Links::Direct) {}
  ~EndToEndTest() override {
    Workers_.clear();
    if (HasFailure())
      printLogs();
  }

  void putConfiguration(std::uint64_t Version) {
    EXPECT_EQ(
        callControl("PUT", "/api/config", makeConfiguration(Version).dump())
            .Status_,
        200);
  }
  /// Submits a job until it is accepted, as clients do.
  void submit(const std::string &Id, const Json &Job) {
    EXPECT_TRUE(waitFor(Timeout, [&] {
      for (int Entry = 0; Entry < Entries; ++Entry)
        if (callEntry("POST", "/q/" + Id, Job.dump(), Entry).Status_ == 200)
          return true;
      return false;
    })) << Id;
  }
  std::string stateOf(const std::string &Id) { return findState(Id); }
  bool waitForState(const std::string &Id, const std::string &State) {
    return waitFor(Timeout, [&] { return stateOf(Id) == State; });
  }
};

} // namespace

TEST_F(EndToEndTest, JobsCompleteOnceAndInOrder) {
  putConfiguration(1);
  addWorkers(3);
  for (int I = 0; I < 6; ++I)
    submit("a" + std::to_string(I), makeJob("ms=100;cpu=1000;mem=500"));
  for (int I = 0; I < 6; ++I)
    EXPECT_TRUE(waitForState("a" + std::to_string(I), "completed"));
  EXPECT_EQ(Audit_.countDone(), 48U);
  EXPECT_EQ(Audit_.countStarts(), 48U);
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
  EXPECT_EQ(callEntry("GET", "/q/unknown").Status_, 410);
  EXPECT_EQ(callEntry("GET", "/other/x").Status_, 404);
  EXPECT_EQ(callEntry("GET", "/q/").json().value("pending", -1), 0);
  EXPECT_EQ(callEntry("POST", "/q/bad", "{").Status_, 400);
  EXPECT_EQ(callControl("GET", "/api/config").json().value("version", 0), 1);
}

TEST_F(EndToEndTest, JobsSurviveLossOfLeaderAndWorker) {
  putConfiguration(1);
  addWorkers(4);
  for (int I = 0; I < 8; ++I)
    submit("b" + std::to_string(I), makeJob("ms=900;cpu=1000;mem=500"));
  EXPECT_TRUE(
      waitFor(Timeout, [this] { return Workers_[0]->countRunning() > 0; }));
  const std::string Leader = findLeader();
  ASSERT_NE(Leader, "");
  process(Leader).kill();
  Workers_[0]->crash();
  submit("late", makeJob("ms=100;cpu=1000;mem=500"));
  process(Leader).start();
  for (int I = 0; I < 8; ++I)
    EXPECT_TRUE(waitForState("b" + std::to_string(I), "completed"));
  EXPECT_TRUE(waitForState("late", "completed"));
  EXPECT_EQ(Audit_.countDone(), 72U);
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
}

// Guards against a worker that gets no lease after a crash, as it starts again
// under its id and its heartbeats have lower numbers than before.
TEST_F(EndToEndTest, WorkerThatKeepsItsIdIsUsedAfterACrash) {
  static constexpr std::uint64_t ManyHeartbeats = 1'000'000;
  putConfiguration(1);
  for (const std::uint64_t BornMs : {FirstBornMs, FirstBornMs - 1000}) {
    const std::uint64_t LastSequence =
        BornMs == FirstBornMs ? ManyHeartbeats : 0;
    Workers_.clear();
    Workers_.push_back(makeWorker({"w", "w:1", BornMs, LastSequence}));
    const std::string Id = "j" + std::to_string(BornMs);
    submit(Id, makeJob("ms=50;cpu=1000;mem=500"));
    EXPECT_TRUE(waitForState(Id, "completed")) << BornMs;
  }
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
}

TEST_F(EndToEndTest, StateSurvivesKillOfAllControls) {
  putConfiguration(3);
  submit("kept", makeJob("ms=100;cpu=1000;mem=500"));
  for (int I = 0; I < Controls; ++I)
    process("control" + std::to_string(I)).kill();
  for (int I = 0; I < Controls; ++I)
    process("control" + std::to_string(I)).start();
  addWorkers(2);
  EXPECT_TRUE(waitForState("kept", "completed"));
  EXPECT_EQ(callControl("GET", "/api/config").json().value("version", 0), 3);
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
}

TEST_F(EndToEndTest, EvacuationSurvivesLossOfLeaderUntilCancelled) {
  putConfiguration(1);
  addWorkers(2);
  submit("first", makeJob("ms=50;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("first", "completed"));
  EXPECT_EQ(callControl("POST", "/api/evacuations/nowhere").Status_, 404);
  EXPECT_EQ(callControl("POST", "/api/evacuations/z").Status_, 200);
  EXPECT_EQ(callControl("POST", "/api/evacuations/z").Status_, 200);
  const std::uint64_t Before = Audit_.countStarts();
  const std::string Leader = findLeader();
  ASSERT_NE(Leader, "");
  process(Leader).kill();
  process(Leader).start();
  submit("waits", makeJob("ms=50;cpu=1000;mem=500"));
  // Waits for several reports to the next leader.
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(Audit_.countStarts(), Before);
  EXPECT_EQ(stateOf("waits"), "queued");
  EXPECT_EQ(callControl("DELETE", "/api/evacuations/z").Status_, 200);
  EXPECT_TRUE(waitForState("waits", "completed"));
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
}

TEST_F(EndToEndTest, FailedAndCancelledJobsEnd) {
  putConfiguration(1);
  addWorkers(2);
  submit("poison", makeJob("ms=20;cpu=1000;mem=500;fail"));
  submit("long", makeJob("ms=600000;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("poison", "failed"));
  EXPECT_TRUE(waitForState("long", "running"));
  EXPECT_EQ(callEntry("DELETE", "/q/long").Status_, 200);
  EXPECT_EQ(stateOf("long"), "cancelled");
  EXPECT_TRUE(waitFor(Timeout, [this] {
    return Workers_[0]->countRunning() + Workers_[1]->countRunning() == 0;
  }));
  EXPECT_EQ(Audit_.listViolations(), std::vector<std::string>{});
}

TEST_F(EndToEndTest, DrainingWorkerGetsNoNewTasks) {
  putConfiguration(1);
  addWorkers(1);
  submit("first", makeJob("ms=50;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("first", "completed"));
  Workers_[0]->drain();
  // Waits for two reports, after which the leader knows that the worker drains.
  std::this_thread::sleep_for(1500ms);
  submit("second", makeJob("ms=50;cpu=1000;mem=500"));
  const std::uint64_t Before = Audit_.countStarts();
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(Audit_.countStarts(), Before);
  addWorkers(1);
  EXPECT_TRUE(waitForState("second", "completed"));
}

TEST_F(EndToEndTest, PlannedStopsExitCleanly) {
  putConfiguration(1);
  submit("j", makeJob("ms=50;cpu=1000;mem=500"));
  for (auto &[Name, Process] : processes()) {
    Process->signal(SIGTERM);
    EXPECT_EQ(Process->wait(30s), 0) << Name;
  }
}

TEST_F(EndToEndTest, LogLinesAreJsonAndNameFailedJobs) {
  putConfiguration(1);
  addWorkers(1);
  submit("fine", makeJob("ms=50;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("fine", "completed"));
  submit("poison", makeJob("ms=20;cpu=1000;mem=500;fail"));
  EXPECT_TRUE(waitForState("poison", "failed"));
  EXPECT_EQ(callEntry("POST", "/q/broken", "{").Status_, 400);
  EXPECT_EQ(callEntry("POST", "/gone/lost", "{\"steps\":[{}]}").Status_, 404);
  for (auto &[Name, Process] : processes()) {
    Process->signal(SIGTERM);
    Process->wait(30s);
  }
  std::map<std::string, std::vector<Json>> ByJob;
  for (const auto &[Name, Process] : processes()) {
    std::istringstream Lines(Process->readOutput());
    for (std::string Line; std::getline(Lines, Line);) {
      const Json Value = Json::parse(Line, nullptr, false);
      ASSERT_TRUE(Value.is_object()) << Name << ": " << Line;
      for (const char *Field : {"time", "level", "process", "event"})
        EXPECT_TRUE(Value.contains(Field)) << Line;
      EXPECT_EQ(Value["process"], Name);
      if (Value.contains("job"))
        ByJob[Value["job"]].push_back(Value);
    }
  }
  const auto HasReason = [&ByJob](const std::string &Id,
                                  const std::string &Event) {
    for (const Json &Line : ByJob[Id])
      if (Line["event"] == Event && Line.contains("reason"))
        return true;
    return false;
  };
  EXPECT_TRUE(HasReason("broken", "call_answered"));
  EXPECT_TRUE(HasReason("lost", "call_answered"));
  EXPECT_TRUE(HasReason("poison", "job_ended"));
}
