//===- SlotWorld.cpp - Entries, leaders and a bad network -----------------===//

#include "datacentre/SlotWorld.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using std::chrono::milliseconds;

static constexpr Duration Step = milliseconds(5);
static constexpr Duration LeaderLease = milliseconds(60);
static constexpr double MostDrift = 0.1;

SlotWorld::SlotWorld(const SlotFaults &Faults, unsigned Seed)
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

DriftingClock SlotWorld::makeClock() {
  DriftingClock Clock;
  if (Faults_.Drift_)
    Clock.Rate_ = 1 + MostDrift * (pick(2) == 0 ? -1 : 1);
  return Clock;
}

std::shared_ptr<SlotWorld::Entry> SlotWorld::makeEntry(int Number) {
  auto Result = std::make_shared<Entry>();
  Result->Id_ = EntryId("e" + std::to_string(Number));
  Result->Incarnation_ = NextIncarnation_++;
  Result->Clock_ = makeClock();
  Result->Granted_.resize(Servers_.size());
  return Result;
}

void SlotWorld::elect() {
  auto Next = std::make_unique<Leader>();
  Next->Clock_ = makeClock();
  const std::uint64_t Term = Leaders_.size() + 1;
  // The first one starts with servers that nobody knew before.
  Next->Ledger_ = std::make_unique<SlotLedger>(
      Settings_, Term, Next->Clock_.at(Real_),
      Term == 1 ? std::vector<SlotServer>() : Servers_);
  for (const SlotServer &Each : Servers_)
    Next->Ledger_->upsertServer(Each);
  for (const auto &Each : Entries_)
    if (Faults_.LateReplies_ && pick(3) == 0)
      Each->StuckUntil_ = Real_ + milliseconds(pick(800));
  Changes_ += Term > 1;
  NextElection_ = Real_ + milliseconds(200 + pick(1500));
  Leaders_.push_back(std::move(Next));
}

void SlotWorld::send(std::function<void()> Deliver, bool FromLeader) {
  int Most = 10;
  int Copies = 1;
  if (Faults_.Disorder_) {
    Most = pick(4) == 0 ? 600 : 40;
    Copies = pick(10) == 0 ? 2 : pick(10) == 0 ? 0 : 1;
  }
  if (Faults_.LateReplies_ && FromLeader && pick(4) == 0)
    Most = 700;
  for (; Copies > 0; --Copies)
    Messages_.push_back({Real_ + milliseconds(pick(Most)), Deliver});
}

std::uint32_t SlotWorld::countSending(const Entry &Of,
                                      std::size_t Server) const {
  return std::count_if(
      Of.Sending_.begin(), Of.Sending_.end(),
      [&](const Sending &Each) { return Each.Server_ == Server; });
}

void SlotWorld::report(const std::shared_ptr<Entry> &From) {
  wire::EntryReport Report;
  Report.Entry_ = From->Id_;
  Report.Incarnation_ = From->Incarnation_;
  Report.RoutesHeld_ = From->Version_;
  Report.Stopping_ = From->Stopping_;
  for (std::size_t S = 0; S < Servers_.size(); ++S) {
    const SlotAmount &Has = From->Granted_[S];
    const std::uint32_t Sending = countSending(*From, S);
    if (Has.Slots_ + Sending > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_,
                                Has.Slots_, Has.Connections_, Sending});
  }
  if (From->Version_ != 0 && From->KnownVersion_ == From->Version_ &&
      !From->Stopping_)
    makeBrief(*From, Report);
  const bool Old = Real_ < From->StuckUntil_ && Leaders_.size() > 1;
  Leader &To = *Leaders_[Leaders_.size() - (Old ? 2 : 1)];
  const TimePoint SentAt = From->Clock_.at(Real_);
  send(
      [this, &To, Report, From, SentAt] { onReport(To, Report, From, SentAt); },
      false);
}

void SlotWorld::makeBrief(const Entry &From, wire::EntryReport &Report) {
  ++Brief_;
  Report.Brief_ = true;
  Report.Grants_.clear();
  for (const std::size_t S : From.Order_)
    wire::appendNumber(Report.InFlight_, countSending(From, S));
  for (std::size_t S = 0; S < Servers_.size(); ++S)
    if (std::count(From.Order_.begin(), From.Order_.end(), S) == 0 &&
        countSending(From, S) > 0)
      Report.Grants_.push_back({Servers_[S].Server_, Servers_[S].Boot_, 0, 0,
                                countSending(From, S)});
}

void SlotWorld::onReport(Leader &At, const wire::EntryReport &Report,
                         const std::shared_ptr<Entry> &From, TimePoint SentAt) {
  const LeaderMoment Moment{At.Clock_.at(Real_), Real_ < At.LeadsUntil_};
  const auto Reply = At.Ledger_->onReport(Report, Moment);
  if (!Reply)
    return;
  send([this, From, Held = Report.RoutesHeld_, Value = Reply.value(),
        SentAt] { onReply(*From, Value, Held, SentAt); },
       true);
}

void SlotWorld::onReply(Entry &To, const wire::EntryReportReply &Reply,
                        std::uint64_t HeldThen, TimePoint SentAt) {
  const TimePoint End = SentAt + milliseconds(Reply.GrantTtlMs_);
  To.KnownVersion_ = Reply.SendFull_ ? 0 : Reply.RoutesVersion_;
  if (To.Version_ != HeldThen || To.Clock_.at(Real_) >= End)
    return;
  if (!Reply.Routes_) {
    if (Reply.RoutesVersion_ == To.Version_ && To.Version_ != 0)
      To.GrantEnd_ = std::max(To.GrantEnd_, End);
    return;
  }
  if (Reply.RoutesVersion_ < To.Highest_)
    return;
  To.Version_ = Reply.RoutesVersion_;
  To.Highest_ = To.Version_;
  To.GrantEnd_ = End;
  To.Granted_.assign(Servers_.size(), {});
  To.Order_.clear();
  for (const wire::Route &Each : *Reply.Routes_)
    for (std::size_t S = 0; S < Servers_.size(); ++S)
      if (Servers_[S].Server_ == Each.Server_) {
        To.Granted_[S] = {Each.Slots_, Each.Connections_};
        To.Order_.push_back(S);
      }
}

void SlotWorld::stepEntry(std::size_t Number) {
  std::shared_ptr<Entry> &Each = Entries_[Number];
  std::erase_if(Each->Sending_,
                [&](const Sending &S) { return S.Until_ <= Real_; });
  if (Each->Clock_.at(Real_) >= Each->GrantEnd_) {
    Each->Version_ = 0;
    Each->Granted_.assign(Servers_.size(), {});
  }
  if (pick(8) == 0)
    report(Each);
  const std::size_t Server = pick(3);
  const std::uint32_t Slots = Each->Granted_[Server].Slots_;
  // Load comes and goes by entry.
  const bool Busy = (Real_ / milliseconds(900) + Number) % 3 != 0;
  while (Busy && !Each->Stopping_ && countSending(*Each, Server) < Slots) {
    const bool Longest = pick(3) == 0;
    const Duration Runs =
        Longest ? Settings_.MaxRequest_ : Duration(milliseconds(pick(100)));
    Each->Sending_.push_back(
        {Server, Real_ + scale(Runs, 1 / Each->Clock_.Rate_)});
    ++Sent_;
  }
  if (!Faults_.Deaths_)
    return;
  Each->Stopping_ |= pick(800) == 0;
  const bool Stopped = Each->Stopping_ && Each->Sending_.empty();
  if (!Stopped && pick(400) != 0)
    return;
  Orphans_.insert(Orphans_.end(), Each->Sending_.begin(), Each->Sending_.end());
  Each = makeEntry(static_cast<int>(Number));
}

/// A server says how many requests it runs.
void SlotWorld::measure() {
  const std::size_t S = pick(3);
  std::uint32_t Busy =
      std::count_if(Orphans_.begin(), Orphans_.end(), [&](const Sending &Each) {
        return Each.Server_ == S && Each.Until_ > Real_;
      });
  for (const auto &Each : Entries_)
    Busy += countSending(*Each, S);
  Leader &To = *Leaders_.back();
  send(
      [this, &To, S, Busy, At = To.Clock_.at(Real_)] {
        To.Ledger_->noteBusy(Servers_[S].Server_, Busy, At);
      },
      false);
}

std::string SlotWorld::check() {
  for (std::size_t S = 0; S < Servers_.size(); ++S) {
    SlotAmount Sum;
    std::uint32_t Granted = 0;
    for (const Sending &Each : Orphans_)
      Sum.Slots_ += Each.Server_ == S && Each.Until_ > Real_;
    Sum.Connections_ = Sum.Slots_;
    for (const auto &Each : Entries_) {
      const std::uint32_t Sending = countSending(*Each, S);
      const SlotAmount &Has = Each->Granted_[S];
      Sum.Slots_ += std::max(Sending, Each->Stopping_ ? 0 : Has.Slots_);
      Sum.Connections_ +=
          std::max(Sending, Each->Stopping_ ? 0 : Has.Connections_);
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

std::string SlotWorld::run(Duration Length) {
  while (Real_ < Length) {
    Real_ += Step;
    Leader &Now = *Leaders_.back();
    if (!Faults_.LeaderChanges_ || Real_ <= NextElection_)
      Now.LeadsUntil_ = Real_ + LeaderLease;
    else if (Real_ >= Now.LeadsUntil_ && pick(4) == 0)
      elect();
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      stepEntry(I);
    if (pick(20) == 0)
      measure();
    std::vector<Message> Due;
    std::erase_if(Messages_, [&](const Message &Each) {
      const bool IsDue = Each.Due_ <= Real_;
      if (IsDue)
        Due.push_back(Each);
      return IsDue;
    });
    for (const Message &Each : Due)
      Each.Deliver_();
    const std::string Broken = check();
    if (!Broken.empty())
      return Broken + " at " +
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(Real_).count()) +
             " ms";
  }
  return "";
}
