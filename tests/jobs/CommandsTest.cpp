//===- CommandsTest.cpp ---------------------------------------------------===//

#include "jobs/JobFixture.h"
#include "tulipweir/jobs/JobCall.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

static std::vector<Command> listCommands() {
  StepSpec Full = makeStep(7, 2500);
  Full.DependsOn_ = {};
  Full.Checkpointing_ = Full.Gang_ = Full.SameRack_ = Full.Speculative_ = true;
  Full.LongRunning_ = Full.Fills_ = true;
  Full.Label_ = "gpu";
  Full.DataRack_ = "r2";
  Full.SpreadLimit_ = 2;
  Full.Image_ = "image";
  Full.TailTargetMs_ = 25;
  Full.MaxUnavailable_ = 1;
  JobSpec Spec = makeJob("j", {Full});
  Spec.RepeatCount_ = 3;
  Spec.FirstDueMs_ = 99;
  Spec.IntervalMs_ = 10;
  Configuration Advised = makeConfiguration(9);
  Advised.Queues_[0].Advice_ = {true, 20, 3, 4000};
  const TaskStart Start = makeStart("j", 3, "s1", 2, 1, 4);
  return {PutConfiguration{Advised},
          makeSubmit(Spec),
          CancelJob{"j"},
          OpenOccurrence{"j", 4},
          AddServer{makeServer("s1")},
          RemoveServer{"s1",
                       {{Start.Task_, 2, "at 3"}},
                       true,
                       {true, true, true, true, {{Start.Task_, 300}}}},
          StartTasks{{Start}},
          makeEnd(Start, RunOutcome::NeverRan, "x"),
          ForgetJobs{{"a", "b"}},
          StartWave{{3, {"v1", "v2"}, 20'000, 2}},
          RecordMaintenanceStart{3, "v1"},
          EvacuateDataCentre{"dc1", true},
          RecordSurvivingRuns{{{Start.Task_, 2, true}}}};
}

TEST(CommandsTest, EveryCommandSurvivesTheRoundTrip) {
  for (const Command &Cmd : listCommands()) {
    const Outcome<Command> Decoded = decodeCommand(encodeCommand(Cmd));
    ASSERT_TRUE(Decoded);
    EXPECT_EQ(Decoded.value(), Cmd);
  }
}

TEST(CommandsTest, TruncatedAndExtendedBytesAreMalformed) {
  for (const Command &Cmd : listCommands()) {
    const std::string Bytes = encodeCommand(Cmd);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
      const auto Cut = decodeCommand(Bytes.substr(0, Size));
      ASSERT_FALSE(Cut);
      EXPECT_EQ(Cut.error().Code_, ErrorCode::Malformed);
    }
    EXPECT_FALSE(decodeCommand(Bytes + '\0'));
  }
}

TEST(CommandsTest, ResultsSurviveTheRoundTrip) {
  const CommandResult Result{
      CommandStatus::Refused, {true, false, true}, {"j"}};
  const auto Decoded = decodeResult(encodeResult(Result));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value(), Result);
}

TEST(CommandsTest, CallsAndAnswersSurviveTheRoundTrip) {
  const JobCall Call{CallKind::Cancel, Host, "/stays/j",
                     makeJob("j", {makeStep(1, 5)})};
  EXPECT_EQ(decodeCall(encodeCall(Call)).value(), Call);
  const JobCallReply Reply{
      CallOutcome::Refused, JobState::Failed, true, 7, 900, "why"};
  EXPECT_EQ(decodeCallReply(encodeCallReply(Reply)).value(), Reply);
  const GroupView View{"a:1", {"a:1", "b:1"}};
  EXPECT_EQ(decodeGroupView(encodeGroupView(View)).value(), View);
}

TEST(JobSpecTest, LimitsAreChecked) {
  EXPECT_TRUE(checkJobSpec(makeJob("j", {makeStep(1, 1)})));
  EXPECT_FALSE(checkJobSpec(makeJob("", {makeStep(1, 1)})));
  EXPECT_FALSE(checkJobSpec(makeJob("j", {})));
  EXPECT_FALSE(checkJobSpec(makeJob("j", {makeStep(0, 1)})));
  EXPECT_FALSE(checkJobSpec(makeJob("j", {makeStep(1'000'000, 1)})));
  EXPECT_FALSE(checkJobSpec(makeJob("j", {makeStep(1, -1)})));
  EXPECT_FALSE(
      checkJobSpec(makeJob("j", std::vector<StepSpec>(300, makeStep(1, 1)))));
  StepSpec Late = makeStep(1, 1);
  Late.DependsOn_ = {1};
  EXPECT_FALSE(checkJobSpec(makeJob("j", {Late, makeStep(1, 1)})));
}

TEST(JobSpecTest, TheLongestChainFollowsDependencies) {
  StepSpec Second = makeStep(1, 1);
  Second.DependsOn_ = {0};
  Second.EstimateMs_ = 70;
  StepSpec Beside = makeStep(1, 1);
  Beside.EstimateMs_ = 560;
  EXPECT_EQ(getLongestChainMs(makeJob("j", {makeStep(1, 1), Second, Beside})),
            570U);
}

TEST(ConfigurationTest, TheLongestPrefixAtTheHostCounts) {
  Configuration Config = makeConfiguration();
  QueuePolicy Inner = Config.Queues_[0];
  Inner.PathPrefix_ = "/stays/late/";
  Config.Queues_.push_back(Inner);
  EXPECT_EQ(Config.findQueue(Host, "/stays/late/x")->PathPrefix_,
            "/stays/late/");
  EXPECT_EQ(Config.findQueue(Host, "/stays/x")->PathPrefix_, Prefix);
  EXPECT_EQ(Config.findQueue("other.example", "/stays/x"), nullptr);
  EXPECT_EQ(Config.findQueue(Host, "/stay"), nullptr);
  EXPECT_EQ(Config.findQueueByKey(Inner.getKey())->PathPrefix_, "/stays/late/");
  EXPECT_EQ(Config.findQueueByKey("nothing"), nullptr);
}
