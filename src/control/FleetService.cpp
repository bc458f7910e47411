#include "control/FleetService.h"

#include "tulipweir/fleet/FleetCodec.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;
using fleet::AssignmentReply;
using fleet::AssignmentReport;

static constexpr Duration TickInterval = std::chrono::milliseconds(200);
/// Number of ticks between two reports if nothing changed.
static constexpr std::uint64_t TicksPerReport = 10;
static constexpr Duration ReportTimeout = std::chrono::seconds(2);
static constexpr std::size_t MaxDueRenewals = 200;
static constexpr std::size_t MaxAssignmentProposals = 64;

FleetCounters FleetCounters::makeFor(net::Metrics &Registry) {
  return {Registry.addCounter("tulipweir_assignment_reports_total",
                              "Reports sent to the fleet's leader"),
          Registry.addCounter("tulipweir_assignment_reports_failed_total",
                              "Reports that were not answered"),
          Registry.addCounter("tulipweir_assignment_proposals_total",
                              "Assignments and releases proposed")};
}

FleetService::FleetService(const FleetParts &Parts, DataCentreId DataCentre,
                           const fleet::AssignmentTimes &Times, FindLoad Load,
                           RenewedCallback OnRenewed)
    : Parts_(Parts), DataCentre_(std::move(DataCentre)),
      FindLoad_(std::move(Load)), OnRenewed_(std::move(OnRenewed)),
      Watch_(Parts.Group_, Parts.Strand_,
             {[this](std::uint64_t Term) {
                spdlog::info("leading the fleet in term {}", Term);
                Leading_ = true;
                Term_ = Term;
                Assigner_.startLeading(Parts_.Time_.now());
              },
              [this] {
                spdlog::info("no longer leading the fleet");
                Leading_ = false;
                Assigner_.stopLeading();
              }}),
      Assigner_(Times) {}

void FleetService::start() {
  Parts_.Strand_.post([this] { tick(); });
}

void FleetService::stop(std::function<void()> Stopped) {
  Parts_.Strand_.post([this, Stopped = std::move(Stopped)] {
    Stopped_ = true;
    Leading_ = false;
    Assigner_.stopLeading();
    Stopped();
  });
}

void FleetService::tick() {
  if (Stopped_)
    return;
  Watch_.poll();
  update();
  if (Ticks_++ % TicksPerReport == 0)
    report();
  Parts_.Strand_.postAfter(TickInterval, [this] { tick(); });
}

void FleetService::onJobsChanged() {
  if (JobsChanged_.exchange(true))
    return;
  Parts_.Strand_.post([this] { update(); });
}

void FleetService::update() {
  if (Stopped_)
    return;
  if (JobsChanged_) {
    refreshAssignments();
    // A newly assigned job needs its first renewal before any of its tasks may
    // run.
    report();
  }
  proposeAssignments();
}

/// Compares the term, as the lease may belong to a later term that was won
/// again since the last poll.
bool FleetService::holdsLeaseAt(TimePoint Now) const {
  return Leading_ && Parts_.Group_.findLeaseTerm(Now) == Term_;
}

void FleetService::proposeAssignments() {
  const TimePoint Now = Parts_.Time_.now();
  if (!holdsLeaseAt(Now))
    return;
  const std::vector<fleet::Command> Commands =
      Parts_.Machine_.read([&](const fleet::FleetState &State) {
        return Assigner_.decide(State.jobs(), Now, MaxAssignmentProposals);
      });
  for (const fleet::Command &Cmd : Commands) {
    Parts_.Counters_.Proposals_.add();
    Parts_.Group_.propose(fleet::encodeCommand(Cmd),
                          [](const Outcome<replication::Applied> &) {});
  }
}

void FleetService::refreshAssignments() {
  JobsChanged_ = false;
  Assignments_ = Parts_.Machine_.read([&](const fleet::FleetState &State) {
    std::vector<fleet::HeldAssignment> Result;
    const auto Held = State.jobs().held().find(DataCentre_);
    if (Held == State.jobs().held().end())
      return Result;
    for (const JobId &Job : Held->second)
      Result.push_back({Job, State.jobs().find(Job)->Assignment_});
    return Result;
  });
  Parts_.Lease_.retain(Assignments_);
}

void FleetService::report() {
  ReportQueued_ = ReportInFlight_;
  if (ReportInFlight_)
    return;
  const TimePoint Now = Parts_.Time_.now();
  AssignmentReport Report;
  Report.DataCentre_ = DataCentre_;
  Report.Due_ = Parts_.Lease_.listDue(Assignments_, Now, MaxDueRenewals);
  if (const std::optional<fleet::DataCentreLoad> Load = FindLoad_()) {
    Report.HasLoad_ = true;
    Report.Load_ = *Load;
  }
  Parts_.Counters_.Reports_.add();
  const replication::ReplicaStatus Status = Parts_.Group_.getStatus();
  if (Status.IsLeader_)
    return handleReply(answer(Report), Now);
  if (Status.LeaderName_.empty())
    return handleReply(fail(ErrorCode::Unavailable, "no leader"), Now);
  ReportInFlight_ = true;
  Parts_.Peers_.call(
      Status.LeaderName_, wire::MessageKind::AssignmentReport,
      fleet::encodeReport(Report), ReportTimeout,
      [this, Now](Outcome<std::string> Bytes) {
        Outcome<AssignmentReply> Reply =
            Bytes ? fleet::decodeReply(Bytes.value())
                  : Outcome<AssignmentReply>(std::move(Bytes).as_failure());
        Parts_.Strand_.post([this, Now, Reply = std::move(Reply)] {
          ReportInFlight_ = false;
          handleReply(Reply, Now);
          if (ReportQueued_ && !Stopped_)
            report();
        });
      });
}

void FleetService::handleReply(const Outcome<AssignmentReply> &Reply,
                               TimePoint SentAt) {
  if (!Reply) {
    Parts_.Counters_.ReportsFailed_.add();
    return;
  }
  Parts_.Lease_.recordRenewals(Reply.value(), SentAt);
  for (const fleet::HeldAssignment &Held : Reply.value().Renewed_)
    OnRenewed_(Held.Job_);
}

void FleetService::onReport(AssignmentReport Report, Done Reply) {
  Parts_.Strand_.post([this, Report = std::move(Report),
                       Reply = std::move(Reply)] { Reply(answer(Report)); });
}

Outcome<AssignmentReply> FleetService::answer(const AssignmentReport &Report) {
  const TimePoint Now = Parts_.Time_.now();
  if (!holdsLeaseAt(Now))
    return fail(ErrorCode::NotLeader, Parts_.Group_.getStatus().LeaderName_);
  return Parts_.Machine_.read([&](const fleet::FleetState &State) {
    return Assigner_.renew(Report, State.jobs(), Now);
  });
}
