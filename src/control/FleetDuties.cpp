#include "control/FleetDuties.h"

#include "tulipweir/fleet/FleetCodec.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using fleet::AssignmentReply;
using fleet::AssignmentReport;

static constexpr Duration TickPeriod = std::chrono::milliseconds(200);
/// Ticks between reports while nothing changed.
static constexpr std::uint64_t ReportTicks = 10;
static constexpr Duration ReportTimeout = std::chrono::seconds(2);
static constexpr std::size_t DueLimit = 200;
static constexpr std::size_t DecideBudget = 64;

FleetCounters FleetCounters::makeFor(net::Metrics &From) {
  return {From.addCounter("tulipweir_assignment_reports_total",
                          "Reports sent to the fleet's leader"),
          From.addCounter("tulipweir_assignment_reports_failed_total",
                          "Reports that were not answered"),
          From.addCounter("tulipweir_assignment_proposals_total",
                          "Assignments and releases proposed")};
}

FleetDuties::FleetDuties(const FleetParts &Parts, DataCentreId DataCentre,
                         const fleet::AssignmentTimes &Times, FindLoad Load,
                         Renewed OnRenewed)
    : Parts_(Parts), DataCentre_(std::move(DataCentre)), Load_(std::move(Load)),
      OnRenewed_(std::move(OnRenewed)),
      Watch_(Parts.Group_, Parts.Strand_,
             {[this](std::uint64_t Term) {
                spdlog::info("leads the fleet in term {}", Term);
                Leading_ = true;
                Term_ = Term;
                Assigner_.startLeading(Parts_.Time_.now());
              },
              [this] {
                spdlog::info("leads the fleet no more");
                Leading_ = false;
                Assigner_.stopLeading();
              }}),
      Assigner_(Times) {}

void FleetDuties::start() {
  Parts_.Strand_.post([this] { tick(); });
}

void FleetDuties::stop(std::function<void()> Stopped) {
  Parts_.Strand_.post([this, Stopped = std::move(Stopped)] {
    Stopped_ = true;
    Leading_ = false;
    Assigner_.stopLeading();
    Stopped();
  });
}

void FleetDuties::tick() {
  if (Stopped_)
    return;
  Watch_.poll();
  look();
  if (Ticks_++ % ReportTicks == 0)
    report();
  Parts_.Strand_.postAfter(TickPeriod, [this] { tick(); });
}

void FleetDuties::noteJobs() {
  if (JobsChanged_.exchange(true))
    return;
  Parts_.Strand_.post([this] { look(); });
}

void FleetDuties::look() {
  if (Stopped_)
    return;
  if (JobsChanged_) {
    refreshStanding();
    // A newly assigned job needs its first renewal before any of it runs.
    report();
  }
  decide();
}

/// The lease alone could be of a later term, won again since the last look.
bool FleetDuties::leadsAt(TimePoint Now) const {
  return Leading_ && Parts_.Group_.findLeaseTerm(Now) == Term_;
}

void FleetDuties::decide() {
  const TimePoint Now = Parts_.Time_.now();
  if (!leadsAt(Now))
    return;
  const std::vector<fleet::Command> Commands =
      Parts_.Machine_.read([&](const fleet::FleetState &State) {
        return Assigner_.decide(State.jobs(), Now, DecideBudget);
      });
  for (const fleet::Command &Value : Commands) {
    Parts_.Counters_.Proposals_.add();
    Parts_.Group_.propose(fleet::encodeCommand(Value),
                          [](const Outcome<replication::Applied> &) {});
  }
}

void FleetDuties::refreshStanding() {
  JobsChanged_ = false;
  Standing_ = Parts_.Machine_.read([&](const fleet::FleetState &State) {
    std::vector<fleet::HeldAssignment> Result;
    const auto Held = State.jobs().held().find(DataCentre_);
    if (Held == State.jobs().held().end())
      return Result;
    for (const JobId &Job : Held->second)
      Result.push_back({Job, State.jobs().find(Job)->Assignment_});
    return Result;
  });
  Parts_.Lease_.retain(Standing_);
}

void FleetDuties::report() {
  ReportAgain_ = Reporting_;
  if (Reporting_)
    return;
  const TimePoint Now = Parts_.Time_.now();
  AssignmentReport Report;
  Report.DataCentre_ = DataCentre_;
  Report.Due_ = Parts_.Lease_.listDue(Standing_, Now, DueLimit);
  if (const std::optional<fleet::DataCentreLoad> Load = Load_()) {
    Report.HasLoad_ = true;
    Report.Load_ = *Load;
  }
  Parts_.Counters_.Reports_.add();
  const replication::ReplicaStatus Status = Parts_.Group_.getStatus();
  if (Status.IsLeader_)
    return takeReply(answer(Report), Now);
  if (Status.LeaderName_.empty())
    return takeReply(fail(ErrorCode::Unavailable, "no leader"), Now);
  Reporting_ = true;
  Parts_.Peers_.call(
      Status.LeaderName_, wire::MessageKind::AssignmentReport,
      fleet::encodeReport(Report), ReportTimeout,
      [this, Now](Outcome<std::string> Bytes) {
        Outcome<AssignmentReply> Reply =
            Bytes ? fleet::decodeReply(Bytes.value())
                  : Outcome<AssignmentReply>(std::move(Bytes).as_failure());
        Parts_.Strand_.post([this, Now, Reply = std::move(Reply)] {
          Reporting_ = false;
          takeReply(Reply, Now);
          if (ReportAgain_ && !Stopped_)
            report();
        });
      });
}

void FleetDuties::takeReply(const Outcome<AssignmentReply> &Reply,
                            TimePoint SentAt) {
  if (!Reply) {
    Parts_.Counters_.ReportsFailed_.add();
    return;
  }
  Parts_.Lease_.recordRenewals(Reply.value(), SentAt);
  for (const fleet::HeldAssignment &Held : Reply.value().Renewed_)
    OnRenewed_(Held.Job_);
}

void FleetDuties::onReport(AssignmentReport Report, Done Reply) {
  Parts_.Strand_.post([this, Report = std::move(Report),
                       Reply = std::move(Reply)] { Reply(answer(Report)); });
}

Outcome<AssignmentReply> FleetDuties::answer(const AssignmentReport &Report) {
  const TimePoint Now = Parts_.Time_.now();
  if (!leadsAt(Now))
    return fail(ErrorCode::NotLeader, Parts_.Group_.getStatus().LeaderName_);
  return Parts_.Machine_.read([&](const fleet::FleetState &State) {
    return Assigner_.renew(Report, State.jobs(), Now);
  });
}
