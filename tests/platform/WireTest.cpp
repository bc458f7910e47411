//===- WireTest.cpp - Tests of the platform's message formats -------------===//

#include "platform/AdviceWire.h"
#include "platform/JobWire.h"
#include "platform/OperatorWire.h"
#include "platform/PollWire.h"
#include "platform/ProviderWire.h"
#include "platform/ServerWire.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::platform;
using Json = nlohmann::json;

static const std::string Job =
    R"({"spec":"text","repeatCount":2,"initialDelayMs":5,"intervalMs":6,
        "steps":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,
                  "affinity":"r1-3","requires":"b","antiAffinity":2,
                  "speculative":true,"image":"i","targetMs":25,"mayMiss":1,
                  "fills":true,"longRunning":true},
                 {"count":20,"dependsOn":[0],"checkpointing":true,"gang":true,
                  "sameRack":true}]})";

static const std::string Heartbeat =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
        "slots":8,"state":"draining","coldLeftMs":0,"remainingMs":900,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-3"],
        "currentTimeMs":482113,"seq":4,
        "running":[["5c0e.0.1.17",2,"00bb",41,77]],
        "finished":[[58,"5c0e.0.1.9",1,"done",""],
                    [59,"5c0e.0.1.8",1,"refused","x"]]})";

static const std::string Configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h.example",
        "pathPrefix":"/l/","routeType":"non_idempotent","timeoutMs":3000,
        "targetLatencyMs":1200,"priority":2,"service":"s","attempts":4,
        "stretch":1.5,"recommendation":{"decideMs":5,"eachMs":1,"validMs":9}}],
        "services":[{"name":"s","healthPath":"/healthz","maxConns":64,
        "preconditions":true,"standby":false}],"limits":{}})";

/// Returns the heartbeat with one field replaced.
static std::string change(const std::string &Field) {
  Json Value = Json::parse(Heartbeat);
  Value.update(Json::parse("{" + Field + "}"));
  return Value.dump();
}

TEST(WireTest, ParsesCompleteJob) {
  const auto Result = parseJob(Job);
  ASSERT_TRUE(Result) << Result.error().Message_;
  const jobs::JobSpec &Spec = Result.value();
  EXPECT_EQ(Spec.Payload_, "text");
  EXPECT_EQ(Spec.RepeatCount_, 2U);
  EXPECT_EQ(Spec.FirstDueMs_, 5U);
  EXPECT_EQ(Spec.IntervalMs_, 6U);
  ASSERT_EQ(Spec.Steps_.size(), 2U);
  const jobs::StepSpec &First = Spec.Steps_[0];
  EXPECT_EQ(First.Count_, 4U);
  EXPECT_EQ(First.Need_, Resources::makeFor(500, 256, 1));
  EXPECT_EQ(First.EstimateMs_, 900U);
  EXPECT_EQ(First.DataRack_, "r1-3");
  EXPECT_EQ(First.Label_, "b");
  EXPECT_EQ(First.SpreadLimit_, 2U);
  EXPECT_EQ(First.Image_, "i");
  EXPECT_EQ(First.TailTargetMs_, 25U);
  EXPECT_EQ(First.MaxUnavailable_, 1U);
  EXPECT_TRUE(First.Speculative_ && First.Fills_ && First.LongRunning_);
  const jobs::StepSpec &Second = Spec.Steps_[1];
  EXPECT_EQ(Second.DependsOn_, std::vector<std::uint64_t>{0});
  EXPECT_TRUE(Second.Checkpointing_ && Second.Gang_ && Second.SameRack_);
}

TEST(WireTest, ParsesCompleteHeartbeat) {
  const auto Result = parseHeartbeat("i-1", Heartbeat);
  ASSERT_TRUE(Result) << Result.error().Message_;
  const jobs::ServerReport &Report = Result.value();
  EXPECT_EQ(Report.Facts_.Id_, "i-1");
  EXPECT_EQ(Report.Facts_.Rack_, "r1-3");
  EXPECT_EQ(Report.Facts_.Capacity_, Resources::makeFor(16000, 32768));
  EXPECT_TRUE(Report.IsDraining_);
  EXPECT_EQ(Report.RemainingMs_, 900U);
  EXPECT_EQ(Report.Sequence_, 4U);
  EXPECT_EQ(Report.ServerClockMs_, 482113U);
  ASSERT_EQ(Report.Running_.size(), 1U);
  const jobs::TaskKey Task{"5c0e", 0, 1, 17};
  EXPECT_EQ(Report.Running_[0], (jobs::RunningTask{Task, 2, "00bb", 41, 77}));
  ASSERT_EQ(Report.Ended_.size(), 2U);
  EXPECT_EQ(Report.Ended_[0].Number_, 58U);
  EXPECT_EQ(Report.Ended_[0].End_.Outcome_, jobs::RunOutcome::Done);
  EXPECT_EQ(Report.Ended_[1].End_.Outcome_, jobs::RunOutcome::Refused);
  EXPECT_EQ(Report.Ended_[1].End_.Checkpoint_, "x");
}

TEST(WireTest, RendersOrdersForServers) {
  jobs::ServerOrders Orders;
  EXPECT_EQ(Json::parse(renderOrders(Orders, "")), Json::object());
  const jobs::TaskKey Task{"5c0e", 0, 1, 18};
  Orders = {4000,
            7,
            58,
            200,
            {{Task, 1, "text", "", ""}},
            {{Task, 2}},
            {{Task, 3, 40}},
            ""};
  Orders.Starts_.push_back({Task, 2, "t", "s", "ticket"});
  EXPECT_EQ(Json::parse(renderOrders(Orders, "10.0.0.1:80")),
            Json::parse(R"({"heartbeatUrl":"10.0.0.1:80","holdMs":4000,
              "lastSeen":58,"fencingToken":7,"retryAfterMs":200,
              "start":[["5c0e.0.1.18",1,"text",""],
                       ["5c0e.0.1.18",2,"t","s","ticket"]],
              "stop":[["5c0e.0.1.18",2]],"pace":[["5c0e.0.1.18",3,40]]})"));
}

TEST(WireTest, ParsesConfigurationAndKeepsItsSource) {
  const auto Result = parseConfiguration(Configuration);
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_EQ(Result.value().Version_, 7U);
  EXPECT_EQ(Result.value().Source_, Configuration);
  const jobs::QueuePolicy &Queue = Result.value().Queues_.at(0);
  EXPECT_EQ(Queue.Host_, "h.example");
  EXPECT_EQ(Queue.PathPrefix_, "/l/");
  EXPECT_EQ(Queue.Priority_, 2U);
  EXPECT_EQ(Queue.Attempts_, 4U);
  EXPECT_EQ(Queue.StretchPercent_, 150U);
  EXPECT_EQ(Queue.ObjectiveMs_, 1200U);
  EXPECT_EQ(Queue.Advice_, (jobs::AdvicePolicy{true, 5, 1, 9}));
  EXPECT_TRUE(Result.value().Services_.at(0).EnforcesCapacity_);
}

TEST(WireTest, InvalidConfigurationsAreRejected) {
  const auto Change = [](const std::function<void(Json &)> &Edit) {
    Json Value = Json::parse(Configuration);
    Edit(Value);
    return parseConfiguration(Value.dump()).has_value();
  };
  EXPECT_TRUE(Change([](Json &) {}));
  EXPECT_FALSE(Change([](Json &V) { V["version"] = 0; }));
  EXPECT_FALSE(Change([](Json &V) { V.erase("version"); }));
  EXPECT_FALSE(Change([](Json &V) { V.erase("routes"); }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0]["service"] = "none"; }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0]["timeoutMs"] = 0; }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0]["timeoutMs"] = "x"; }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0].erase("host"); }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0] = 7; }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"][0]["stretch"] = -1; }));
  EXPECT_FALSE(Change([](Json &V) { V["routes"].push_back(V["routes"][0]); }));
  EXPECT_FALSE(
      Change([](Json &V) { V["services"].push_back(V["services"][0]); }));
}

TEST(WireTest, TruncatedBodiesAreMalformed) {
  for (const std::string *Complete : {&Job, &Heartbeat, &Configuration})
    for (std::size_t Size = 0; Size < Complete->size(); ++Size) {
      const std::string Cut = Complete->substr(0, Size);
      EXPECT_FALSE(parseJob(Cut));
      EXPECT_FALSE(parseHeartbeat("i", Cut));
      EXPECT_FALSE(parseConfiguration(Cut));
    }
}

TEST(WireTest, DuplicateFieldIsRejected) {
  EXPECT_FALSE(parseJob(R"({"spec":"a","spec":"b","steps":[{"count":1}]})"));
  EXPECT_FALSE(parseJob(R"({"steps":[{"count":1,"count":2}]})"));
  EXPECT_FALSE(parseJob(R"({"spec":"a","sp\u0065c":"b","steps":[{}]})"));
  EXPECT_TRUE(parseJob(R"({ "spec" : "a\"spec\": {" , "steps":[{"count":1},
    {"count":2}] })"));
  std::string Twice = Heartbeat;
  Twice.insert(1, R"("seq":3,)");
  EXPECT_FALSE(parseHeartbeat("i", Twice));
}

TEST(WireTest, WrongTypesAndNumbersOutOfRangeAreRejected) {
  for (const char *Body :
       {R"({"steps":7})", R"({"steps":[7]})", R"({"steps":[{"count":-1}]})",
        R"({"steps":[{"count":1.5}]})", R"({"steps":[{"cpu":1e300}]})",
        R"({"steps":[{"cpu":18446744073709551615}]})",
        R"({"steps":[{"dependsOn":["0"]}]})", R"({"steps":[{"gang":1}]})",
        R"({"spec":7,"steps":[]})", R"({"repeatCount":"2","steps":[]})"})
    EXPECT_FALSE(parseJob(Body)) << Body;
  for (const char *Rows :
       {R"("running":[7])", R"("running":[["a.0.0",1,""]])",
        R"("running":[["a.0.0.x",1,""]])", R"("running":[["a.0.0.1",-1,""]])",
        R"("running":[["a.0.0.1",1]])", R"("finished":[[1,"a.0.0.1",1,"odd"]])",
        R"("finished":[["1","a.0.0.1",1,"done"]])",
        R"("finished":[[1,".0.0.1",1,"done"]])",
        R"("finished":[[1,"a.0.0.99999999999999999999",1,"done"]])",
        R"("labels":[1])", R"("capacity":7)"})
    EXPECT_FALSE(parseHeartbeat("i", change(Rows))) << Rows;
}

TEST(WireTest, HugeAndDeeplyNestedBodiesAreRejected) {
  const std::string Deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  EXPECT_FALSE(parseJob(Deep));
  EXPECT_FALSE(parseJob(R"({"steps":)" + Deep + "}"));
  const std::string Huge(5UL * 1024 * 1024, 'x');
  EXPECT_FALSE(parseJob(R"({"spec":")" + Huge + R"(","steps":[{"count":1}]})"));
  EXPECT_FALSE(parseHeartbeat("i", Huge));
}

TEST(WireTest, TaskNamesSurviveTheRoundTrip) {
  const jobs::TaskKey Task{"a.b", 3, 2, 1};
  EXPECT_EQ(parseTaskName(renderTaskName(Task)).value(), Task);
  for (const char *Wrong : {"", "a", "1.2.3", "a.1.2", "a.b.c.d", "a.-1.0.0"})
    EXPECT_FALSE(parseTaskName(Wrong)) << Wrong;
}

TEST(WireTest, IncompleteWaveIsRejected) {
  const auto Result = parseWave(
      R"({"wave":1,"machines":["m-1","m-2"],"deadlineS":2.5,"maxCount":2})");
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_EQ(Result.value(), (jobs::WaveSpec{1, {"m-1", "m-2"}, 2500, 2}));
  for (const char *Body :
       {"", "[]", R"({"machines":["m"],"maxCount":1})",
        R"({"wave":1,"machines":["m"]})",
        R"({"wave":1,"machines":["m"],"maxCount":0})",
        R"({"wave":1,"machines":[7],"maxCount":1})",
        R"({"wave":1,"machines":"m","maxCount":1})",
        R"({"wave":-1,"machines":["m"],"maxCount":1})",
        R"({"wave":1,"machines":["m"],"maxCount":1,"deadlineS":-1})",
        R"({"wave":1,"wave":2,"machines":["m"],"maxCount":1})"})
    EXPECT_FALSE(parseWave(Body)) << Body;
}

TEST(WireTest, RendersWaveState) {
  jobs::WaveRecord Wave{{1, {"m-1"}, 0, 1}, {}};
  EXPECT_EQ(renderWaveState(Wave), R"({"state":"running"})");
  Wave.Begun_ = {"m-1"};
  EXPECT_EQ(renderWaveState(Wave), R"({"state":"completed"})");
}

TEST(WireTest, IncompletePollReplyIsRejected) {
  const auto Result = parsePollReply(
      R"({"currentTimeMs":482113,"running":[["j.0.1.17",2,"c",41]],
          "finished":[[58,"j.0.1.9",1,"done",""]]})");
  ASSERT_TRUE(Result) << Result.error().Message_;
  EXPECT_EQ(Result.value().ServerMs_, 482113U);
  ASSERT_EQ(Result.value().Running_.size(), 1U);
  EXPECT_EQ(Result.value().Running_[0].Run_, 2U);
  ASSERT_EQ(Result.value().Ended_.size(), 1U);
  EXPECT_EQ(Result.value().Ended_[0].Number_, 58U);
  for (const char *Body :
       {"", "[]", R"({"running":[]})", R"({"currentTimeMs":"1"})",
        R"({"currentTimeMs":1,"running":[["j",1,"",0]]})",
        R"({"currentTimeMs":1,"finished":[[1,"j.0.0.0",1,"gone",""]]})"})
    EXPECT_FALSE(parsePollReply(Body)) << Body;
}

TEST(WireTest, RendersPolledServersOrdersWithTokenAndLease) {
  const PollRequest Hold{486000, 7, 57, 1000};
  const jobs::TaskKey Task{"j", 0, 1, 17};
  EXPECT_EQ(
      renderPollRequest(Hold),
      R"({"deadlineMs":486000,"fencingToken":7,"lastSeen":57,"wait_ms":1000})");
  EXPECT_EQ(renderPollRequest({}), R"({"wait_ms":0})")
      << "a look extends nothing";
  const jobs::StartOrder Start{Task, 2, "text", "c", ""};
  EXPECT_EQ(renderStart(Start, Hold),
            R"({"checkpoint":"c","deadlineMs":486000,"fencingToken":7,"run":2,)"
            R"("spec":"text","task":"j.0.1.17"})");
  const jobs::StopOrder Stop{Task, 2};
  EXPECT_EQ(renderStop(Stop, 7),
            R"({"fencingToken":7,"run":2,"task":"j.0.1.17"})");
  const jobs::PaceOrder Pace{Task, 2, 40};
  EXPECT_EQ(renderPace(Pace, 7),
            R"({"fencingToken":7,"percent":40,"run":2,"task":"j.0.1.17"})");
}
