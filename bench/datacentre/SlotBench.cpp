//===- SlotBench.cpp - Slot sharing rules and their cost ------------------===//

#include "tulipweir/datacentre/SlotAllocator.h"
#include "tulipweir/wire/Codec.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <string>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static constexpr int Entries = 9;

/// Measures a sharing rule with 48 servers of 8 slots at 70% average load,
/// where the first entry has Skew times the demand of each other entry and the
/// requests of an entry are Poisson distributed. withoutSlotPercent is the
/// percentage of requests that find no slot at their entry; leastServersReached
/// is the smallest number of servers at which any entry has slots.
static void share(benchmark::State &Run, ShareRule Rule) {
  const auto Skew = static_cast<double>(Run.range(0));
  const std::vector<std::uint32_t> Slots(48, 8);
  const double Wanted = 0.7 * 48 * 8;
  std::vector<double> Average(Entries, Wanted / (Entries - 1 + Skew));
  Average[0] *= Skew;
  ShareTable Table;
  for (auto _ : Run)
    Table = Rule(Slots, Average);
  std::mt19937 Random(1);
  double Total = 0;
  double UnservedRequests = 0;
  int LeastReached = 48;
  for (int E = 0; E < Entries; ++E) {
    std::uint32_t Granted = 0;
    int Reached = 0;
    for (const auto &Row : Table) {
      Granted += Row[E];
      Reached += Row[E] > 0;
    }
    LeastReached = std::min(LeastReached, Reached);
    std::poisson_distribution<int> Draw(Average[E]);
    for (int I = 0; I < 10'000; ++I) {
      const int Requests = Draw(Random);
      Total += Requests;
      UnservedRequests += std::max(0, Requests - static_cast<int>(Granted));
    }
  }
  Run.counters["withoutSlotPercent"] = 100 * UnservedRequests / Total;
  Run.counters["leastServersReached"] = LeastReached;
}
BENCHMARK_CAPTURE(share, evenly, &shareEvenly)->Arg(1)->Arg(2)->Arg(4);
BENCHMARK_CAPTURE(share, byDemand, &shareByDemand)->Arg(1)->Arg(2)->Arg(4);
BENCHMARK_CAPTURE(share, bySubset, &shareBySubset)->Arg(1)->Arg(2)->Arg(4);

/// One entry reports per iteration while nothing changes, with the given number
/// of servers.
static void report(benchmark::State &Run) {
  TimePoint Now{std::chrono::hours(1)};
  SlotAllocator Allocator{SlotSettings{}, 1, Now, {}};
  for (int I = 0; I < Run.range(0); ++I)
    Allocator.upsertServer({BackendServerId("server-" + std::to_string(I)),
                            BootId("0123456789abcdef"),
                            "10.0.0.1:8000",
                            {ServiceId("booking")},
                            8,
                            64});
  std::vector<wire::EntryReport> Reports(Entries);
  std::size_t TableBytes = 0;
  const auto Report = [&](int Entry) {
    wire::EntryReport &Value = Reports[Entry];
    Value.Entry_ = EntryId("entry-" + std::to_string(Entry));
    Value.Incarnation_ = 1;
    const auto Reply = Allocator.onReport(Value, {Now, true}).value();
    if (!Reply.Routes_)
      return;
    TableBytes = wire::encode(Reply).size();
    Value.RoutesHeld_ = Reply.RoutesVersion_;
    Value.Grants_.clear();
    for (const wire::Route &Route : *Reply.Routes_)
      Value.Grants_.push_back(
          {Route.Server_, Route.Boot_, Route.Slots_, Route.Connections_, 0});
  };
  for (int Round = 0; Round < 20 * Entries; ++Round)
    Report(Round % Entries);
  int Entry = 0;
  for (auto _ : Run) {
    Now += std::chrono::milliseconds(500 / Entries);
    Report(++Entry % Entries);
  }
  Run.counters["tableBytes"] = static_cast<double>(TableBytes);
  Run.counters["reportBytes"] =
      static_cast<double>(wire::encode(Reports[0]).size());
}
BENCHMARK(report)->Arg(48)->Arg(300);
