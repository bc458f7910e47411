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
  // The first one starts with servers that nobody knew before.
  Next->Allocator_ = std::make_unique<SlotAllocator>(
      Settings_, Term, Next->Clock_.at(RealTime_),
      Term == 1 ? std::vector<SlotServer>() : Servers_);
  for (const SlotServer &Info : Servers_)
    Next->Allocator_->upsertServer(Info);
  for (const auto &Each : Entries_)
    if (Faults_.LateReplies_ && pick(3) == 0)
      Each->OldLeaderUntil_ = RealTime_ + milliseconds(pick(800));
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

std::uint32_t SlotSimulation::countActiveRequests(const Entry &Of,
                                                  std::size_t Server) const {
  return std::count_if(
      Of.ActiveRequests_.begin(), Of.ActiveRequests_.end(),
      [&](const ActiveRequest &Request) { return Request.Server_ == Server; });
}

void SlotSimulation::report(const std::shared_ptr<Entry> &From) {
  wire::EntryReport Report;
  Report.Entry_ = From->Id_;
  Report.Incarnation_ = From->Incarnation_;
  Report.RoutesHeld_ = From->Version_;
  Report.Stopping_ = From->Stopping_;
  for (std::size_t S = 0; S < Servers_.size(); ++S) {
    const SlotAmount &Has = From->Granted_[S];
    const std::uint32_t ActiveCount = countActiveRequests(*From, S);
    if (Has.Slots_ + ActiveCount > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_,
                                Has.Slots_, Has.Connections_, ActiveCount});
  }
  if (From->Version_ != 0 && From->KnownVersion_ == From->Version_ &&
      !From->Stopping_)
    makeBriefReport(*From, Report);
  const bool Old = RealTime_ < From->OldLeaderUntil_ && Leaders_.size() > 1;
  Leader &Recipient = *Leaders_[Leaders_.size() - (Old ? 2 : 1)];
  const TimePoint SentAt = From->Clock_.at(RealTime_);
  send([this, &Recipient, Report, From,
        SentAt] { onReport(Recipient, Report, From, SentAt); },
       false);
}

void SlotSimulation::makeBriefReport(const Entry &From,
                                     wire::EntryReport &Report) {
  ++Brief_;
  Report.Brief_ = true;
  Report.Grants_.clear();
  for (const std::size_t S : From.Order_)
    wire::appendNumber(Report.InFlight_, countActiveRequests(From, S));
  for (std::size_t S = 0; S < Servers_.size(); ++S)
    if (std::count(From.Order_.begin(), From.Order_.end(), S) == 0 &&
        countActiveRequests(From, S) > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_, 0, 0,
                                countActiveRequests(From, S)});
}

void SlotSimulation::onReport(Leader &Receiver, const wire::EntryReport &Report,
                              const std::shared_ptr<Entry> &From,
                              TimePoint SentAt) {
  const LeadershipCheck Check{Receiver.Clock_.at(RealTime_),
                              RealTime_ < Receiver.LeadsUntil_};
  const auto Reply = Receiver.Allocator_->onReport(Report, Check);
  if (!Reply)
    return;
  send([this, From, Held = Report.RoutesHeld_, Value = Reply.value(),
        SentAt] { onReply(*From, Value, Held, SentAt); },
       true);
}

void SlotSimulation::onReply(Entry &To, const wire::EntryReportReply &Reply,
                             std::uint64_t VersionAtSend, TimePoint SentAt) {
  const TimePoint End = SentAt + milliseconds(Reply.GrantTtlMs_);
  To.KnownVersion_ = Reply.SendFull_ ? 0 : Reply.RoutesVersion_;
  if (To.Version_ != VersionAtSend || To.Clock_.at(RealTime_) >= End)
    return;
  if (!Reply.Routes_) {
    if (Reply.RoutesVersion_ == To.Version_ && To.Version_ != 0)
      To.GrantEnd_ = std::max(To.GrantEnd_, End);
    return;
  }
  if (Reply.RoutesVersion_ < To.HighestVersion_)
    return;
  To.Version_ = Reply.RoutesVersion_;
  To.HighestVersion_ = To.Version_;
  To.GrantEnd_ = End;
  To.Granted_.assign(Servers_.size(), {});
  To.Order_.clear();
  for (const wire::Route &Route : *Reply.Routes_)
    for (std::size_t S = 0; S < Servers_.size(); ++S)
      if (Servers_[S].Server_ == Route.Server_) {
        To.Granted_[S] = {Route.Slots_, Route.Connections_};
        To.Order_.push_back(S);
      }
}

void SlotSimulation::stepEntry(std::size_t Number) {
  std::shared_ptr<Entry> &Each = Entries_[Number];
  std::erase_if(Each->ActiveRequests_,
                [&](const ActiveRequest &S) { return S.Until_ <= RealTime_; });
  if (Each->Clock_.at(RealTime_) >= Each->GrantEnd_) {
    Each->Version_ = 0;
    Each->Granted_.assign(Servers_.size(), {});
  }
  if (pick(8) == 0)
    report(Each);
  const std::size_t Server = pick(3);
  const std::uint32_t Slots = Each->Granted_[Server].Slots_;
  // Load comes and goes by entry.
  const bool Busy = (RealTime_ / milliseconds(900) + Number) % 3 != 0;
  while (Busy && !Each->Stopping_ &&
         countActiveRequests(*Each, Server) < Slots) {
    const bool Longest = pick(3) == 0;
    const Duration Runs =
        Longest ? Settings_.MaxRequest_ : Duration(milliseconds(pick(100)));
    Each->ActiveRequests_.push_back(
        {Server, RealTime_ + scale(Runs, 1 / Each->Clock_.Rate_)});
    ++Sent_;
  }
  if (!Faults_.Deaths_)
    return;
  Each->Stopping_ |= pick(800) == 0;
  const bool Stopped = Each->Stopping_ && Each->ActiveRequests_.empty();
  if (!Stopped && pick(400) != 0)
    return;
  Orphans_.insert(Orphans_.end(), Each->ActiveRequests_.begin(),
                  Each->ActiveRequests_.end());
  Each = makeEntry(static_cast<int>(Number));
}

/// A server says how many requests it runs.
void SlotSimulation::sendUsageSample() {
  const std::size_t S = pick(3);
  std::uint32_t Busy = std::count_if(
      Orphans_.begin(), Orphans_.end(), [&](const ActiveRequest &Request) {
        return Request.Server_ == S && Request.Until_ > RealTime_;
      });
  for (const auto &Each : Entries_)
    Busy += countActiveRequests(*Each, S);
  Leader &To = *Leaders_.back();
  send(
      [this, &To, S, Busy, At = To.Clock_.at(RealTime_)] {
        To.Allocator_->applyUsageSample(Servers_[S].Server_, Busy, At);
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
    for (const auto &Each : Entries_) {
      const std::uint32_t ActiveCount = countActiveRequests(*Each, S);
      const SlotAmount &Has = Each->Granted_[S];
      Sum.Slots_ += std::max(ActiveCount, Each->Stopping_ ? 0 : Has.Slots_);
      Sum.Connections_ +=
          std::max(ActiveCount, Each->Stopping_ ? 0 : Has.Connections_);
      Granted += Has.Slots_;
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
