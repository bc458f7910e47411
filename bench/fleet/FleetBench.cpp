//===- FleetBench.cpp - Bundles and jobs at full size --------------------===//
//
// 190 teams, 100 services, 50 operators; 8,000 jobs a day.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/FleetCodec.h"
#include "tulipweir/fleet/FleetState.h"
#include "tulipweir/fleet/JobAssigner.h"
#include "tulipweir/fleet/Signing.h"

#include <benchmark/benchmark.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::fleet;
using nlohmann::json;

static constexpr int Teams = 190;
static constexpr int Services = 100;
static constexpr int Operators = 50;

static const std::vector<KeyPair> &getKeys() {
  static const std::vector<KeyPair> Keys = [] {
    std::vector<KeyPair> Made;
    Made.reserve(Operators);
    for (int I = 0; I < Operators; ++I)
      Made.push_back(makeKeyPair());
    return Made;
  }();
  return Keys;
}

static json makeService(int Number) {
  return {{"service", "service-" + std::to_string(Number)},
          {"targetP99Ms", 100},
          {"defaultDeadlineMs", 2000},
          {"maxDeadlineMs", 10000},
          {"queueLimit", 256},
          {"maxBodyBytes", 1048576},
          {"hedgingAllowed", true},
          {"share",
           {{"milliCpus", 1000}, {"memoryMib", 512}, {"accelerators", 0}}}};
}

static json makeTargetBundle(std::uint64_t Version, const std::string &Parent) {
  json Value = {
      {"version", Version},        {"parentVersion", Version - 1},
      {"parentDigest", Parent},    {"note", "bench"},
      {"signOffsNeeded", 1},       {"operators", json::array()},
      {"services", json::array()}, {"policy", {{"quotas", json::array()}}}};
  for (int I = 0; I < Operators; ++I)
    Value["operators"].push_back(
        {{"operator", "operator-" + std::to_string(I)},
         {"publicKey", getKeys()[static_cast<std::size_t>(I)].PublicKey_}});
  for (int I = 0; I < Services; ++I)
    Value["services"].push_back(makeService(I));
  for (int I = 0; I < Teams; ++I)
    Value["policy"]["quotas"].push_back({{"team", "team-" + std::to_string(I)},
                                         {"milliCpus", 64000},
                                         {"memoryMib", 262144},
                                         {"accelerators", 4}});
  return Value;
}

static ProposeBundle makeProposal(const std::string &Text) {
  const Digest Value = computeDigest(Text);
  return {Text,
          {OperatorId("operator-0"),
           signDigest(Value, getKeys()[0].SecretKey_).value()},
          1};
}

static void checkTargetBundle(benchmark::State &State) {
  static constexpr int Indent = 2;
  const std::string Text = makeTargetBundle(1, "").dump(Indent);
  for (auto _ : State)
    benchmark::DoNotOptimize(checkBundle(Text));
  State.counters["bundle_bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(checkTargetBundle)->Unit(benchmark::kMicrosecond);

/// Checks keys that are not in the cache of validated keys yet.
static void checkNewKeys(benchmark::State &State) {
  for (auto _ : State) {
    State.PauseTiming();
    std::vector<std::string> Keys;
    Keys.reserve(Operators);
    for (int I = 0; I < Operators; ++I)
      Keys.push_back(makeKeyPair().PublicKey_);
    State.ResumeTiming();
    for (const std::string &Key : Keys)
      benchmark::DoNotOptimize(isPublicKey(Key));
  }
}
BENCHMARK(checkNewKeys)->Unit(benchmark::kMicrosecond)->Iterations(50);

/// Accepts a chain of bundles, each the child of the previous one.
static void acceptTargetBundle(benchmark::State &State) {
  FleetState Fleet;
  std::uint64_t Version = 0;
  std::string Parent;
  for (auto _ : State) {
    State.PauseTiming();
    const auto Proposal =
        makeProposal(makeTargetBundle(++Version, Parent).dump());
    Parent = computeDigest(Proposal.Text_).value();
    State.ResumeTiming();
    benchmark::DoNotOptimize(Fleet.apply(Proposal));
  }
  if (Fleet.bundles().inForce().Version_.value() != Version)
    State.SkipWithError("a bundle was refused");
  State.counters["snapshot_bytes"] =
      static_cast<double>(encodeState(Fleet).size());
}
BENCHMARK(acceptTargetBundle)->Unit(benchmark::kMicrosecond)->Iterations(200);

static JobId nameJob(std::int64_t Number) {
  return JobId("job-" + std::to_string(Number));
}

/// Submits, assigns and ends a job, which is the cost of each of 8,000 jobs a
/// day to a replica, with range(0) other jobs open.
static void runJobThroughLog(benchmark::State &State) {
  FleetState Fleet;
  const std::string Spec(500, 's');
  std::int64_t Next = 0;
  for (; Next < State.range(0); ++Next)
    Fleet.apply(SubmitJob{nameJob(Next), TeamId("t"), Spec, {}, 1});
  for (auto _ : State) {
    const JobId Job = nameJob(Next++);
    Fleet.apply(SubmitJob{Job, TeamId("t"), Spec, {}, 1});
    Fleet.apply(AssignJob{Job, DataCentreId("east")});
    Fleet.apply(EndJob{Job, 1, JobEnd::Finished, "", 1});
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(runJobThroughLog)->Arg(100)->Arg(10'000)->Arg(90'000);

/// Runs one round of the leader with range(0) jobs held by four data centres.
static void decideAssignments(benchmark::State &State) {
  JobRegistry Jobs;
  JobAssigner Assigner((AssignmentTimes()));
  TimePoint Now(std::chrono::hours(1));
  Assigner.startLeading(Now);
  Now += std::chrono::seconds(3);
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    const DataCentreId Holder("dc" + std::to_string(I % 4));
    Jobs.submit({nameJob(I), TeamId("t"), "s", {}, 1});
    Jobs.assign({nameJob(I), Holder});
    Assigner.renew({Holder, true, {0.5, 0, 300}, {}}, Jobs, Now);
  }
  for (auto _ : State)
    benchmark::DoNotOptimize(Assigner.decide(Jobs, Now, 100));
}
BENCHMARK(decideAssignments)->Arg(100)->Arg(10'000);

/// Encodes a snapshot with the maximum number of ended jobs.
static void encodeFullState(benchmark::State &State) {
  FleetState Fleet;
  const std::string Spec(500, 's');
  for (std::int64_t I = 0; I < 12'000; ++I) {
    Fleet.apply(SubmitJob{nameJob(I), TeamId("t"), Spec, {}, 1});
    Fleet.apply(CancelJob{nameJob(I)});
  }
  std::size_t Bytes = 0;
  for (auto _ : State)
    Bytes = encodeState(Fleet).size();
  State.counters["snapshot_bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(encodeFullState)->Unit(benchmark::kMillisecond);
