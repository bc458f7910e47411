//===- SlotLedger.cpp - Shares of servers' slots, granted to entries ------===//

#include "tulipweir/datacentre/SlotLedger.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>
#include <cmath>
#include <set>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Weight of the newest report in the smoothed demand.
static constexpr double DemandStep = 0.3;
/// Shares stay while no demand moved by more than this many requests and this
/// part of itself: a new table costs more than it brings.
static constexpr double DemandSlack = 2;
static constexpr double DemandSlackPart = 0.25;
/// From this part of its share on an entry counts as wanting more: so many
/// times what it uses.
static constexpr double FullPart = 0.8;
static constexpr double FullFactor = 1.5;
static constexpr int TermShift = 32;

static SlotAmount capacityOf(const SlotServer &Server) {
  return {Server.Slots_, Server.Connections_};
}

/// Each request needs a slot and a connection.
static std::uint32_t usableSlots(const SlotAmount &Room) {
  return std::min(Room.Slots_, Room.Connections_);
}

/// Above all versions of earlier terms, and of earlier ledgers of this term in
/// this process: they made less than one a millisecond.
static std::uint64_t findFirstVersion(std::uint64_t Term, TimePoint ElectedAt) {
  const auto Passed = std::chrono::duration_cast<std::chrono::milliseconds>(
      ElectedAt.time_since_epoch());
  const auto Part = static_cast<std::uint64_t>(Passed.count());
  return (Term << TermShift) + Part % (1ULL << (TermShift - 1)) + 1;
}

SlotLedger::SlotLedger(const SlotSettings &Settings, std::uint64_t Term,
                       TimePoint ElectedAt,
                       const std::vector<SlotServer> &Known)
    : Settings_(Settings),
      SettledAt_(ElectedAt +
                 stretchForDrift(Settings.GrantTtl_, Settings.DriftPpm_)),
      EarlierEnd_(ElectedAt +
                  stretchForDrift(Settings.GrantTtl_ + Settings.MaxRequest_,
                                  Settings.DriftPpm_)),
      NextVersion_(findFirstVersion(Term, ElectedAt)),
      FirstVersion_(NextVersion_), RebalancedAt_(ElectedAt) {
  for (const SlotServer &Each : Known) {
    upsertServer(Each);
    Servers_.at(Positions_.at(Each.Server_)).Earlier_ = capacityOf(Each);
  }
}

void SlotLedger::upsertServer(const SlotServer &Info) {
  const auto [At, Fresh] =
      Positions_.try_emplace(Info.Server_, Servers_.size());
  if (Fresh)
    Servers_.emplace_back();
  Server &Changed = Servers_[At->second];
  const bool Same = !Fresh && !Changed.Removed_ &&
                    Changed.Info_.Services_ == Info.Services_ &&
                    capacityOf(Changed.Info_) == capacityOf(Info);
  Changed.Info_ = Info;
  Changed.Removed_ = false;
  if (Same)
    return;
  Changed.Group_ =
      Groups_.try_emplace(Info.Services_, Groups_.size()).first->second;
  MustRebalance_ = true;
}

void SlotLedger::removeServer(const BackendServerId &Id) {
  const auto Found = Positions_.find(Id);
  if (Found == Positions_.end())
    return;
  // Its position stays: what was granted of it is still accounted for, and the
  // shares of the others do not move.
  Servers_[Found->second].Removed_ = true;
}

void SlotLedger::setHeld(Share &Of, Server &At, const SlotAmount &Amount) {
  At.Sum_ = At.Sum_.minusOrZero(Of.Held_).plus(Amount);
  Of.Held_ = Amount;
}

Outcome<wire::EntryReportReply>
SlotLedger::onReport(const wire::EntryReport &Report,
                     const LeaderMoment &Moment) {
  if (!Moment.Leads_)
    return fail(ErrorCode::NotLeader, "");
  const TimePoint Now = Moment.Now_;
  expire(Now);
  if (Report.Brief_ && !isLatest(Report)) {
    wire::EntryReportReply Whole;
    Whole.SendFull_ = true;
    return Whole;
  }
  const auto [At, Fresh] =
      Holders_.try_emplace({Report.Entry_, Report.Incarnation_});
  Holder &From = At->second;
  From.Address_ = Report.Address_;
  From.Bundle_ = Report.Held_;
  // Sticky: an earlier report may arrive after it.
  From.Stopping_ |= Report.Stopping_;
  takeShown(From, Report);
  settle(From, Report.RoutesHeld_);
  learnDemand(From);
  From.GrantEnd_ =
      std::max(From.GrantEnd_,
               Now + stretchForDrift(Settings_.GrantTtl_, Settings_.DriftPpm_));
  From.ReleaseAt_ =
      std::max(From.ReleaseAt_, Now + stretchForDrift(Settings_.GrantTtl_ +
                                                          Settings_.MaxRequest_,
                                                      Settings_.DriftPpm_));
  rebalance(Now);

  wire::EntryReportReply Reply;
  Reply.GrantTtlMs_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings_.GrantTtl_)
          .count());
  const bool Changed = offerTable(From, Now);
  if (Changed || Report.RoutesHeld_ != From.Version_) {
    const bool OfEarlier =
        Report.RoutesHeld_ < FirstVersion_ && Now < SettledAt_;
    noteReplaced(From, OfEarlier, Changed);
    Reply.Routes_ = From.Table_;
  }
  Reply.RoutesVersion_ = From.Version_;
  return Reply;
}

/// Whether the report is of the latest table that this ledger made for it.
bool SlotLedger::isLatest(const wire::EntryReport &Report) const {
  const auto Found = Holders_.find({Report.Entry_, Report.Incarnation_});
  return Found != Holders_.end() && Found->second.Version_ != 0 &&
         Found->second.Version_ == Report.RoutesHeld_;
}

/// Reads what is in flight by the latest table, which the entry holds.
void SlotLedger::takeBrief(Holder &From, std::string_view InFlight) {
  for (const wire::Route &Route : From.Table_) {
    const std::optional<std::uint64_t> Count = wire::takeNumber(InFlight);
    if (!Count)
      return;
    const auto Found = Positions_.find(Route.Server_);
    if (Found != Positions_.end() && *Count > 0)
      From.Shares_[Found->second].InFlight_ +=
          static_cast<std::uint32_t>(*Count);
  }
}

void SlotLedger::takeShown(Holder &From, const wire::EntryReport &Report) {
  // What it holds of the latest table is known without being shown.
  const bool Latest = From.Version_ != 0 && Report.RoutesHeld_ == From.Version_;
  for (auto &[Position, Each] : From.Shares_) {
    Each.Shown_ = Latest ? Each.Offered_ : SlotAmount{};
    Each.InFlight_ = 0;
  }
  if (Report.Brief_)
    takeBrief(From, Report.InFlight_);
  for (const wire::GrantHeld &Held : Report.Grants_) {
    const auto Found = Positions_.find(Held.Server_);
    if (Found == Positions_.end())
      continue;
    Share &Of = From.Shares_[Found->second];
    // An entry may still have requests in flight to an earlier boot.
    if (!Latest)
      Of.Shown_ = Of.Shown_.plus({Held.Slots_, Held.Connections_});
    Of.InFlight_ += Held.InFlight_;
  }
}

/// Lowers the account of an entry that shows the latest table: it will not go
/// back to an earlier one, and what runs beyond the table is in flight. Its
/// first table also tells what it held of earlier leaders until it took it: a
/// report alone does not, as it may be stale.
void SlotLedger::settle(Holder &From, std::uint64_t RoutesHeld) {
  if (From.Version_ == 0 || RoutesHeld != From.Version_)
    return;
  for (auto &[Position, Of] : From.Shares_) {
    Server &At = Servers_[Position];
    const SlotAmount Running{Of.InFlight_, Of.InFlight_};
    const SlotAmount Granted = From.Stopping_ ? SlotAmount{} : Of.Offered_;
    setHeld(Of, At, Granted.maxWith(Running));
    // What a stopping one shows an earlier leader may have freed already.
    if (!From.Confirmed_ && !From.Stopping_)
      At.Earlier_ = At.Earlier_.minusOrZero(Of.Replaced_);
  }
  From.Confirmed_ = true;
}

/// Notes which grants of earlier leaders the entry gives up if it takes the
/// answer to this report: only if it still holds what the report shows.
void SlotLedger::noteReplaced(Holder &To, bool OfEarlier, bool NewTable) {
  for (auto &[Position, Of] : To.Shares_) {
    const SlotAmount GivenUp = OfEarlier ? Of.Shown_ : SlotAmount{};
    Of.Replaced_ = NewTable ? GivenUp : Of.Replaced_.minWith(GivenUp);
  }
}

void SlotLedger::learnDemand(Holder &From) {
  std::vector<double> Now(Groups_.size());
  std::vector<double> Has(Groups_.size());
  for (const auto &[Position, Of] : From.Shares_) {
    Now[Servers_[Position].Group_] += Of.InFlight_;
    Has[Servers_[Position].Group_] += Of.Shown_.Slots_;
  }
  From.Demand_.resize(Now.size());
  for (std::size_t I = 0; I < Now.size(); ++I) {
    // An entry that fills its share would use more, nobody knows how much.
    const bool Full = Now[I] > 0 && Now[I] >= FullPart * Has[I];
    const double Wanted = Full ? Now[I] * FullFactor : Now[I];
    From.Demand_[I] += DemandStep * (Wanted - From.Demand_[I]);
  }
}

SlotAmount SlotLedger::chooseOffer(const Holder &To, const Server &At,
                                   const Share &Of, TimePoint Now) const {
  if (To.Stopping_ || At.Info_.Draining_)
    return {};
  // Right after an election entries go on with what they have, so that a
  // change of leader moves no shares.
  const bool Settling = Now < SettledAt_;
  const SlotAmount Wanted =
      Settling && Of.Shown_.Slots_ > 0 ? Of.Shown_ : Of.Target_;
  const SlotAmount Free =
      capacityOf(At.Info_).minusOrZero(At.Sum_.plus(At.Earlier_));
  // What is accounted to it beyond its table is in flight by some report, which
  // may be stale: no ground to grant it. Until it shows a table of ours its
  // account is not known; but what it named in this report it holds if it takes
  // the answer.
  const bool ByReport = !To.Confirmed_ && Settling;
  const SlotAmount Granted = Of.Held_.minWith(Of.Offered_);
  const SlotAmount Has = ByReport ? Of.Shown_ : Granted;
  SlotAmount Offer = Wanted.minWith(Has.plus(Free));
  Offer = Offer.minWith(capacityOf(At.Info_));
  Offer.Slots_ = std::min(Offer.Slots_, Offer.Connections_);
  if (Offer.Slots_ == 0)
    Offer.Connections_ = 0;
  return Offer;
}

/// Makes the table that To is to have now. True if it is a new one.
bool SlotLedger::offerTable(Holder &To, TimePoint Now) {
  std::vector<wire::Route> Table;
  std::vector<SlotAmount> Offers(Servers_.size());
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position) {
    const Server &At = Servers_[Position];
    if (At.Removed_ || !At.Info_.Routable_)
      continue;
    const SlotAmount Offer = chooseOffer(To, At, To.Shares_[Position], Now);
    Offers[Position] = Offer;
    Table.push_back(wire::Route{
        At.Info_.Server_, At.Info_.Boot_, At.Info_.Address_, At.Info_.Services_,
        Offer.Slots_, Offer.Connections_, At.Info_.Draining_});
  }
  if (To.Version_ != 0 && Table == To.Table_)
    return false;
  To.Table_ = std::move(Table);
  To.Version_ = NextVersion_++;
  for (auto &[Position, Of] : To.Shares_) {
    Of.Offered_ = Offers[Position];
    setHeld(Of, Servers_[Position], Of.Held_.maxWith(Of.Offered_));
  }
  return true;
}

void SlotLedger::release(Holder &Of) {
  for (auto &[Position, Each] : Of.Shares_)
    setHeld(Each, Servers_[Position], SlotAmount{});
}

void SlotLedger::expire(TimePoint Now) {
  if (!isEarlierOpen(Now))
    for (Server &Each : Servers_)
      Each.Earlier_ = SlotAmount{};
  for (auto At = Holders_.begin(); At != Holders_.end();) {
    if (Now < At->second.ReleaseAt_) {
      ++At;
      continue;
    }
    release(At->second);
    At = Holders_.erase(At);
  }
}

void SlotLedger::noteBusy(const BackendServerId &Id, std::uint32_t BusySlots,
                          TimePoint SampledAt) {
  const auto Found = Positions_.find(Id);
  if (Found == Positions_.end())
    return;
  Server &At = Servers_[Found->second];
  const SlotAmount Busy{BusySlots, BusySlots};
  if (SampledAt >= SettledAt_)
    At.Earlier_ = At.Earlier_.minWith(Busy);
  for (auto &[Key, Each] : Holders_) {
    const auto Of = Each.Shares_.find(Found->second);
    if (Of == Each.Shares_.end())
      continue;
    // The measure has left that out already.
    if (SampledAt >= SettledAt_)
      Of->second.Replaced_ = SlotAmount{};
    if (SampledAt < Each.GrantEnd_)
      continue;
    setHeld(Of->second, At, Of->second.Held_.minWith(Busy));
    // If it comes back it needs a new table.
    Each.Version_ = 0;
  }
}

/// By server's position: what is accounted to those that take no part in the
/// sharing, the dead, the stopping and earlier leaders' unknown ones. The
/// others can't get it, so sharing it would leave newcomers with nothing.
std::vector<SlotAmount> SlotLedger::findBlocked(TimePoint Now) const {
  std::vector<SlotAmount> Blocked(Servers_.size());
  // Until then most of it belongs to entries that go on.
  if (Now >= SettledAt_)
    for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
      Blocked[Position] = Servers_[Position].Earlier_;
  for (const auto &[Key, Each] : Holders_) {
    if (takesPart(Each, Now))
      continue;
    for (const auto &[Position, Of] : Each.Shares_)
      Blocked[Position] = Blocked[Position].plus(Of.Held_);
  }
  return Blocked;
}

bool SlotLedger::hasBlockedMoved(TimePoint Now) const {
  const std::vector<SlotAmount> Blocked = findBlocked(Now);
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
    if (Servers_[Position].Blocked_ != Blocked[Position])
      return true;
  return false;
}

bool SlotLedger::needsRebalance(TimePoint Now) {
  bool Needed = MustRebalance_;
  const bool Due = Now - RebalancedAt_ >= Settings_.RebalanceEvery_;
  for (const auto &[Key, Each] : Holders_) {
    const bool Counts = takesPart(Each, Now);
    Needed |= Counts != Each.Counted_;
    if (!Due || !Counts || Needed)
      continue;
    for (std::size_t I = 0; I < Each.Demand_.size(); ++I) {
      const double Used = I < Each.DemandUsed_.size() ? Each.DemandUsed_[I] : 0;
      const double Slack = std::max(DemandSlack, DemandSlackPart * Used);
      Needed |= std::abs(Each.Demand_[I] - Used) > Slack;
    }
  }
  return Needed || (Due && hasBlockedMoved(Now));
}

void SlotLedger::rebalance(TimePoint Now) {
  if (!needsRebalance(Now))
    return;
  MustRebalance_ = false;
  RebalancedAt_ = Now;
  const std::vector<SlotAmount> Blocked = findBlocked(Now);
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
    Servers_[Position].Blocked_ = Blocked[Position];
  std::vector<Holder *> Sharers;
  for (auto &[Key, Each] : Holders_) {
    Each.Counted_ = takesPart(Each, Now);
    Each.Demand_.resize(Groups_.size());
    Each.DemandUsed_ = Each.Demand_;
    for (auto &[Position, Of] : Each.Shares_)
      Of.Target_ = SlotAmount{};
    if (Each.Counted_)
      Sharers.push_back(&Each);
  }
  for (std::size_t Group = 0; Group < Groups_.size(); ++Group)
    rebalanceGroup(Group, Sharers);
}

void SlotLedger::rebalanceGroup(std::size_t Group,
                                const std::vector<Holder *> &Sharers) {
  // Servers that are out for a while keep their part, so that the shares of
  // the others do not move when they come and go.
  std::vector<std::size_t> Members;
  std::vector<SlotAmount> Rooms;
  std::vector<std::uint32_t> Slots;
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position) {
    if (Servers_[Position].Group_ != Group || Servers_[Position].Removed_)
      continue;
    const Server &At = Servers_[Position];
    const SlotAmount Room = capacityOf(At.Info_).minusOrZero(At.Blocked_);
    Members.push_back(Position);
    Rooms.push_back(Room);
    Slots.push_back(usableSlots(Room));
  }
  std::vector<double> Demand;
  Demand.reserve(Sharers.size());
  for (const Holder *Each : Sharers)
    Demand.push_back(Each->Demand_[Group]);
  const ShareTable Table = Settings_.Share_(Slots, Demand);
  for (std::size_t S = 0; S < Members.size(); ++S) {
    for (std::size_t E = 0; E < Sharers.size(); ++E) {
      const std::uint32_t Given = Table[S][E];
      // As many connections to a slot as the server has left.
      const std::uint64_t Connections =
          Slots[S] == 0
              ? 0
              : std::uint64_t{Given} * Rooms[S].Connections_ / Slots[S];
      Sharers[E]->Shares_[Members[S]].Target_ = {
          Given, static_cast<std::uint32_t>(Connections)};
    }
  }
}

SlotAmount SlotLedger::findAccounted(const BackendServerId &Id) const {
  const auto Found = Positions_.find(Id);
  if (Found == Positions_.end())
    return {};
  const Server &At = Servers_[Found->second];
  return At.Sum_.plus(At.Earlier_);
}

std::vector<EntryView> SlotLedger::listEntries(TimePoint Now) const {
  std::vector<EntryView> Views;
  for (const auto &[Key, Each] : Holders_) {
    double InFlight = 0;
    for (const double Demand : Each.Demand_)
      InFlight += Demand;
    Views.push_back(EntryView{Key.first, Key.second, Each.Address_,
                              Each.Bundle_, isLive(Each, Now), Each.Stopping_,
                              Each.Version_, InFlight});
  }
  return Views;
}

std::vector<EndEntry> SlotLedger::findGone(const RequestRecords &Records,
                                           TimePoint Now) const {
  std::vector<EndEntry> Gone;
  const bool AllHeard = Now >= SettledAt_;
  for (const auto &[Entry, Keys] : Records.begunByEntry()) {
    std::set<std::uint64_t> Incarnations;
    for (const RequestKey &Key : Keys)
      Incarnations.insert(Records.records().at(Key).EntryIncarnation_);
    for (const std::uint64_t Incarnation : Incarnations) {
      const auto Found = Holders_.find({Entry, Incarnation});
      const bool Silent =
          Found == Holders_.end() ? AllHeard : !isLive(Found->second, Now);
      if (Silent)
        Gone.push_back(EndEntry{Entry, Incarnation});
    }
  }
  return Gone;
}
