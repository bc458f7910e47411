//===- SlotAllocator.cpp - Grants server slots to entries -----------------===//

#include "tulipweir/datacentre/SlotAllocator.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>
#include <cmath>
#include <set>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Weight of the newest report in the smoothed demand.
static constexpr double DemandSmoothing = 0.3;
/// Shares stay while no demand moved by more than this many requests and this
/// part of itself: a new table costs more than it brings.
static constexpr double MinDemandChange = 2;
static constexpr double MinRelativeDemandChange = 0.25;
/// From this part of its share on an entry counts as wanting more: so many
/// times what it uses.
static constexpr double FullShareThreshold = 0.8;
static constexpr double FullShareDemandFactor = 1.5;
static constexpr int TermShift = 32;

static SlotAmount getCapacity(const SlotServer &Server) {
  return {Server.Slots_, Server.Connections_};
}

/// Each request needs a slot and a connection.
static std::uint32_t countUsableSlots(const SlotAmount &Room) {
  return std::min(Room.Slots_, Room.Connections_);
}

/// Above all versions of earlier terms, and of earlier ledgers of this term in
/// this process: they made less than one a millisecond.
static std::uint64_t findFirstVersion(std::uint64_t Term, TimePoint ElectedAt) {
  const auto SinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
      ElectedAt.time_since_epoch());
  const auto Offset = static_cast<std::uint64_t>(SinceEpoch.count());
  return (Term << TermShift) + Offset % (1ULL << (TermShift - 1)) + 1;
}

SlotAllocator::SlotAllocator(const SlotSettings &Settings, std::uint64_t Term,
                             TimePoint ElectedAt,
                             const std::vector<SlotServer> &Known)
    : Settings_(Settings),
      EarlierGrantsEnd_(
          ElectedAt + stretchForDrift(Settings.GrantTtl_, Settings.DriftPpm_)),
      EarlierRequestsEnd_(
          ElectedAt + stretchForDrift(Settings.GrantTtl_ + Settings.MaxRequest_,
                                      Settings.DriftPpm_)),
      NextVersion_(findFirstVersion(Term, ElectedAt)),
      FirstVersion_(NextVersion_), RebalancedAt_(ElectedAt) {
  for (const SlotServer &Info : Known) {
    upsertServer(Info);
    Servers_.at(Positions_.at(Info.Server_)).EarlierGrants_ = getCapacity(Info);
  }
}

void SlotAllocator::upsertServer(const SlotServer &Info) {
  const auto [It, Inserted] =
      Positions_.try_emplace(Info.Server_, Servers_.size());
  if (Inserted)
    Servers_.emplace_back();
  Server &Changed = Servers_[It->second];
  const bool Same = !Inserted && !Changed.Removed_ &&
                    Changed.Info_.Services_ == Info.Services_ &&
                    getCapacity(Changed.Info_) == getCapacity(Info);
  Changed.Info_ = Info;
  Changed.Removed_ = false;
  if (Same)
    return;
  Changed.Group_ =
      Groups_.try_emplace(Info.Services_, Groups_.size()).first->second;
  RebalanceRequired_ = true;
}

void SlotAllocator::removeServer(const BackendServerId &Id) {
  const auto It = Positions_.find(Id);
  if (It == Positions_.end())
    return;
  // Its position stays: what was granted of it is still accounted for, and the
  // shares of the others do not move.
  Servers_[It->second].Removed_ = true;
}

void SlotAllocator::setAllocated(Share &EntryShare, Server &Backend,
                                 const SlotAmount &Amount) {
  Backend.AllocatedSum_ =
      Backend.AllocatedSum_.minusOrZero(EntryShare.Allocated_).plus(Amount);
  EntryShare.Allocated_ = Amount;
}

Outcome<wire::EntryReportReply>
SlotAllocator::onReport(const wire::EntryReport &Report,
                        const LeadershipCheck &Check) {
  if (!Check.IsLeader_)
    return fail(ErrorCode::NotLeader, "");
  const TimePoint Now = Check.Now_;
  expire(Now);
  if (Report.Brief_ && !holdsLatestTable(Report)) {
    wire::EntryReportReply ResendReply;
    ResendReply.SendFull_ = true;
    return ResendReply;
  }
  const auto [It, Inserted] =
      Holders_.try_emplace({Report.Entry_, Report.Incarnation_});
  Holder &Entry = It->second;
  Entry.Address_ = Report.Address_;
  Entry.Bundle_ = Report.Held_;
  // Sticky: an earlier report may arrive after it.
  Entry.Stopping_ |= Report.Stopping_;
  readReportedGrants(Entry, Report);
  applyConfirmedTable(Entry, Report.RoutesHeld_);
  updateDemand(Entry);
  Entry.GrantEnd_ =
      std::max(Entry.GrantEnd_,
               Now + stretchForDrift(Settings_.GrantTtl_, Settings_.DriftPpm_));
  Entry.ReleaseAt_ = std::max(
      Entry.ReleaseAt_,
      Now + stretchForDrift(Settings_.GrantTtl_ + Settings_.MaxRequest_,
                            Settings_.DriftPpm_));
  rebalance(Now);

  wire::EntryReportReply Reply;
  Reply.GrantTtlMs_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings_.GrantTtl_)
          .count());
  const bool Changed = offerTable(Entry, Now);
  if (Changed || Report.RoutesHeld_ != Entry.TableVersion_) {
    const bool OfEarlier =
        Report.RoutesHeld_ < FirstVersion_ && Now < EarlierGrantsEnd_;
    recordReplacedGrants(Entry, OfEarlier, Changed);
    Reply.Routes_ = Entry.Table_;
  }
  Reply.RoutesVersion_ = Entry.TableVersion_;
  return Reply;
}

/// Whether the report is of the latest table that this ledger made for it.
bool SlotAllocator::holdsLatestTable(const wire::EntryReport &Report) const {
  const auto It = Holders_.find({Report.Entry_, Report.Incarnation_});
  return It != Holders_.end() && It->second.TableVersion_ != 0 &&
         It->second.TableVersion_ == Report.RoutesHeld_;
}

/// Reads what is in flight by the latest table, which the entry holds.
void SlotAllocator::readBriefReport(Holder &Entry, std::string_view InFlight) {
  for (const wire::Route &Route : Entry.Table_) {
    const std::optional<std::uint64_t> Count = wire::takeNumber(InFlight);
    if (!Count)
      return;
    const auto It = Positions_.find(Route.Server_);
    if (It != Positions_.end() && *Count > 0)
      Entry.Shares_[It->second].InFlight_ += static_cast<std::uint32_t>(*Count);
  }
}

void SlotAllocator::readReportedGrants(Holder &Entry,
                                       const wire::EntryReport &Report) {
  // What it holds of the latest table is known without being shown.
  const bool Latest =
      Entry.TableVersion_ != 0 && Report.RoutesHeld_ == Entry.TableVersion_;
  for (auto &[Position, EntryShare] : Entry.Shares_) {
    EntryShare.Reported_ = Latest ? EntryShare.Offered_ : SlotAmount{};
    EntryShare.InFlight_ = 0;
  }
  if (Report.Brief_)
    readBriefReport(Entry, Report.InFlight_);
  for (const wire::GrantHeld &Grant : Report.Grants_) {
    const auto It = Positions_.find(Grant.Server_);
    if (It == Positions_.end())
      continue;
    Share &EntryShare = Entry.Shares_[It->second];
    // An entry may still have requests in flight to an earlier boot.
    if (!Latest)
      EntryShare.Reported_ =
          EntryShare.Reported_.plus({Grant.Slots_, Grant.Connections_});
    EntryShare.InFlight_ += Grant.InFlight_;
  }
}

/// Lowers the account of an entry that shows the latest table: it will not go
/// back to an earlier one, and what runs beyond the table is in flight. Its
/// first table also tells what it held of earlier leaders until it took it: a
/// report alone does not, as it may be stale.
void SlotAllocator::applyConfirmedTable(Holder &Entry,
                                        std::uint64_t RoutesHeld) {
  if (Entry.TableVersion_ == 0 || RoutesHeld != Entry.TableVersion_)
    return;
  for (auto &[Position, EntryShare] : Entry.Shares_) {
    Server &Backend = Servers_[Position];
    const SlotAmount Running{EntryShare.InFlight_, EntryShare.InFlight_};
    const SlotAmount Granted =
        Entry.Stopping_ ? SlotAmount{} : EntryShare.Offered_;
    setAllocated(EntryShare, Backend, Granted.maxWith(Running));
    // What a stopping one shows an earlier leader may have freed already.
    if (!Entry.Confirmed_ && !Entry.Stopping_)
      Backend.EarlierGrants_ =
          Backend.EarlierGrants_.minusOrZero(EntryShare.Replaced_);
  }
  Entry.Confirmed_ = true;
}

/// Notes which grants of earlier leaders the entry gives up if it takes the
/// answer to this report: only if it still holds what the report shows.
void SlotAllocator::recordReplacedGrants(Holder &Entry, bool OfEarlier,
                                         bool NewTable) {
  for (auto &[Position, EntryShare] : Entry.Shares_) {
    const SlotAmount GivenUp = OfEarlier ? EntryShare.Reported_ : SlotAmount{};
    EntryShare.Replaced_ =
        NewTable ? GivenUp : EntryShare.Replaced_.minWith(GivenUp);
  }
}

void SlotAllocator::updateDemand(Holder &Entry) {
  std::vector<double> InFlight(Groups_.size());
  std::vector<double> Granted(Groups_.size());
  for (const auto &[Position, EntryShare] : Entry.Shares_) {
    InFlight[Servers_[Position].Group_] += EntryShare.InFlight_;
    Granted[Servers_[Position].Group_] += EntryShare.Reported_.Slots_;
  }
  Entry.Demand_.resize(InFlight.size());
  for (std::size_t I = 0; I < InFlight.size(); ++I) {
    // An entry that fills its share would use more, nobody knows how much.
    const bool FillsShare =
        InFlight[I] > 0 && InFlight[I] >= FullShareThreshold * Granted[I];
    const double EstimatedDemand =
        FillsShare ? InFlight[I] * FullShareDemandFactor : InFlight[I];
    Entry.Demand_[I] += DemandSmoothing * (EstimatedDemand - Entry.Demand_[I]);
  }
}

SlotAmount SlotAllocator::computeOffer(const Holder &Entry,
                                       const Server &Backend,
                                       const Share &EntryShare,
                                       TimePoint Now) const {
  if (Entry.Stopping_ || Backend.Info_.Draining_)
    return {};
  // Right after an election entries go on with what they have, so that a
  // change of leader moves no shares.
  const bool GrantsMayOverlap = Now < EarlierGrantsEnd_;
  const SlotAmount Wanted = GrantsMayOverlap && EntryShare.Reported_.Slots_ > 0
                                ? EntryShare.Reported_
                                : EntryShare.Target_;
  const SlotAmount Free =
      getCapacity(Backend.Info_)
          .minusOrZero(Backend.AllocatedSum_.plus(Backend.EarlierGrants_));
  // What is accounted to it beyond its table is in flight by some report, which
  // may be stale: no ground to grant it. Until it shows a table of ours its
  // account is not known; but what it named in this report it holds if it takes
  // the answer.
  const bool ByReport = !Entry.Confirmed_ && GrantsMayOverlap;
  const SlotAmount Granted = EntryShare.Allocated_.minWith(EntryShare.Offered_);
  const SlotAmount Current = ByReport ? EntryShare.Reported_ : Granted;
  SlotAmount Offer = Wanted.minWith(Current.plus(Free));
  Offer = Offer.minWith(getCapacity(Backend.Info_));
  Offer.Slots_ = std::min(Offer.Slots_, Offer.Connections_);
  if (Offer.Slots_ == 0)
    Offer.Connections_ = 0;
  return Offer;
}

/// Makes the table that To is to have now. True if it is a new one.
bool SlotAllocator::offerTable(Holder &Entry, TimePoint Now) {
  std::vector<wire::Route> Table;
  std::vector<SlotAmount> Offers(Servers_.size());
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position) {
    const Server &Backend = Servers_[Position];
    if (Backend.Removed_ || !Backend.Info_.Routable_)
      continue;
    const SlotAmount Offer =
        computeOffer(Entry, Backend, Entry.Shares_[Position], Now);
    Offers[Position] = Offer;
    Table.push_back(wire::Route{Backend.Info_.Server_, Backend.Info_.Boot_,
                                Backend.Info_.Address_, Backend.Info_.Services_,
                                Offer.Slots_, Offer.Connections_,
                                Backend.Info_.Draining_});
  }
  if (Entry.TableVersion_ != 0 && Table == Entry.Table_)
    return false;
  Entry.Table_ = std::move(Table);
  Entry.TableVersion_ = NextVersion_++;
  for (auto &[Position, EntryShare] : Entry.Shares_) {
    EntryShare.Offered_ = Offers[Position];
    setAllocated(EntryShare, Servers_[Position],
                 EntryShare.Allocated_.maxWith(EntryShare.Offered_));
  }
  return true;
}

void SlotAllocator::releaseAllocation(Holder &Entry) {
  for (auto &[Position, EntryShare] : Entry.Shares_)
    setAllocated(EntryShare, Servers_[Position], SlotAmount{});
}

void SlotAllocator::expire(TimePoint Now) {
  if (!mayEarlierRequestsRun(Now))
    for (Server &Backend : Servers_)
      Backend.EarlierGrants_ = SlotAmount{};
  for (auto It = Holders_.begin(); It != Holders_.end();) {
    if (Now < It->second.ReleaseAt_) {
      ++It;
      continue;
    }
    releaseAllocation(It->second);
    It = Holders_.erase(It);
  }
}

void SlotAllocator::applyUsageSample(const BackendServerId &Id,
                                     std::uint32_t BusySlots,
                                     TimePoint SampledAt) {
  const auto It = Positions_.find(Id);
  if (It == Positions_.end())
    return;
  Server &Backend = Servers_[It->second];
  const SlotAmount Busy{BusySlots, BusySlots};
  if (SampledAt >= EarlierGrantsEnd_)
    Backend.EarlierGrants_ = Backend.EarlierGrants_.minWith(Busy);
  for (auto &[Key, Entry] : Holders_) {
    const auto ShareIt = Entry.Shares_.find(It->second);
    if (ShareIt == Entry.Shares_.end())
      continue;
    // The measure has left that out already.
    if (SampledAt >= EarlierGrantsEnd_)
      ShareIt->second.Replaced_ = SlotAmount{};
    if (SampledAt < Entry.GrantEnd_)
      continue;
    setAllocated(ShareIt->second, Backend,
                 ShareIt->second.Allocated_.minWith(Busy));
    // If it comes back it needs a new table.
    Entry.TableVersion_ = 0;
  }
}

/// By server's position: what is accounted to those that take no part in the
/// sharing, the dead, the stopping and earlier leaders' unknown ones. The
/// others can't get it, so sharing it would leave newcomers with nothing.
std::vector<SlotAmount> SlotAllocator::findUnavailable(TimePoint Now) const {
  std::vector<SlotAmount> Unavailable(Servers_.size());
  // Until then most of it belongs to entries that go on.
  if (Now >= EarlierGrantsEnd_)
    for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
      Unavailable[Position] = Servers_[Position].EarlierGrants_;
  for (const auto &[Key, Entry] : Holders_) {
    if (isActive(Entry, Now))
      continue;
    for (const auto &[Position, EntryShare] : Entry.Shares_)
      Unavailable[Position] = Unavailable[Position].plus(EntryShare.Allocated_);
  }
  return Unavailable;
}

bool SlotAllocator::hasUnavailableChanged(TimePoint Now) const {
  const std::vector<SlotAmount> Unavailable = findUnavailable(Now);
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
    if (Servers_[Position].Unavailable_ != Unavailable[Position])
      return true;
  return false;
}

bool SlotAllocator::needsRebalance(TimePoint Now) {
  bool Needed = RebalanceRequired_;
  const bool Due = Now - RebalancedAt_ >= Settings_.RebalanceInterval_;
  for (const auto &[Key, Entry] : Holders_) {
    const bool Active = isActive(Entry, Now);
    Needed |= Active != Entry.InRebalance_;
    if (!Due || !Active || Needed)
      continue;
    for (std::size_t I = 0; I < Entry.Demand_.size(); ++I) {
      const double PreviousDemand =
          I < Entry.RebalancedDemand_.size() ? Entry.RebalancedDemand_[I] : 0;
      const double Slack =
          std::max(MinDemandChange, MinRelativeDemandChange * PreviousDemand);
      Needed |= std::abs(Entry.Demand_[I] - PreviousDemand) > Slack;
    }
  }
  return Needed || (Due && hasUnavailableChanged(Now));
}

void SlotAllocator::rebalance(TimePoint Now) {
  if (!needsRebalance(Now))
    return;
  RebalanceRequired_ = false;
  RebalancedAt_ = Now;
  const std::vector<SlotAmount> Unavailable = findUnavailable(Now);
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position)
    Servers_[Position].Unavailable_ = Unavailable[Position];
  std::vector<Holder *> Sharers;
  for (auto &[Key, Entry] : Holders_) {
    Entry.InRebalance_ = isActive(Entry, Now);
    Entry.Demand_.resize(Groups_.size());
    Entry.RebalancedDemand_ = Entry.Demand_;
    for (auto &[Position, EntryShare] : Entry.Shares_)
      EntryShare.Target_ = SlotAmount{};
    if (Entry.InRebalance_)
      Sharers.push_back(&Entry);
  }
  for (std::size_t Group = 0; Group < Groups_.size(); ++Group)
    rebalanceGroup(Group, Sharers);
}

void SlotAllocator::rebalanceGroup(std::size_t Group,
                                   const std::vector<Holder *> &Sharers) {
  // Servers that are out for a while keep their part, so that the shares of
  // the others do not move when they come and go.
  std::vector<std::size_t> Members;
  std::vector<SlotAmount> Rooms;
  std::vector<std::uint32_t> Slots;
  for (std::size_t Position = 0; Position < Servers_.size(); ++Position) {
    if (Servers_[Position].Group_ != Group || Servers_[Position].Removed_)
      continue;
    const Server &Backend = Servers_[Position];
    const SlotAmount Room =
        getCapacity(Backend.Info_).minusOrZero(Backend.Unavailable_);
    Members.push_back(Position);
    Rooms.push_back(Room);
    Slots.push_back(countUsableSlots(Room));
  }
  std::vector<double> Demand;
  Demand.reserve(Sharers.size());
  for (const Holder *Entry : Sharers)
    Demand.push_back(Entry->Demand_[Group]);
  const ShareTable Table = Settings_.Share_(Slots, Demand);
  for (std::size_t S = 0; S < Members.size(); ++S) {
    for (std::size_t E = 0; E < Sharers.size(); ++E) {
      const std::uint32_t AssignedSlots = Table[S][E];
      // As many connections to a slot as the server has left.
      const std::uint64_t Connections =
          Slots[S] == 0
              ? 0
              : std::uint64_t{AssignedSlots} * Rooms[S].Connections_ / Slots[S];
      Sharers[E]->Shares_[Members[S]].Target_ = {
          AssignedSlots, static_cast<std::uint32_t>(Connections)};
    }
  }
}

SlotAmount SlotAllocator::findAllocated(const BackendServerId &Id) const {
  const auto It = Positions_.find(Id);
  if (It == Positions_.end())
    return {};
  const Server &Backend = Servers_[It->second];
  return Backend.AllocatedSum_.plus(Backend.EarlierGrants_);
}

std::vector<EntryView> SlotAllocator::listEntries(TimePoint Now) const {
  std::vector<EntryView> Views;
  for (const auto &[Key, Entry] : Holders_) {
    double InFlight = 0;
    for (const double Demand : Entry.Demand_)
      InFlight += Demand;
    Views.push_back(EntryView{Key.first, Key.second, Entry.Address_,
                              Entry.Bundle_, isLive(Entry, Now),
                              Entry.Stopping_, Entry.TableVersion_, InFlight});
  }
  return Views;
}

std::vector<EndEntry>
SlotAllocator::findExpiredEntries(const RequestRecords &Records,
                                  TimePoint Now) const {
  std::vector<EndEntry> Expired;
  const bool AllReported = Now >= EarlierGrantsEnd_;
  for (const auto &[Entry, Keys] : Records.begunByEntry()) {
    std::set<std::uint64_t> Incarnations;
    for (const RequestKey &Key : Keys)
      Incarnations.insert(Records.records().at(Key).EntryIncarnation_);
    for (const std::uint64_t Incarnation : Incarnations) {
      const auto It = Holders_.find({Entry, Incarnation});
      const bool Silent =
          It == Holders_.end() ? AllReported : !isLive(It->second, Now);
      if (Silent)
        Expired.push_back(EndEntry{Entry, Incarnation});
    }
  }
  return Expired;
}
