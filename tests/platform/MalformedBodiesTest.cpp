//===- MalformedBodiesTest.cpp - Malformed bodies -------------------------===//
//
// Bodies may have missing fields, fields of a wrong type, unknown words or
// unreadable bytes. Such a body must be rejected, or its bad rows ignored,
// without an effect on other servers and VMs.
//
//===----------------------------------------------------------------------===//

#include "platform/AdviceWire.h"
#include "platform/JobWire.h"
#include "platform/OperatorWire.h"
#include "platform/PollWire.h"
#include "platform/ProviderWire.h"
#include "platform/ServerWire.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <functional>
#include <random>

using namespace tulipweir;
using namespace tulipweir::platform;
using Json = nlohmann::json;

namespace {

const Json &getHeartbeat() {
  static const Json Valid = Json::parse(
      R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1",
          "slots":8,"state":"ready","coldLeftMs":0,
          "capacity":{"cpu":16000,"memMb":32768,"gpu":0},
          "labels":["a","r1-3"],"currentTimeMs":482113,"seq":4,
          "born":1764812345678,
          "running":[["5c0e.0.1.17",2,"00bb",41,77]],
          "finished":[[58,"5c0e.0.1.9",1,"done",""]]})");
  return Valid;
}

/// Returns a value of each JSON type and some unusual ones.
const std::vector<Json> &getUnexpectedValues() {
  static const std::vector<Json> Unexpected = {
      nullptr,       true,           7,      -1, 1.5, 1e300, "", "odd",
      Json::array(), Json::object(), {1, 2}, "7"};
  return Unexpected;
}

/// Checks that an accepted report has all that a usable server needs.
void expectCompleteServer(const jobs::ServerReport &Report) {
  const jobs::ServerFacts &Facts = Report.Facts_;
  EXPECT_FALSE(Facts.Id_.empty());
  EXPECT_FALSE(Facts.Service_.empty());
  EXPECT_FALSE(Facts.Address_.empty());
  EXPECT_FALSE(Facts.DataCentre_.empty());
  EXPECT_GT(Facts.Capacity_.MilliCpus_, 0);
  EXPECT_GT(Facts.Capacity_.MemoryMib_, 0);
  EXPECT_GT(Report.Sequence_, 0U);
}

} // namespace

TEST(MalformedBodiesTest, ReportWithMissingFieldIsRejected) {
  ASSERT_TRUE(parseHeartbeat("i-1", getHeartbeat().dump()));
  for (const char *Field : {"service", "address", "zone", "version", "slots",
                            "state", "coldLeftMs", "capacity", "seq"}) {
    Json Value = getHeartbeat();
    Value.erase(Field);
    EXPECT_FALSE(parseHeartbeat("i-1", Value.dump())) << Field;
  }
  for (const char *Field : {"cpu", "memMb"}) {
    Json Value = getHeartbeat();
    Value["capacity"].erase(Field);
    EXPECT_FALSE(parseHeartbeat("i-1", Value.dump())) << Field;
  }
}

TEST(MalformedBodiesTest, ReportWithFieldOfWrongTypeIsRejected) {
  for (const auto &[Field, Original] : getHeartbeat().items())
    for (const Json &Unexpected : getUnexpectedValues()) {
      // Values of the field's own type may be valid.
      if (Unexpected.type_name() == std::string(Original.type_name()))
        continue;
      Json Value = getHeartbeat();
      Value[Field] = Unexpected;
      EXPECT_FALSE(parseHeartbeat("i-1", Value.dump()))
          << Field << " " << Unexpected;
    }
}

// Guards against a server whose start time is guessed from a malformed field.
TEST(MalformedBodiesTest, MalformedStartTimeIsRejectedByName) {
  const std::vector<std::string> Malformed = {
      "null", "true",  "\"1764812345678\"",     "-1", "1.5", "[]",
      "{}",   "1e300", "1180591620717411303424"};
  for (const std::string &Born : Malformed) {
    std::string Body = getHeartbeat().dump();
    const std::string Valid = "\"born\":1764812345678";
    Body.replace(Body.find(Valid), Valid.size(), "\"born\":" + Born);
    const auto Result = parseHeartbeat("i-1", Body);
    ASSERT_FALSE(Result) << Born;
    EXPECT_NE(Result.error().Message_.find("/born"), std::string::npos)
        << Result.error().Message_;
  }
}

// Guards against incarnations of a server that share a name.
TEST(MalformedBodiesTest, StartTimeNamesTheIncarnation) {
  const std::string Body = getHeartbeat().dump();
  EXPECT_EQ(parseHeartbeat("i-1", Body).value().Facts_.Id_,
            "i-1/1764812345678");
  EXPECT_EQ(parseDeregistration("i-1", R"({"born":5})").value(), "i-1/5");
  EXPECT_EQ(parseDeregistration("i-1", "").value(), "i-1");
  EXPECT_FALSE(parseDeregistration("i-1", R"({"born":"5"})"));
  EXPECT_FALSE(parseDeregistration("i-1", "["));
  EXPECT_FALSE(parseDeregistration("a/b", ""));
}

// Guards against a server without the field that can no longer report.
TEST(MalformedBodiesTest, StartTimeMayBeMissing) {
  Json Value = getHeartbeat();
  Value.erase("born");
  const auto Result = parseHeartbeat("i-1", Value.dump());
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result.value().Facts_.Id_, "i-1");
}

TEST(MalformedBodiesTest, UnknownServerStateIsRejected) {
  for (const char *State : {"", "READY", "Ready", "starting", "up", "ready "}) {
    Json Value = getHeartbeat();
    Value["state"] = State;
    EXPECT_FALSE(parseHeartbeat("i-1", Value.dump())) << State;
  }
  Json Draining = getHeartbeat();
  Draining["state"] = "draining";
  const auto Result = parseHeartbeat("i-1", Draining.dump());
  ASSERT_TRUE(Result);
  EXPECT_TRUE(Result.value().IsDraining_);
}

TEST(MalformedBodiesTest, InvalidServerIdIsRejected) {
  const std::string Body = getHeartbeat().dump();
  EXPECT_FALSE(parseHeartbeat("", Body));
  EXPECT_FALSE(parseHeartbeat("a/b", Body));
  EXPECT_FALSE(parseHeartbeat(std::string(5000, 'x'), Body));
}

TEST(MalformedBodiesTest, ReportWithNumberOutOfRangeIsRejected) {
  for (const auto &Edit : std::vector<std::function<void(Json &)>>{
           [](Json &V) { V["seq"] = 0; },
           [](Json &V) { V["capacity"]["cpu"] = 0; },
           [](Json &V) { V["capacity"]["memMb"] = 0; },
           [](Json &V) { V["capacity"]["cpu"] = -4; },
           [](Json &V) { V["capacity"]["cpu"] = "4000"; },
           [](Json &V) { V["seq"] = 18446744073709551615U; },
           [](Json &V) {
             V["labels"] = {"a", 7};
           },
           [](Json &V) { V["labels"] = Json::array({""}); }}) {
    Json Value = getHeartbeat();
    Edit(Value);
    EXPECT_FALSE(parseHeartbeat("i-1", Value.dump())) << Value;
  }
}

TEST(MalformedBodiesTest, MalformedVmRowDoesNotAffectOthers) {
  const auto Result = parseVmPage(
      R"({"machines":[7,{"machine":"m-1","pool":"p","state":"up","id":"i-1"},
          {"state":"up"},{"machine":"","state":"up"},
          {"machine":"m-2","pool":"p","state":"odd","id":"i-2"},
          {"machine":"m-3","pool":"p","state":"up","id":7},
          {"machine":"m-4","pool":"p","state":"up"},
          {"machine":"m-5","pool":"p","state":7,"id":null},
          {"machine":"m-6","pool":"p","state":"up","id":"i-6"}]})");
  ASSERT_TRUE(Result) << Result.error().Message_;
  using jobs::VmState;
  EXPECT_EQ(Result.value().List_.Vms_,
            (std::vector<jobs::VmInfo>{{"m-1", "p", VmState::Up, "i-1"},
                                       {"m-2", "p", VmState::Down, ""},
                                       {"m-3", "p", VmState::Down, ""},
                                       {"m-4", "p", VmState::Down, ""},
                                       {"m-5", "p", VmState::Down, ""},
                                       {"m-6", "p", VmState::Up, "i-6"}}));
  EXPECT_FALSE(Result.value().List_.IsComplete_);
  const auto Complete = parseVmPage(
      R"({"machines":[{"machine":"m-1","pool":"p","state":"odd"}]})");
  ASSERT_TRUE(Complete);
  EXPECT_TRUE(Complete.value().List_.IsComplete_) << "every row names a VM";
}

TEST(MalformedBodiesTest, VmListWithoutRowsIsRejected) {
  EXPECT_FALSE(parseVmPage("{}"));
  EXPECT_FALSE(parseVmPage(R"({"machines":7})"));
  EXPECT_FALSE(parseVmPage(R"({"machines":[],"nextToken":7})"));
}

TEST(MalformedBodiesTest, MalformedAdviceRowDoesNotAffectOthers) {
  const auto Result = parseAdvice(
      R"({"good":[["i-1","t1"],7,["i-2"],["i-3",7],["","t"],["i-4","t4"]],
          "validMs":3000})");
  ASSERT_TRUE(Result);
  ASSERT_EQ(Result.value().EligibleServers_.size(), 2U);
  EXPECT_EQ(Result.value().EligibleServers_[0].Server_, "i-1");
  EXPECT_EQ(Result.value().EligibleServers_[1].Server_, "i-4");
}

namespace {

/// Mutates a body at random: its bytes, or a value inside it.
class Mutator {
public:
  explicit Mutator(std::uint64_t Seed) : Random_(Seed) {}

  std::string change(const std::string &Body) {
    if (draw(3) == 0)
      return changeBytes(Body);
    Json Value = Json::parse(Body);
    for (std::uint64_t I = 0; I <= draw(2); ++I)
      changeValue(Value);
    return Value.dump();
  }

private:
  std::uint64_t draw(std::uint64_t Below) {
    return std::uniform_int_distribution<std::uint64_t>(0, Below - 1)(Random_);
  }
  std::string changeBytes(std::string Body) {
    switch (draw(4)) {
    case 0:
      Body[draw(Body.size())] = static_cast<char>(draw(256));
      return Body;
    case 1:
      return Body.substr(0, draw(Body.size()));
    case 2:
      return Body.insert(draw(Body.size()), 1, static_cast<char>(draw(256)));
    default:
      return Body.erase(draw(Body.size()), 1 + draw(8));
    }
  }
  void changeValue(Json &Value) {
    Json *At = &Value;
    // Descends to a random value, and stops at each level with a probability of
    // 1/4.
    while ((At->is_object() || At->is_array()) && !At->empty() && draw(4) != 0)
      At = &*std::next(At->begin(), std::ptrdiff_t(draw(At->size())));
    const std::vector<Json> &Unexpected = getUnexpectedValues();
    const bool HasParts =
        (At->is_object() || At->is_array()) && !At->empty() && draw(2) == 0;
    if (HasParts)
      At->erase(std::next(At->begin(), std::ptrdiff_t(draw(At->size()))));
    else
      *At = Unexpected[draw(Unexpected.size())];
  }

  std::mt19937_64 Random_;
};

/// A valid body of the platform, and a function that parses a body and checks
/// the result if it is accepted.
struct ParserCase {
  std::string Body_;
  std::function<void(const std::string &)> Parse_;
};

std::vector<ParserCase> makeParserCases() {
  return {
      {getHeartbeat().dump(),
       [](const std::string &Body) {
         const auto Result = parseHeartbeat("i-1", Body);
         if (Result)
           expectCompleteServer(Result.value());
       }},
      {R"({"spec":"t","steps":[{"count":2,"cpu":500,"memMb":2},{"count":2,
           "dependsOn":[0],"longRunning":true,"mayMiss":1,"image":"i"}]})",
       [](const std::string &Body) {
         if (const auto Result = parseJob(Body)) {
           for (const jobs::StepSpec &Step : Result.value().Steps_)
             EXPECT_GE(Step.Need_.MilliCpus_, 0);
         }
       }},
      {R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/l/",
           "timeoutMs":3000,"service":"s","stretch":1.5}],
           "services":[{"name":"s","preconditions":true}],"limits":{}})",
       [](const std::string &Body) {
         if (const auto Result = parseConfiguration(Body)) {
           EXPECT_GT(Result.value().Version_, 0U);
           for (const jobs::QueuePolicy &Queue : Result.value().Queues_)
             EXPECT_FALSE(Queue.Service_.empty());
         }
       }},
      {R"({"wave":1,"machines":["m-1","m-2"],"deadlineS":2.5,"maxCount":2})",
       [](const std::string &Body) {
         if (const auto Result = parseWave(Body)) {
           EXPECT_GT(Result.value().MaxConcurrent_, 0U);
         }
       }},
      {R"({"machines":[{"machine":"m-1","pool":"p","state":"up","id":"i"},
           {"machine":"m-2","pool":"p","state":"down","id":null}],
           "nextToken":null})",
       [](const std::string &Body) {
         if (const auto Result = parseVmPage(Body)) {
           for (const jobs::VmInfo &Vm : Result.value().List_.Vms_)
             EXPECT_FALSE(Vm.Vm_.empty());
         }
       }},
      {R"({"good":[["i-1","t1"],["i-2","t2"]],"validMs":3000})",
       [](const std::string &Body) {
         if (const auto Result = parseAdvice(Body)) {
           for (const jobs::EligibleServer &Server :
                Result.value().EligibleServers_)
             EXPECT_FALSE(Server.Server_.empty());
         }
       }},
      {R"({"currentTimeMs":4,"running":[["j.0.1.17",2,"c",41]],
           "finished":[[58,"j.0.1.9",1,"done",""]]})",
       [](const std::string &Body) {
         if (const auto Result = parsePollReply(Body)) {
           for (const jobs::RunningTask &Task : Result.value().Running_)
             EXPECT_FALSE(Task.Task_.Job_.empty());
         }
       }},
      {R"({"reason":"busy"})",
       [](const std::string &Body) { (void)parseMaintenanceRefusal(Body); }},
  };
}

/// Returns the first and last seed: the default range of CI, or that of
/// TULIPWEIR_MUTATION_SEEDS=FIRST-LAST.
std::pair<std::uint64_t, std::uint64_t> getSeeds() {
  std::uint64_t First = 1;
  std::uint64_t Last = 4000;
  if (const char *Text = std::getenv("TULIPWEIR_MUTATION_SEEDS")) {
    char *Rest = nullptr;
    First = std::strtoull(Text, &Rest, 10);
    Last = *Rest == '-' ? std::strtoull(Rest + 1, nullptr, 10) : First;
  }
  return {First, Last};
}

} // namespace

TEST(MalformedBodiesTest, MutatedBodiesAreParsedCompletelyOrRejected) {
  const auto [First, Last] = getSeeds();
  const std::vector<ParserCase> Cases = makeParserCases();
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    Mutator Mutation(Seed);
    for (const ParserCase &Case : Cases)
      Case.Parse_(Mutation.change(Case.Body_));
    if (HasFailure()) {
      ADD_FAILURE() << "seed " << Seed;
      return;
    }
  }
}
