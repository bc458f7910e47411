//===- AssignmentScheduleTest.cpp -----------------------------------------===//
//
// Runs seeded schedules over three data centres with two control processes each
// and checks that no job is ever held by two data centres. The schedules
// contain clock drift, partitions, messages delayed by more than a lease,
// leader changes and leaders that freeze between their leadership check and
// their answer.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/fleet/AssignmentLease.h"
#include "tulipweir/fleet/FleetState.h"
#include "tulipweir/fleet/JobAssigner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace tulipweir;
using namespace tulipweir::fleet;

using std::chrono::seconds;

static constexpr std::size_t DataCentres = 3;
/// Control process N is in data centre N % 3.
static constexpr std::size_t Controls = 6;
static constexpr std::size_t Jobs = 4;
static constexpr Duration Ttl = seconds(1000);
static constexpr std::size_t Budget = 8;
static constexpr std::uint64_t Seeds = 60;

static DataCentreId nameDataCentre(std::size_t Control) {
  return DataCentreId("dc" + std::to_string(Control % DataCentres));
}

static JobId nameJob(std::size_t Number) {
  return JobId("job" + std::to_string(Number));
}

namespace {

/// A control process with its own clock and replica of the fleet's state.
struct Control {
  double Rate_ = 1;
  Duration Offset_{};
  std::size_t KnownLeader_ = 0; ///< The latest leader it knows of.
  std::size_t Applied_ = 0;
  FleetState State_;
  std::unique_ptr<JobAssigner> Assigner_;
  std::unique_ptr<AssignmentLease> Lease_;
};

class Schedule {
public:
  explicit Schedule(std::uint64_t Seed);
  void run();
  std::size_t countAssignments() const;
  std::size_t getHeldChecks() const { return HeldChecks_; }
  const std::string &getViolation() const { return Violation_; }

private:
  TimePoint readClock(const Control &Owner) const {
    const double Local = static_cast<double>(Now_.count()) * Owner.Rate_;
    return TimePoint(Owner.Offset_ +
                     Duration(static_cast<std::int64_t>(Local)));
  }
  bool happens(unsigned Percent) { return Random_() % 100 < Percent; }
  bool arePartitioned(std::size_t A, std::size_t B) const {
    return A % DataCentres != B % DataCentres &&
           (Partitioned_[A % DataCentres] || Partitioned_[B % DataCentres]);
  }
  /// Most delays are short; some span an election, few span a lease.
  Duration makeDelay() {
    const Duration LongDelay = happens(20) ? Ttl * 2 : Ttl / 4;
    const Duration MaxDelay = happens(10) ? LongDelay : Ttl / 1000;
    return Duration(static_cast<std::int64_t>(Random_() % MaxDelay.count()));
  }
  void schedule(Duration Delay, std::function<void()> Event) {
    Events_.emplace(Now_ + Delay, std::move(Event));
  }

  void commit(const Command &Request);
  void applyAll(Control &To);
  void changeLeader();
  void replicate(Control &To, std::size_t Number);
  void sendReport(std::size_t From);
  void receiveReport(std::size_t From, std::size_t To,
                     const AssignmentReport &Report, TimePoint SentAt);
  void decide();
  void releaseFirstHeldJob();
  void check();
  bool isHeldBy(std::size_t DataCentre, const JobId &Job) const;

  std::mt19937_64 Random_;
  Duration Now_{};
  std::multimap<Duration, std::function<void()>> Events_;
  std::vector<Control> Controls_;
  std::vector<Command> Log_;
  FleetState CommittedState_;
  std::size_t Leader_ = 0;
  std::uint64_t Term_ = 0;
  bool Partitioned_[DataCentres] = {};
  std::vector<Command> InFlight_; ///< Proposed by the leader of this term.
  /// All assignments ever made, with the number of their data centre.
  std::vector<std::pair<std::size_t, HeldAssignment>> Assignments_;
  /// Assignments that their data centre has released itself.
  std::set<HeldAssignment> Released_;
  std::size_t HeldChecks_ = 0;
  std::string Violation_;
};

} // namespace

Schedule::Schedule(std::uint64_t Seed) : Random_(Seed), Controls_(Controls) {
  const auto Times = AssignmentTimes::makeFor(Ttl);
  for (Control &Process : Controls_) {
    Process.Rate_ = Random_() % 2 ? 0.99 : 1.01;
    Process.Offset_ = seconds(Random_() % 1'000'000);
    Process.Assigner_ = std::make_unique<JobAssigner>(Times);
    Process.Lease_ = std::make_unique<AssignmentLease>(Times);
  }
  for (std::size_t I = 0; I < Jobs; ++I)
    commit(SubmitJob{nameJob(I), TeamId("t"), "s",
                     I == 0 ? nameDataCentre(0) : DataCentreId(), 0});
  changeLeader();
}

void Schedule::commit(const Command &Request) {
  const CommandResult Result = CommittedState_.apply(Request);
  Log_.push_back(Request);
  Control &Leader = Controls_[Leader_];
  if (Leader.Applied_ + 1 == Log_.size())
    applyAll(Leader);
  const auto *Assign = std::get_if<AssignJob>(&Request);
  if (!Assign || !Result.Error_.empty())
    return;
  const std::size_t Chosen = Assign->DataCentre_.value().back() - '0';
  Assignments_.push_back({Chosen, {Assign->Job_, Result.Assignment_}});
}

void Schedule::applyAll(Control &To) {
  while (To.Applied_ < Log_.size())
    To.State_.apply(Log_[To.Applied_++]);
}

/// Commits a random prefix of the old leader's proposals; the new leader starts
/// once it has applied them. The old leader does not notice the change.
void Schedule::changeLeader() {
  const std::size_t CommittedCount =
      InFlight_.empty() ? 0 : Random_() % (InFlight_.size() + 1);
  for (std::size_t I = 0; I < CommittedCount; ++I)
    commit(InFlight_[I]);
  InFlight_.clear();
  ++Term_;
  Leader_ = Random_() % Controls;
  Control &NewLeader = Controls_[Leader_];
  applyAll(NewLeader);
  NewLeader.Assigner_->startLeading(readClock(NewLeader));
}

void Schedule::replicate(Control &To, std::size_t Number) {
  if (arePartitioned(Number, Leader_) || happens(50))
    return;
  To.KnownLeader_ = Leader_;
  applyAll(To);
}

void Schedule::sendReport(std::size_t From) {
  Control &Sender = Controls_[From];
  const DataCentreId DataCentre = nameDataCentre(From);
  std::vector<HeldAssignment> Current;
  if (const auto Held = Sender.State_.jobs().held().find(DataCentre);
      Held != Sender.State_.jobs().held().end())
    for (const JobId &Job : Held->second)
      Current.push_back({Job, Sender.State_.jobs().find(Job)->Assignment_});
  const TimePoint SentAt = readClock(Sender);
  AssignmentReport Report{DataCentre, true, {0.5, 0, 8}, {}};
  Report.Due_ = Sender.Lease_->listDue(Current, SentAt, Jobs);
  if (arePartitioned(From, Sender.KnownLeader_))
    return;
  schedule(makeDelay(), [this, From, To = Sender.KnownLeader_, Report, SentAt] {
    receiveReport(From, To, Report, SentAt);
  });
}

void Schedule::receiveReport(std::size_t From, std::size_t To,
                             const AssignmentReport &Report, TimePoint SentAt) {
  // Stands for Replica::holdsLeaderLease. A process that is frozen right after
  // that check continues much later with the state it had then.
  if (To != Leader_ || arePartitioned(From, To))
    return;
  const Duration FreezeTime = happens(5) ? Ttl * 2 : Duration::zero();
  schedule(FreezeTime, [this, From, To, Report, SentAt] {
    Control &Answering = Controls_[To];
    const auto Reply = Answering.Assigner_->renew(
        Report, Answering.State_.jobs(), readClock(Answering));
    schedule(makeDelay(), [this, From, Reply, SentAt] {
      Controls_[From].Lease_->recordRenewals(Reply, SentAt);
    });
  });
}

void Schedule::decide() {
  Control &Leader = Controls_[Leader_];
  for (const Command &Request : Leader.Assigner_->decide(
           Leader.State_.jobs(), readClock(Leader), Budget)) {
    InFlight_.push_back(Request);
    // The worst case is a data centre that reconnects while the release of its
    // jobs is being committed.
    if (std::holds_alternative<ReleaseJob>(Request) && happens(30))
      std::ranges::fill(Partitioned_, false);
    schedule(makeDelay(), [this, Request, Term = Term_] {
      if (Term != Term_)
        return;
      std::erase(InFlight_, Request);
      commit(Request);
    });
  }
}

/// A data centre stops a job and releases it without being asked to.
void Schedule::releaseFirstHeldJob() {
  for (const auto &[DataCentre, Held] : CommittedState_.jobs().held()) {
    const JobId Job = *Held.begin();
    const std::uint64_t Assignment =
        CommittedState_.jobs().find(Job)->Assignment_;
    Released_.insert({Job, Assignment});
    return commit(ReleaseJob{Job, Assignment, false, ""});
  }
}

bool Schedule::isHeldBy(std::size_t DataCentre, const JobId &Job) const {
  for (const auto &[Chosen, Held] : Assignments_) {
    if (Chosen != DataCentre || Held.Job_ != Job || Released_.contains(Held))
      continue;
    for (std::size_t I = DataCentre; I < Controls; I += DataCentres)
      if (Controls_[I].Lease_->covers(Held, readClock(Controls_[I])))
        return true;
  }
  return false;
}

void Schedule::check() {
  for (std::size_t Job = 0; Job < Jobs; ++Job) {
    std::size_t Holders = 0;
    for (std::size_t I = 0; I < DataCentres; ++I)
      Holders += isHeldBy(I, nameJob(Job)) ? 1 : 0;
    HeldChecks_ += Holders;
    if (Holders > 1)
      Violation_ = nameJob(Job).value() + " is held by " +
                   std::to_string(Holders) + " data centres at " +
                   std::to_string(Now_.count());
  }
}

void Schedule::run() {
  for (int Step = 0; Step < 4000 && Violation_.empty(); ++Step) {
    const Duration Pause(
        static_cast<std::int64_t>(Random_() % (Ttl / 200).count()));
    const Duration Until = Now_ + Pause;
    while (!Events_.empty() && Events_.begin()->first <= Until) {
      Now_ = std::max(Now_, Events_.begin()->first);
      const auto Event = Events_.extract(Events_.begin());
      Event.mapped()();
    }
    Now_ = Until;
    for (std::size_t I = 0; I < Controls; ++I) {
      replicate(Controls_[I], I);
      sendReport(I);
    }
    decide();
    if (Random_() % 200 == 0)
      Partitioned_[Random_() % DataCentres] ^= true;
    if (Random_() % 700 == 0)
      changeLeader();
    if (Random_() % 300 == 0)
      releaseFirstHeldJob();
    check();
  }
}

std::size_t Schedule::countAssignments() const { return Assignments_.size(); }

TEST(AssignmentScheduleTest, NoJobIsEverHeldByTwoDataCentres) {
  std::size_t AssignmentCount = 0;
  std::size_t HeldChecks = 0;
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    Schedule Simulation(Seed);
    Simulation.run();
    ASSERT_EQ(Simulation.getViolation(), "") << "seed " << Seed;
    AssignmentCount += Simulation.countAssignments();
    HeldChecks += Simulation.getHeldChecks();
  }
  EXPECT_GT(AssignmentCount, Seeds * Jobs) << "too few assignments were made";
  EXPECT_GT(HeldChecks, 100'000U) << "too few held jobs were checked";
  RecordProperty("moves", static_cast<int>(AssignmentCount));
}
