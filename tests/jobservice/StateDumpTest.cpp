//===- StateDumpTest.cpp - The dump that operators read -------------------===//

#include "jobservice/StateDump.h"

#include "jobs/JobFixture.h"

#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace tulipweir::jobservice;

// Guards against a full fleet that cannot be told from servers that start
// nothing: long-running work that waits for more than the capacity left.
TEST(StateDumpTest, LongRunningWorkIsShownBesideTheCapacity) {
  JobStateMachine Machine;
  std::uint64_t Index = 0;
  const auto Apply = [&](const Command &Value) {
    Machine.apply({1, ++Index, encodeCommand(Value)});
  };
  Apply(PutConfiguration{makeConfiguration()});
  Apply(AddServer{makeServer("s1", 4000)});
  Apply(makeSubmit(makeJob("lasting", {makeServing(3, "a", 1500)})));
  Apply(makeSubmit(makeJob("short", {makeStep(1, 500)})));
  Apply(
      StartTasks{{makeStart("lasting", 0, "s1"), makeStart("short", 0, "s1")}});
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, LoadStatus{}));
  EXPECT_EQ(Dump.at("cpus").at("capacity"), 4000);
  EXPECT_EQ(Dump.at("cpus").at("reserved"), 2000);
  EXPECT_EQ(Dump.at("cpus").at("reservedLongRunning"), 1500);
  EXPECT_EQ(Dump.at("cpus").at("waitingLongRunning"), 3000);
  EXPECT_EQ(Dump.at("longRunningTasksWaiting"), 2);
}

// Guards against figures that an operator has to compute: the leader's dump
// has shares and backlog as the leader's decisions see them.
TEST(StateDumpTest, TheLeadersLoadIsShown) {
  const JobStateMachine Machine;
  LoadStatus Load;
  Load.IsLeading_ = true;
  Load.Shares_ = {8000, 5000, 1500, 2500, 700, 500, 3};
  Load.Queues_ = {{"h/a/", 12}, {"h/b/", 0}};
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, Load));
  const nlohmann::json Expected = {{"capacity", 8000},       {"lasting", 5000},
                                   {"lastingWaiting", 1500}, {"bounded", 2500},
                                   {"boundedWaiting", 700},  {"yieldable", 500},
                                   {"yielding", 3}};
  EXPECT_EQ(Dump.at("load").at("shares"), Expected);
  EXPECT_EQ(Dump.at("load").at("backlog"), (nlohmann::json{{"h/a/", 12}}));
}

// Guards against zeros that look like an idle fleet: a control that does not
// lead shows no load.
TEST(StateDumpTest, AMemberThatDoesNotLeadShowsNoLoad) {
  const JobStateMachine Machine;
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, LoadStatus{}));
  EXPECT_FALSE(Dump.contains("load"));
}

// Guards against dumps that grow without bound with the configuration.
TEST(StateDumpTest, TheListedBacklogsAreBounded) {
  const JobStateMachine Machine;
  LoadStatus Load;
  Load.IsLeading_ = true;
  for (int I = 0; I < 500; ++I)
    Load.Queues_.push_back({"h/" + std::to_string(I) + "/", 1});
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, Load));
  EXPECT_EQ(Dump.at("load").at("backlog").size(), 50U);
}

// Guards against forecasts that nobody can check: the dump says what is known
// of run times and in which unit, what is known best first.
TEST(StateDumpTest, LearnedRunTimesAreShown) {
  const JobStateMachine Machine;
  LoadStatus Load;
  Load.IsLeading_ = true;
  Load.RunTimes_ = {{"h/a/", "img", false, true, 20, 1500, 2500},
                    {"h/b/", "", true, false, 300, 400, 900}};
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, Load));
  const nlohmann::json Expected = {{{"queue", "h/b/"},
                                    {"image", ""},
                                    {"fills", true},
                                    {"samples", 300},
                                    {"unit", "ms"},
                                    {"median", 400},
                                    {"percentile95", 900}},
                                   {{"queue", "h/a/"},
                                    {"image", "img"},
                                    {"fills", false},
                                    {"samples", 20},
                                    {"unit", "1/1000 of declared"},
                                    {"median", 1500},
                                    {"percentile95", 2500}}};
  EXPECT_EQ(Dump.at("load").at("runTimes"), Expected);
}

// Guards against large filling jobs that wait without any figure that tells so.
TEST(StateDumpTest, FillingWorkIsShownByTheSizeOfItsJobs) {
  const JobStateMachine Machine;
  LoadStatus Load;
  Load.IsLeading_ = true;
  Load.Filling_ = {{"h/a/", {{8, 6}, {40, 10}}}};
  const auto Dump = nlohmann::json::parse(
      makeStateDump(replication::ReplicaStatus{}, Machine, Load));
  const nlohmann::json Expected = {
      {"h/a/",
       {{{"offeredSeconds", 8.0}, {"startedSeconds", 6.0}},
        {{"offeredSeconds", 40.0}, {"startedSeconds", 10.0}}}}};
  EXPECT_EQ(Dump.at("load").at("filling"), Expected);
}
