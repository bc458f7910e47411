//===- HeartbeatBench.cpp - Cost of handling a heartbeat ------------------===//
//
// Passes heartbeats with 20 running and 2 ended tasks through the codec and the
// leader, over a replica that commits immediately, and compares the time with
// that of parsing the JSON alone. The bound applies to the ratio of both times
// in one run.
//
//===----------------------------------------------------------------------===//

#include "jobs/LeaderFixture.h"
#include "platform/ServerWire.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

static constexpr double MaxRatio = 3;
static constexpr int RunningEntries = 20;
static constexpr int EndedEntries = 2;
static constexpr int Heartbeats = 2000;

static double nowMicros() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// NOLINTNEXTLINE(bugprone-exception-escape): whatever is thrown ends the bench.
int main() {
  ManualClock Time;
  ManualExecutor Strand(Time);
  JobStateMachine Machine;
  ManualReplica Group(Machine);
  NoEventLog Log;
  NoJobMeter Meter;
  NullAdvisor Advisor;
  NullVmProvider Provider;
  NoReportRelays Relays;
  JobLeader Leader({}, Time, Strand, Group, Machine, Advisor, Provider, Relays,
                   Log, Meter);
  Leader.start();
  Strand.advance(std::chrono::milliseconds(100));
  Leader.putConfiguration(makeConfiguration(), [](const Outcome<void> &) {});
  // There are more tasks than the servers finish, so that each end is followed
  // by a start.
  for (int I = 0; I < 50; ++I)
    Leader.call({CallKind::Submit, Host,
                 std::string(Prefix) + "5c0e7a21d94b36" + std::to_string(I),
                 makeJob("", {makeStep(200, 10)})},
                [](const Outcome<JobCallReply> &) {});
  Strand.runAll();
  std::map<std::string, std::uint64_t> Running;
  std::uint64_t Ends = 0;
  double Parsing = 0;
  double Handling = 0;
  for (int I = 1; I <= Heartbeats; ++I) {
    nlohmann::json Heartbeat = {
        {"service", "booking"},
        {"address", "10.128.0.9:8080"},
        {"zone", "dc1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldLeftMs", 0},
        {"seq", I},
        {"capacity", {{"cpu", 220}, {"memMb", 100'000}, {"gpu", 0}}},
        {"labels", {"a", "r1"}},
        {"currentTimeMs", 482113},
        {"running", nlohmann::json::array()},
        {"finished", nlohmann::json::array()}};
    for (int End = 0; End < EndedEntries && Running.size() > RunningEntries;
         ++End) {
      const auto First = Running.begin();
      Heartbeat["finished"].push_back(
          {++Ends, First->first, First->second, "done", ""});
      Running.erase(First);
    }
    for (const auto &[Task, Run] : Running)
      Heartbeat["running"].push_back({Task, Run, "00000bb87a21d94b", 41, 20});
    const std::string Body = Heartbeat.dump();
    const double Begin = nowMicros();
    const bool IsObject = nlohmann::json::parse(Body).is_object();
    const double Parsed = nowMicros();
    std::string Answer;
    Leader.report(platform::parseHeartbeat("i-1", Body).value(),
                  [&Answer](const Outcome<ServerOrders> &Orders) {
                    if (Orders)
                      Answer = platform::renderOrders(Orders.value(), "");
                  });
    Strand.runAll();
    const double Handled = nowMicros();
    if (!IsObject || Answer.empty())
      return 1;
    Parsing += Parsed - Begin;
    Handling += Handled - Parsed;
    const nlohmann::json Orders = nlohmann::json::parse(Answer);
    for (const auto &Start : Orders.value("start", nlohmann::json::array()))
      Running[Start[0]] = Start[1];
  }
  const double Ratio = Handling / Parsing;
  const bool IsMet = Ratio <= MaxRatio;
  std::printf("a heartbeat with %d running and %d ended entries: parsing alone "
              "%.1f us, all of it %.1f us\n",
              RunningEntries, EndedEntries, Parsing / Heartbeats,
              Handling / Heartbeats);
  std::printf("heartbeat: ratio=%.2f bounds=%s\n", Ratio,
              IsMet ? "met" : "missed");
  return IsMet ? 0 : 1;
}
