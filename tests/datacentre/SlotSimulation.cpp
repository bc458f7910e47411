//===- SlotSimulation.cpp - Simulates slot grants under faults ------------===//

#include "datacentre/SlotSimulation.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static constexpr Duration Step = milliseconds(5);
static constexpr Duration LeaderLease = milliseconds(60);
static constexpr double MaxDrift = 0.1;

SlotSimulation::SlotSimulation(const SlotFaults &Faults, unsigned Seed)
    : Faults_(Faults), Random_(Seed) {
  Settings_ = {milliseconds(300), milliseconds(400), 100'000, milliseconds(200),
               &shareByDemand};
  for (int I = 0; I < 3; ++I)
    Servers_.push_back({BackendServerId("s" + std::to_string(I)),
                        BootId("b"),
                        "a",
                        {ServiceId("v" + std::to_string(I / 2))},
                        static_cast<std::uint32_t>(4 + 2 * I),
                        static_cast<std::uint32_t>(4 + 5 * I)});
  for (int I = 0; I < 4; ++I)
    Entries_.push_back(makeEntry(I));
  elect();
}

DriftingClock SlotSimulation::makeClock() {
  DriftingClock Clock;
  if (Faults_.Drift_)
    Clock.Rate_ = 1 + MaxDrift * (pick(2) == 0 ? -1 : 1);
  return Clock;
}

std::shared_ptr<SlotSimulation::Entry> SlotSimulation::makeEntry(int Number) {
  auto Result = std::make_shared<Entry>();
  Result->Id_ = EntryId("e" + std::to_string(Number));
  Result->Incarnation_ = NextIncarnation_++;
  Result->Clock_ = makeClock();
  Result->Granted_.resize(Servers_.size());
  return Result;
}

void SlotSimulation::elect() {
  auto Next = std::make_unique<Leader>();
  Next->Clock_ = makeClock();
  const std::uint64_t Term = Leaders_.size() + 1;
  // No earlier leader shared the servers of the first leader.
  Next->Allocator_ = std::make_unique<SlotAllocator>(
      Settings_, Term, Next->Clock_.at(RealTime_),
      Term == 1 ? std::vector<SlotServer>() : Servers_);
  for (const SlotServer &Info : Servers_)
    Next->Allocator_->upsertServer(Info);
  for (const auto &Process : Entries_)
    if (Faults_.LateReplies_ && pick(3) == 0)
      Process->OldLeaderUntil_ = RealTime_ + milliseconds(pick(800));
  Changes_ += Term > 1;
  NextElection_ = RealTime_ + milliseconds(200 + pick(1500));
  Leaders_.push_back(std::move(Next));
}

void SlotSimulation::send(std::function<void()> Deliver, bool FromLeader) {
  int MaxDelay = 10;
  int Copies = 1;
  if (Faults_.Disorder_) {
    MaxDelay = pick(4) == 0 ? 600 : 40;
    Copies = pick(10) == 0 ? 2 : pick(10) == 0 ? 0 : 1;
  }
  if (Faults_.LateReplies_ && FromLeader && pick(4) == 0)
    MaxDelay = 700;
  for (; Copies > 0; --Copies)
    Messages_.push_back({RealTime_ + milliseconds(pick(MaxDelay)), Deliver});
}

std::uint32_t SlotSimulation::countActiveRequests(const Entry &Process,
                                                  std::size_t Server) const {
  return std::count_if(
      Process.ActiveRequests_.begin(), Process.ActiveRequests_.end(),
      [&](const ActiveRequest &Request) { return Request.Server_ == Server; });
}

void SlotSimulation::report(const std::shared_ptr<Entry> &Process) {
  wire::EntryReport Report;
  Report.Entry_ = Process->Id_;
  Report.Incarnation_ = Process->Incarnation_;
  Report.RoutesHeld_ = Process->Version_;
  Report.Stopping_ = Process->Stopping_;
  for (std::size_t S = 0; S < Servers_.size(); ++S) {
    const SlotAmount &Grant = Process->Granted_[S];
    const std::uint32_t ActiveCount = countActiveRequests(*Process, S);
    if (Grant.Slots_ + ActiveCount > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_,
                                Grant.Slots_, Grant.Connections_, ActiveCount});
  }
  if (Process->Version_ != 0 && Process->KnownVersion_ == Process->Version_ &&
      !Process->Stopping_)
    makeBriefReport(*Process, Report);
  const bool Old = RealTime_ < Process->OldLeaderUntil_ && Leaders_.size() > 1;
  Leader &Recipient = *Leaders_[Leaders_.size() - (Old ? 2 : 1)];
  const TimePoint SentAt = Process->Clock_.at(RealTime_);
  send([this, &Recipient, Report, Process,
        SentAt] { onReport(Recipient, Report, Process, SentAt); },
       false);
}

void SlotSimulation::makeBriefReport(const Entry &Process,
                                     wire::EntryReport &Report) {
  ++BriefReports_;
  Report.Brief_ = true;
  Report.Grants_.clear();
  for (const std::size_t S : Process.Order_)
    wire::appendNumber(Report.InFlight_, countActiveRequests(Process, S));
  for (std::size_t S = 0; S < Servers_.size(); ++S)
    if (std::count(Process.Order_.begin(), Process.Order_.end(), S) == 0 &&
        countActiveRequests(Process, S) > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_, 0, 0,
                                countActiveRequests(Process, S)});
}

void SlotSimulation::onReport(Leader &Receiver, const wire::EntryReport &Report,
                              const std::shared_ptr<Entry> &Process,
                              TimePoint SentAt) {
  const LeadershipCheck Check{Receiver.Clock_.at(RealTime_),
                              RealTime_ < Receiver.LeadsUntil_};
  const auto Reply = Receiver.Allocator_->onReport(Report, Check);
  if (!Reply)
    return;
  send([this, Process, VersionAtSend = Report.RoutesHeld_,
        Value = Reply.value(),
        SentAt] { onReply(*Process, Value, VersionAtSend, SentAt); },
       true);
}

void SlotSimulation::onReply(Entry &Process,
                             const wire::EntryReportReply &Reply,
                             std::uint64_t VersionAtSend, TimePoint SentAt) {
  const TimePoint End = SentAt + milliseconds(Reply.GrantTtlMs_);
  Process.KnownVersion_ = Reply.SendFull_ ? 0 : Reply.RoutesVersion_;
  if (Process.Version_ != VersionAtSend || Process.Clock_.at(RealTime_) >= End)
    return;
  if (!Reply.Routes_) {
    if (Reply.RoutesVersion_ == Process.Version_ && Process.Version_ != 0)
      Process.GrantEnd_ = std::max(Process.GrantEnd_, End);
    return;
  }
  if (Reply.RoutesVersion_ < Process.HighestVersion_)
    return;
  Process.Version_ = Reply.RoutesVersion_;
  Process.HighestVersion_ = Process.Version_;
  Process.GrantEnd_ = End;
  Process.Granted_.assign(Servers_.size(), {});
  Process.Order_.clear();
  for (const wire::Route &Route : *Reply.Routes_)
    for (std::size_t S = 0; S < Servers_.size(); ++S)
      if (Servers_[S].Server_ == Route.Server_) {
        Process.Granted_[S] = {Route.Slots_, Route.Connections_};
        Process.Order_.push_back(S);
      }
}

void SlotSimulation::stepEntry(std::size_t Number) {
  std::shared_ptr<Entry> &Process = Entries_[Number];
  std::erase_if(Process->ActiveRequests_,
                [&](const ActiveRequest &S) { return S.Until_ <= RealTime_; });
  if (Process->Clock_.at(RealTime_) >= Process->GrantEnd_) {
    Process->Version_ = 0;
    Process->Granted_.assign(Servers_.size(), {});
  }
  if (pick(8) == 0)
    report(Process);
  const std::size_t Server = pick(3);
  const std::uint32_t Slots = Process->Granted_[Server].Slots_;
  // Each entry alternates between load and idle time.
  const bool Busy = (RealTime_ / milliseconds(900) + Number) % 3 != 0;
  while (Busy && !Process->Stopping_ &&
         countActiveRequests(*Process, Server) < Slots) {
    const bool Longest = pick(3) == 0;
    const Duration Runs =
        Longest ? Settings_.MaxRequest_ : Duration(milliseconds(pick(100)));
    Process->ActiveRequests_.push_back(
        {Server, RealTime_ + scale(Runs, 1 / Process->Clock_.Rate_)});
    ++Sent_;
  }
  if (!Faults_.Deaths_)
    return;
  Process->Stopping_ |= pick(800) == 0;
  const bool Stopped = Process->Stopping_ && Process->ActiveRequests_.empty();
  if (!Stopped && pick(400) != 0)
    return;
  Orphans_.insert(Orphans_.end(), Process->ActiveRequests_.begin(),
                  Process->ActiveRequests_.end());
  Process = makeEntry(static_cast<int>(Number));
}

/// Sends the number of requests that one server runs to the leader.
void SlotSimulation::sendUsageSample() {
  const std::size_t S = pick(3);
  std::uint32_t Busy = std::count_if(
      Orphans_.begin(), Orphans_.end(), [&](const ActiveRequest &Request) {
        return Request.Server_ == S && Request.Until_ > RealTime_;
      });
  for (const auto &Process : Entries_)
    Busy += countActiveRequests(*Process, S);
  Leader &Recipient = *Leaders_.back();
  send(
      [this, &Recipient, S, Busy, At = Recipient.Clock_.at(RealTime_)] {
        Recipient.Allocator_->applyUsageSample(Servers_[S].Server_, Busy, At);
      },
      false);
}

std::string SlotSimulation::check() {
  for (std::size_t S = 0; S < Servers_.size(); ++S) {
    SlotAmount Sum;
    std::uint32_t Granted = 0;
    for (const ActiveRequest &Request : Orphans_)
      Sum.Slots_ += Request.Server_ == S && Request.Until_ > RealTime_;
    Sum.Connections_ = Sum.Slots_;
    for (const auto &Process : Entries_) {
      const std::uint32_t ActiveCount = countActiveRequests(*Process, S);
      const SlotAmount &Grant = Process->Granted_[S];
      Sum.Slots_ +=
          std::max(ActiveCount, Process->Stopping_ ? 0 : Grant.Slots_);
      Sum.Connections_ +=
          std::max(ActiveCount, Process->Stopping_ ? 0 : Grant.Connections_);
      Granted += Grant.Slots_;
    }
    if (Sum.Slots_ > Servers_[S].Slots_ ||
        Sum.Connections_ > Servers_[S].Connections_)
      return Servers_[S].Server_.value() + ": " + std::to_string(Sum.Slots_) +
             " slots and " + std::to_string(Sum.Connections_) +
             " connections are granted or in use";
    FullSteps_ += Granted == Servers_[S].Slots_;
  }
  return "";
}

std::string SlotSimulation::run(Duration Length) {
  while (RealTime_ < Length) {
    RealTime_ += Step;
    Leader &Current = *Leaders_.back();
    if (!Faults_.LeaderChanges_ || RealTime_ <= NextElection_)
      Current.LeadsUntil_ = RealTime_ + LeaderLease;
    else if (RealTime_ >= Current.LeadsUntil_ && pick(4) == 0)
      elect();
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      stepEntry(I);
    if (pick(20) == 0)
      sendUsageSample();
    std::vector<Message> Due;
    std::erase_if(Messages_, [&](const Message &Pending) {
      const bool IsDue = Pending.Due_ <= RealTime_;
      if (IsDue)
        Due.push_back(Pending);
      return IsDue;
    });
    for (const Message &Arrived : Due)
      Arrived.Deliver_();
    const std::string Violation = check();
    if (!Violation.empty())
      return Violation + " at " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(RealTime_).count()) +
             " ms";
  }
  return "";
}
