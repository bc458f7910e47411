//===- AnnouncementBench.cpp - Cost of announcements at the leader --------===//

#include "tulipweir/datacentre/ServerTracker.h"
#include "tulipweir/wire/Codec.h"

#include <benchmark/benchmark.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// A server with the given number of running attempts sends one announcement
/// per iteration.
static void announce(benchmark::State &Run) {
  const auto Tasks = static_cast<std::uint32_t>(Run.range(0));
  DataCentreState State{RecordLimits{}};
  wire::Announcement Value;
  Value.Server_ = BackendServerId("server-1");
  Value.Boot_ = BootId("0123456789abcdef");
  Value.Capacity_ = Resources::makeFor(1 << 20, 1 << 20);
  Value.Services_ = {ServiceId("booking")};
  Value.Slots_ = 8;
  Value.Connections_ = 64;
  TimePoint Now{std::chrono::hours(1)};
  ServerTracker Tracker{ServerTrackerSettings{}, 1, Now, State};
  std::uint64_t Index = 0;
  const auto First = Tracker.onAnnouncement(Value, State, {Now, true});
  for (const Command &Proposal : First.value().Proposals_)
    State.apply(Proposal, 1, ++Index);
  const JobId Job("job-1");
  if (Tasks > 0)
    State.apply(AdoptJob{{Job, TeamId("t"), JobClassId("c"), 1, Tasks,
                          Resources{}, "", 5},
                         1,
                         ""},
                1, ++Index);
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    wire::AttemptReport Report;
    Report.Task_ = {Job, I};
    Report.Attempt_ = AttemptNumber(1);
    Report.Token_ =
        State
            .apply(PlaceTask{Report.Task_, Report.Attempt_, Value.Server_,
                             Value.Boot_, Resources::makeFor(100, 100)},
                   1, ++Index)
            .Token_;
    Report.Usage_ = Resources::makeFor(90, 90);
    Value.Attempts_.push_back(Report);
  }
  std::size_t ReplyBytes = 0;
  for (auto _ : Run) {
    ++Value.Sequence_;
    Now += std::chrono::milliseconds(500);
    const auto Result = Tracker.onAnnouncement(Value, State, {Now, true});
    ReplyBytes = wire::encode(Result.value().Reply_).size();
  }
  Run.counters["requestBytes"] =
      static_cast<double>(wire::encode(Value).size());
  Run.counters["replyBytes"] = static_cast<double>(ReplyBytes);
}
BENCHMARK(announce)->Arg(0)->Arg(11)->Arg(44);
