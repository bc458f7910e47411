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
      makeStateDump(replication::ReplicaStatus{}, Machine));
  EXPECT_EQ(Dump.at("cpus").at("capacity"), 4000);
  EXPECT_EQ(Dump.at("cpus").at("reserved"), 2000);
  EXPECT_EQ(Dump.at("cpus").at("reservedLongRunning"), 1500);
  EXPECT_EQ(Dump.at("cpus").at("waitingLongRunning"), 3000);
  EXPECT_EQ(Dump.at("longRunningTasksWaiting"), 2);
}
