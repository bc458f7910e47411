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
/// The shares are not rebalanced unless some demand changed by more than this
/// many requests and by more than this fraction of itself, because a new table
/// costs more than a smaller change gains.
static constexpr double MinDemandChange = 2;
static constexpr double MinRelativeDemandChange = 0.25;
/// An entry that uses at least this fraction of its share is assumed to want
/// this multiple of its current use.
static constexpr double FullShareThreshold = 0.8;
static constexpr double FullShareDemandFactor = 1.5;
static constexpr int TermShift = 32;

static SlotAmount getCapacity(const SlotServer &Server) {
  return {Server.Slots_, Server.Connections_};
}

/// Returns the number of requests that fit; each needs a slot and a connection.
static std::uint32_t countUsableSlots(const SlotAmount &Room) {
  return std::min(Room.Slots_, Room.Connections_);
}

/// Returns a table version above all versions of earlier terms, and of earlier
/// allocators of this term in this process: those create less than one version
/// per millisecond.
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
  // The server keeps its index, because granted slots stay allocated and the
  // shares of the other servers keep their indices.
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
  // Never reset, because an earlier report may arrive later.
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

/// Returns whether the entry holds the latest table that this allocator made
/// for it.
bool SlotAllocator::holdsLatestTable(const wire::EntryReport &Report) const {
  const auto It = Holders_.find({Report.Entry_, Report.Incarnation_});
  return It != Holders_.end() && It->second.TableVersion_ != 0 &&
         It->second.TableVersion_ == Report.RoutesHeld_;
}

/// Reads the requests in flight, listed in the order of the latest table, which
/// the entry holds.
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
  // A report of the latest table need not list its grants.
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
    // An entry may still have requests in flight to an earlier boot, so amounts
    // add up.
    if (!Latest)
      EntryShare.Reported_ =
          EntryShare.Reported_.plus({Grant.Slots_, Grant.Connections_});
    EntryShare.InFlight_ += Grant.InFlight_;
  }
}

/// Lowers the allocation of an entry that reports the latest table: it will not
/// return to an earlier table, and its use beyond the table is in flight. The
/// first confirmed table also shows which grants of earlier leaders the entry
/// held until it accepted the table. A report alone does not show this, because
/// it may be stale.
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
    // An earlier leader may already have freed what a stopping entry reports.
    if (!Entry.Confirmed_ && !Entry.Stopping_)
      Backend.EarlierGrants_ =
          Backend.EarlierGrants_.minusOrZero(EntryShare.Replaced_);
  }
  Entry.Confirmed_ = true;
}

/// Records which grants of earlier leaders the entry gives up if it accepts the
/// reply to this report. It accepts the reply only if it still holds the
/// reported table.
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
    // An entry process that uses its whole share may need more, by an unknown
    // amount, so its demand is estimated above its use.
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
  // Right after an election entries keep their current slots, so that a change
  // of leader moves no shares.
  const bool GrantsMayOverlap = Now < EarlierGrantsEnd_;
  const SlotAmount Wanted = GrantsMayOverlap && EntryShare.Reported_.Slots_ > 0
                                ? EntryShare.Reported_
                                : EntryShare.Target_;
  const SlotAmount Free =
      getCapacity(Backend.Info_)
          .minusOrZero(Backend.AllocatedSum_.plus(Backend.EarlierGrants_));
  // The allocation beyond the entry's table is in flight according to some
  // report, which may be stale, so it does not justify a grant. Until the entry
  // reports a table of this leader its allocation is unknown. However, if it
  // accepts the reply, it holds what it named in this report.
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

/// Computes the current table of the entry. Returns true if the table is new.
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
    // The measurement already excludes the replaced grants.
    if (SampledAt >= EarlierGrantsEnd_)
      ShareIt->second.Replaced_ = SlotAmount{};
    if (SampledAt < Entry.GrantEnd_)
      continue;
    setAllocated(ShareIt->second, Backend,
                 ShareIt->second.Allocated_.minWith(Busy));
    // The entry needs a new table if it reports again.
    Entry.TableVersion_ = 0;
  }
}

/// Returns, by index into Servers_, the amount allocated to entries that take
/// no part in the sharing: expired and stopping entries and unknown entries of
/// earlier leaders. Active entries cannot get these slots, and sharing them
/// would leave new entries with nothing.
std::vector<SlotAmount> SlotAllocator::findUnavailable(TimePoint Now) const {
  std::vector<SlotAmount> Unavailable(Servers_.size());
  // Until earlier grants expire, most of them belong to entries that continue.
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
  // Servers that are temporarily not routable keep their part, so that the
  // shares of the others do not change when they leave and return.
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
      // Assigns connections in the ratio of the server's remaining connections
      // to its remaining slots.
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
