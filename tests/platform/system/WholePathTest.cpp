//===- WholePathTest.cpp - The platform's programs as processes
//-------------===//
//
// Three controls, two entries and some stand-in workers on loopback addresses.
//
//===----------------------------------------------------------------------===//

#include "platform/system/Worker.h"
#include "system/support/Child.h"
#include "system/support/HttpCall.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::platform_test;
using namespace tulipweir::system_test;
using namespace std::chrono_literals;
using Json = nlohmann::json;

static constexpr auto Patience = 60s;
static constexpr const char *Host = "jobs.example";
static constexpr int Controls = 3;
static constexpr int Entries = 2;

namespace {

class WholePathTest : public ::testing::Test {
protected:
  WholePathTest() {
    for (int I = 0; I < Controls; ++I)
      addProcess("control", I, controlAddress(I));
    for (int I = 0; I < Entries; ++I)
      addProcess("entry", I, entryAddress(I));
    for (const auto &Each : Processes_)
      Each.second->start();
  }
  ~WholePathTest() override {
    Workers_.clear();
    if (HasFailure())
      for (const auto &[Name, Each] : Processes_)
        std::cerr << "== " << Name << "\n" << Each->readOutput();
  }

  static std::string controlAddress(int I) {
    return "127.0.1." + std::to_string(I + 1);
  }
  static std::string entryAddress(int I) {
    return "127.0.2." + std::to_string(I + 1);
  }

  void addProcess(const std::string &Role, int I, const std::string &Address) {
    const std::string Name = Role + std::to_string(I);
    const bool IsControl = Role == "control";
    Json Settings = {
        {"node", Name},
        {"ip", Address},
        {"zone", "z"},
        {"portRange", {LinkPort_, LinkPort_ + 5}},
        {"bootstrap", true},
        {"dataDir", nullptr},
        {"heartbeatMs", 500},
        {"faultTolerance", {{"machines", 1}}},
        {"bounds", {{"holdMaxMs", 2000}, {"graceS", 6}, {"status_s", 120}}}};
    for (int Seed = 0; Seed < Controls; ++Seed)
      Settings["seeds"].push_back(controlAddress(Seed) + ":" +
                                  std::to_string(ControlPort_));
    if (IsControl) {
      Settings["listen"]["control"] =
          Address + ":" + std::to_string(ControlPort_);
      Settings["dataDir"] = Folder_.path() + "/" + Name;
    } else {
      Settings["listen"]["front"] = Address + ":" + std::to_string(ClientPort_);
      Settings["listen"]["ready"] = Address + ":" + std::to_string(ReadyPort_);
    }
    const std::string Path = Folder_.path() + "/" + Name + ".json";
    std::ofstream(Path) << Settings.dump();
    auto Process = std::make_unique<Child>(
        "tulipweir-platform-" + Role, std::vector<std::string>{},
        Folder_.path() + "/" + Name + ".log");
    Process->setEnvironment(
        {"TULIPWEIR_CONFIG=" + Path, "TULIPWEIR_SECRET=a secret of this test"});
    Processes_[Name] = std::move(Process);
  }

  HttpAnswer callControl(const std::string &Method, const std::string &Path,
                         const std::string &Body = "") {
    HttpAnswer Answer;
    waitFor(Patience, [&] {
      for (int I = 0; I < Controls; ++I) {
        HttpCall Call;
        Call.Method_ = Method;
        Call.Address_ = controlAddress(I);
        Call.Path_ = Path;
        Call.Body_ = Body;
        Answer = system_test::call(ControlPort_, Call);
        if (Answer.Status_ != 0 && Answer.Status_ != 307 &&
            Answer.Status_ != 503)
          return true;
      }
      return false;
    });
    return Answer;
  }
  HttpAnswer callEntry(const std::string &Method, const std::string &Path,
                       const std::string &Body = "", int Entry = 0) {
    HttpCall Call;
    Call.Method_ = Method;
    Call.Address_ = entryAddress(Entry);
    Call.Path_ = Path;
    Call.Body_ = Body;
    Call.Headers_["Host"] = Host;
    return system_test::call(ClientPort_, Call);
  }

  void putConfiguration(std::uint64_t Version) {
    const Json Value = {
        {"version", Version},
        {"routes",
         {{{"name", "r"},
           {"host", Host},
           {"pathPrefix", "/q/"},
           {"service", "svc"},
           {"timeoutMs", 3000},
           {"targetLatencyMs", 1000},
           {"attempts", 3},
           {"stretch", 2.0}}}},
        {"services", {{{"name", "svc"}, {"preconditions", true}}}}};
    EXPECT_EQ(callControl("PUT", "/api/config", Value.dump()).Status_, 200);
  }
  void addWorkers(int Count) {
    std::vector<Worker::Place> Places;
    Places.reserve(Controls);
    for (int I = 0; I < Controls; ++I)
      Places.push_back({controlAddress(I), ControlPort_});
    for (int I = 0; I < Count; ++I)
      Workers_.push_back(std::make_unique<Worker>(
          "w" + std::to_string(Workers_.size()), Places, Seen_));
  }
  static Json makeJob(const std::string &Payload) {
    const Json Step = {{"count", 4},
                       {"cpu", 1000},
                       {"memMb", 500},
                       {"estimateMs", 200},
                       {"checkpointing", true}};
    Json Second = Step;
    Second["dependsOn"] = {0};
    return {{"spec", Payload}, {"steps", {Step, Second}}};
  }
  /// Hands a job in until it is accepted, as clients do.
  void submit(const std::string &Id, const Json &Job) {
    EXPECT_TRUE(waitFor(Patience, [&] {
      for (int Entry = 0; Entry < Entries; ++Entry)
        if (callEntry("POST", "/q/" + Id, Job.dump(), Entry).Status_ == 200)
          return true;
      return false;
    })) << Id;
  }
  std::string stateOf(const std::string &Id) {
    return callEntry("GET", "/q/" + Id).json().value("state", "");
  }
  bool waitForState(const std::string &Id, const std::string &State) {
    return waitFor(Patience, [&] { return stateOf(Id) == State; });
  }
  std::string findLeader() {
    for (int I = 0; I < Controls; ++I) {
      HttpCall Call;
      Call.Address_ = controlAddress(I);
      Call.Path_ = "/api/config";
      if (system_test::call(ControlPort_, Call).Status_ == 200)
        return "control" + std::to_string(I);
    }
    return "";
  }

  TempFolder Folder_;
  const std::uint16_t LinkPort_ = pickPort();
  const std::uint16_t ControlPort_ = pickPort();
  const std::uint16_t ClientPort_ = pickPort();
  const std::uint16_t ReadyPort_ = pickPort();
  std::map<std::string, std::unique_ptr<Child>> Processes_;
  Audit Seen_;
  std::vector<std::unique_ptr<Worker>> Workers_;
};

} // namespace

TEST_F(WholePathTest, JobsRunToTheirEndOnceAndInOrder) {
  putConfiguration(1);
  addWorkers(3);
  for (int I = 0; I < 6; ++I)
    submit("a" + std::to_string(I), makeJob("ms=100;cpu=1000;mem=500"));
  for (int I = 0; I < 6; ++I)
    EXPECT_TRUE(waitForState("a" + std::to_string(I), "completed"));
  EXPECT_EQ(Seen_.countDone(), 48U);
  EXPECT_EQ(Seen_.countStarts(), 48U);
  EXPECT_EQ(Seen_.listBreaks(), std::vector<std::string>{});
  EXPECT_EQ(callEntry("GET", "/q/unknown").Status_, 410);
  EXPECT_EQ(callEntry("GET", "/other/x").Status_, 404);
  EXPECT_EQ(callEntry("GET", "/q/").json().value("pending", -1), 0);
  EXPECT_EQ(callEntry("POST", "/q/bad", "{").Status_, 400);
  EXPECT_EQ(callControl("GET", "/api/config").json().value("version", 0), 1);
}

TEST_F(WholePathTest, ALostLeaderAndALostWorkerCostNoJob) {
  putConfiguration(1);
  addWorkers(4);
  for (int I = 0; I < 8; ++I)
    submit("b" + std::to_string(I), makeJob("ms=900;cpu=1000;mem=500"));
  EXPECT_TRUE(
      waitFor(Patience, [this] { return Workers_[0]->countRunning() > 0; }));
  const std::string Leader = findLeader();
  ASSERT_NE(Leader, "");
  Processes_.at(Leader)->kill();
  Workers_[0]->crash();
  submit("late", makeJob("ms=100;cpu=1000;mem=500"));
  Processes_.at(Leader)->start();
  for (int I = 0; I < 8; ++I)
    EXPECT_TRUE(waitForState("b" + std::to_string(I), "completed"));
  EXPECT_TRUE(waitForState("late", "completed"));
  EXPECT_EQ(Seen_.countDone(), 72U);
  EXPECT_EQ(Seen_.listBreaks(), std::vector<std::string>{});
}

TEST_F(WholePathTest, AllControlsKilledForgetNothing) {
  putConfiguration(3);
  submit("kept", makeJob("ms=100;cpu=1000;mem=500"));
  for (int I = 0; I < Controls; ++I)
    Processes_.at("control" + std::to_string(I))->kill();
  for (int I = 0; I < Controls; ++I)
    Processes_.at("control" + std::to_string(I))->start();
  addWorkers(2);
  EXPECT_TRUE(waitForState("kept", "completed"));
  EXPECT_EQ(callControl("GET", "/api/config").json().value("version", 0), 3);
  EXPECT_EQ(Seen_.listBreaks(), std::vector<std::string>{});
}

TEST_F(WholePathTest, FailuresAndCancellationsEndAsTheyShould) {
  putConfiguration(1);
  addWorkers(2);
  submit("poison", makeJob("ms=20;cpu=1000;mem=500;fail"));
  submit("long", makeJob("ms=600000;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("poison", "failed"));
  EXPECT_TRUE(waitForState("long", "running"));
  EXPECT_EQ(callEntry("DELETE", "/q/long").Status_, 200);
  EXPECT_EQ(stateOf("long"), "cancelled");
  EXPECT_TRUE(waitFor(Patience, [this] {
    return Workers_[0]->countRunning() + Workers_[1]->countRunning() == 0;
  }));
  EXPECT_EQ(Seen_.listBreaks(), std::vector<std::string>{});
}

TEST_F(WholePathTest, ADrainingWorkerGetsNothingNew) {
  putConfiguration(1);
  addWorkers(1);
  submit("first", makeJob("ms=50;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("first", "completed"));
  Workers_[0]->drain();
  // Two reports later everybody knows it.
  std::this_thread::sleep_for(1500ms);
  submit("second", makeJob("ms=50;cpu=1000;mem=500"));
  const std::uint64_t Before = Seen_.countStarts();
  std::this_thread::sleep_for(1500ms);
  EXPECT_EQ(Seen_.countStarts(), Before);
  addWorkers(1);
  EXPECT_TRUE(waitForState("second", "completed"));
}

TEST_F(WholePathTest, PlannedStopsAreClean) {
  putConfiguration(1);
  submit("j", makeJob("ms=50;cpu=1000;mem=500"));
  for (auto &[Name, Process] : Processes_) {
    Process->signal(SIGTERM);
    EXPECT_EQ(Process->wait(30s), 0) << Name;
  }
}

TEST_F(WholePathTest, EveryLogLineParsesAndFailuresAreFoundByTheirId) {
  putConfiguration(1);
  addWorkers(1);
  submit("fine", makeJob("ms=50;cpu=1000;mem=500"));
  EXPECT_TRUE(waitForState("fine", "completed"));
  submit("poison", makeJob("ms=20;cpu=1000;mem=500;fail"));
  EXPECT_TRUE(waitForState("poison", "failed"));
  EXPECT_EQ(callEntry("POST", "/q/broken", "{").Status_, 400);
  EXPECT_EQ(callEntry("POST", "/gone/lost", "{\"steps\":[{}]}").Status_, 404);
  for (auto &[Name, Process] : Processes_) {
    Process->signal(SIGTERM);
    Process->wait(30s);
  }
  std::map<std::string, std::vector<Json>> ByJob;
  for (const auto &[Name, Process] : Processes_) {
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
