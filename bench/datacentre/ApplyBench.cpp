//===- ApplyBench.cpp - Cost of commands and snapshots --------------------===//
//
// Runs commands against a state of the target size: 300 servers and 13,000
// tasks in one data centre, and up to 1,000,000 request records.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/datacentre/DataCentreState.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static constexpr int Servers = 300;
static constexpr std::uint32_t TasksPerJob = 130;

static BackendServerId serverId(std::uint64_t Number) {
  return BackendServerId("server-" + std::to_string(Number % Servers));
}

/// Places the tasks evenly on the servers, TasksPerJob to a job.
static DataCentreState makeState(std::uint32_t Tasks) {
  DataCentreState State{RecordLimits{}};
  std::uint64_t Index = 0;
  for (int I = 0; I < Servers; ++I)
    State.apply(RegisterServer{serverId(I),
                               BootId("boot"),
                               RackId("r"),
                               "10.0.0.1:80",
                               Resources::makeFor(1 << 20, 1 << 20),
                               {ServiceId("v")},
                               8,
                               64,
                               false},
                1, ++Index);
  for (std::uint32_t Job = 0; Job * TasksPerJob < Tasks; ++Job) {
    const JobId Id("job-" + std::to_string(Job));
    State.apply(AdoptJob{{Id, TeamId("t"), JobClassId("c"), 1, TasksPerJob,
                          Resources::makeFor(100, 100), "payload", 5},
                         1,
                         ""},
                1, ++Index);
    for (std::uint32_t T = 0; T < TasksPerJob; ++T) {
      ++Index;
      State.apply(PlaceTask{{Id, T},
                            AttemptNumber(1),
                            serverId(Index),
                            BootId("boot"),
                            Resources::makeFor(100, 100)},
                  1, Index);
    }
  }
  return State;
}

/// Evicts one task and places its next attempt per iteration.
static void evictAndPlace(benchmark::State &Run) {
  const auto Tasks = static_cast<std::uint32_t>(Run.range(0));
  DataCentreState State = makeState(Tasks);
  std::uint64_t Step = 0;
  std::uint64_t Refused = 0;
  for (auto _ : Run) {
    const TaskId Task{
        JobId("job-" + std::to_string(Step * 7919 % (Tasks / TasksPerJob))),
        static_cast<std::uint32_t>(Step % TasksPerJob)};
    const AttemptNumber Attempt = State.findTask(Task)->Attempt_;
    const auto Ended = State.apply(
        EndAttempt{Task, Attempt, AttemptEnd::Evicted, "checkpoint", ""}, 1,
        ++Step);
    const auto Placed = State.apply(
        PlaceTask{Task, AttemptNumber(Attempt.value() + 1), serverId(Step),
                  BootId("boot"), Resources::makeFor(100, 100)},
        1, Step);
    Refused += !Ended.Error_.empty() + !Placed.Error_.empty();
  }
  Run.counters["refused"] = static_cast<double>(Refused);
}
BENCHMARK(evictAndPlace)->Arg(1300)->Arg(13000);

static void codeCommand(benchmark::State &Run) {
  const Command Value = PlaceTask{{JobId("job-1"), 7},
                                  AttemptNumber(3),
                                  serverId(1),
                                  BootId("boot"),
                                  Resources::makeFor(100, 100)};
  std::size_t Bytes = 0;
  for (auto _ : Run) {
    const std::string Coded = encodeCommand(Value);
    benchmark::DoNotOptimize(decodeCommand(Coded));
    Bytes = Coded.size();
  }
  Run.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(codeCommand);

/// Returns the bytes that the allocator has handed out.
static double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

static wire::BeginRequest makeBegin(std::uint64_t Number) {
  wire::BeginRequest Request;
  Request.Key_ = RequestKey("ticket:south-1.1700000000000.0123456789abcdef" +
                            std::to_string(Number));
  Request.Digest_ = Digest(std::string(64, 'd'));
  Request.Entry_ = EntryId("entry-1");
  Request.EntryIncarnation_ = 7;
  Request.Service_ = ServiceId("booking");
  return Request;
}

/// Begins and finishes one request with a 200-byte answer per iteration, while
/// the given number of records is held.
static void beginAndFinish(benchmark::State &Run) {
  constexpr std::uint64_t Wall = 1'700'000'000'000;
  RequestRecords Records{RecordLimits{24ULL * 3600 * 1000, 10'000'000, 65536}};
  const auto Serve = [&Records](std::uint64_t Number) {
    const wire::BeginRequest Begin = makeBegin(Number);
    Records.begin(Begin, Wall).value();
    Records.finish(
        {Begin.Key_, 1,
         wire::StoredAnswer{200, "text/plain", std::string(200, 'a')}},
        Wall);
  };
  const double Before = heapBytes();
  std::uint64_t Number = 0;
  while (Number < static_cast<std::uint64_t>(Run.range(0)))
    Serve(Number++);
  Run.counters["bytesPerRecord"] =
      (heapBytes() - Before) / static_cast<double>(Number);
  for (auto _ : Run)
    Serve(Number++);
}
BENCHMARK(beginAndFinish)->Arg(10'000)->Arg(1'000'000);

static void codeSnapshot(benchmark::State &Run) {
  const DataCentreState State = makeState(13000);
  std::size_t Bytes = 0;
  for (auto _ : Run) {
    const std::string Coded = State.encode();
    benchmark::DoNotOptimize(DataCentreState::decode(Coded, RecordLimits{}));
    Bytes = Coded.size();
  }
  Run.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(codeSnapshot);
