//===- SlotAllocator.h - Grants server slots to entries ---------*- C++ -*-===//
//
// The leader's volatile account of slots and connections of backend servers:
// which entry process may use how many, until when. One object per leadership.
// A share grows only by what is accounted to nobody, and what an entry really
// uses is never above its account, so that all together never use more slots
// than a server has.
//
// What this rests on at the entry (docs/LEASES.md has the argument):
// - It takes a table only if the version that it holds is still the one that
//   it named in the report (RoutesHeld_) which the table answers, the grant has
//   not run out already, and the table's version is not below one that it ever
//   took. Otherwise the reply changes and renews nothing.
// - A reply without a table renews only the version that it names.
// - A grant runs from when the report was SENT, by the entry's clock. When it
//   runs out the entry holds version 0 and no slots.
// - No request is sent with a deadline beyond MaxRequest_, and none runs past
//   its deadline.
// - While the last reply was of the version that it holds, its reports may
//   leave out servers that it has nothing in flight to, or be brief. A brief
//   one of a table that is not the latest of this ledger changes nothing, and
//   is answered with SendFull_, which renews nothing either.
// - InFlight_ counts each request that was sent and not answered or timed out.
// - After its first report with Stopping_ it sends nothing new.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SLOTALLOCATOR_H
#define TULIPWEIR_DATACENTRE_SLOTALLOCATOR_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/datacentre/Commands.h"
#include "tulipweir/datacentre/Leadership.h"
#include "tulipweir/datacentre/RequestRecords.h"
#include "tulipweir/datacentre/SlotAmount.h"
#include "tulipweir/datacentre/SlotShares.h"
#include "tulipweir/wire/Messages.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace tulipweir::datacentre {

/// Settings that every control of a data centre must share.
struct SlotSettings {
  Duration GrantTtl_ = std::chrono::seconds(3);
  /// The longest time from sending a request until its deadline.
  Duration MaxRequest_ = std::chrono::seconds(30);
  std::uint32_t DriftPpm_ = 1000;
  /// Shares follow the demand at most this often.
  Duration RebalanceInterval_ = std::chrono::seconds(2);
  ShareRule Share_ = &shareByDemand;
};

/// A backend server as it is shared.
struct SlotServer {
  BackendServerId Server_;
  BootId Boot_;
  std::string Address_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Routable_ = true;  ///< False: entries forget it.
  bool Draining_ = false; ///< True: entries keep it, without slots.
  bool operator==(const SlotServer &) const = default;
};

/// One entry process, for the dump.
struct EntryView {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  BundleVersion Held_; ///< The bundle that it last reported.
  bool Live_ = false;  ///< Its grant has not run out.
  bool Stopping_ = false;
  std::uint64_t RoutesVersion_ = 0;
  double InFlight_ = 0; ///< Smoothed.
};

/// Not thread-safe: the leader's strand owns it.
class SlotAllocator {
public:
  /// Known are the servers that earlier leaders may have shared: all of the
  /// state with everything applied that was committed before this term.
  SlotAllocator(const SlotSettings &Settings, std::uint64_t Term,
                TimePoint ElectedAt, const std::vector<SlotServer> &Known);

  // Commands.

  /// Adds or changes a server.
  void upsertServer(const SlotServer &Server);
  /// The server is forgotten; what is granted of it is still accounted for.
  void removeServer(const BackendServerId &Server);

  /// Takes in an entry's report and renews its grants. The bundle part of the
  /// reply is left to the caller. Fails with NotLeader when another leader
  /// could exist.
  Outcome<wire::EntryReportReply> onReport(const wire::EntryReport &Report,
                                           const LeadershipCheck &Check);

  /// The server was seen with at most BusySlots requests running at SampledAt,
  /// by this process's clock. Frees what is accounted to grants that had run
  /// out before then, beyond those: such requests only become fewer. A measure
  /// over a period counts from the period's begin.
  void applyUsageSample(const BackendServerId &Id, std::uint32_t BusySlots,
                        TimePoint SampledAt);

  /// Frees what entries held whose grants, and all requests that were sent
  /// under them, have run out by Now. Also part of onReport.
  void expire(TimePoint Now);

  // Queries.

  /// What is accounted to all entry processes together, and to those of
  /// earlier leaders that are not known yet: after an election for a while
  /// more than there is.
  SlotAmount findAllocated(const BackendServerId &Server) const;
  std::vector<EntryView> listEntries(TimePoint Now) const;
  /// Processes that began non-repeatable requests and whose reports ended: to
  /// be proposed, so that callers are told Unknown.
  std::vector<EndEntry> findExpiredEntries(const RequestRecords &Records,
                                           TimePoint Now) const;
  const SlotSettings &settings() const { return Settings_; }

private:
  using HolderKey = std::pair<EntryId, std::uint64_t>;

  struct Server {
    SlotServer Info_;
    bool Removed_ = false;
    SlotAmount
        EarlierGrants_;       ///< What earlier leaders may have granted unseen.
    SlotAmount AllocatedSum_; ///< Of all holders.
    SlotAmount
        Unavailable_; ///< At the latest rebalancing: see findUnavailable.
    std::size_t Group_ = 0;
  };
  struct Share {
    SlotAmount Allocated_; ///< The most that it may use now.
    SlotAmount Offered_;   ///< In the latest table.
    SlotAmount Reported_;  ///< In its latest report.
    SlotAmount Target_;    ///< What rebalancing would give it.
    SlotAmount Replaced_;  ///< Earlier grants given up with the first table.
    std::uint32_t InFlight_ = 0; ///< In its latest report.
  };
  struct Holder {
    std::string Address_;
    BundleVersion Bundle_;
    bool Stopping_ = false;
    bool Confirmed_ = false; ///< It showed a version of this leader's.
    std::uint64_t TableVersion_ = 0;
    std::vector<wire::Route> Table_; ///< The latest one offered.
    TimePoint GrantEnd_;             ///< When it may send nothing more.
    TimePoint ReleaseAt_;      ///< When nothing that it sent can still run.
    bool InRebalance_ = false; ///< Part of the latest rebalancing.
    std::map<std::size_t, Share> Shares_;  ///< By server's position.
    std::vector<double> Demand_;           ///< By group; smoothed.
    std::vector<double> RebalancedDemand_; ///< At the latest rebalancing.
  };

  void setAllocated(Share &EntryShare, Server &Backend,
                    const SlotAmount &Amount);
  bool holdsLatestTable(const wire::EntryReport &Report) const;
  void readBriefReport(Holder &Entry, std::string_view InFlight);
  void readReportedGrants(Holder &Entry, const wire::EntryReport &Report);
  void recordReplacedGrants(Holder &Entry, bool OfEarlier, bool NewTable);
  void applyConfirmedTable(Holder &Entry, std::uint64_t RoutesHeld);
  void updateDemand(Holder &Entry);
  SlotAmount computeOffer(const Holder &Entry, const Server &Backend,
                          const Share &EntryShare, TimePoint Now) const;
  bool offerTable(Holder &Entry, TimePoint Now);
  void releaseAllocation(Holder &Entry);
  void rebalance(TimePoint Now);
  bool needsRebalance(TimePoint Now);
  std::vector<SlotAmount> findUnavailable(TimePoint Now) const;
  bool hasUnavailableChanged(TimePoint Now) const;
  void rebalanceGroup(std::size_t Group, const std::vector<Holder *> &Sharers);
  bool mayEarlierRequestsRun(TimePoint Now) const {
    return Now < EarlierRequestsEnd_;
  }
  bool isLive(const Holder &Entry, TimePoint Now) const {
    return Now < Entry.GrantEnd_;
  }
  /// Whether it is one of those that share the slots.
  bool isActive(const Holder &Entry, TimePoint Now) const {
    return isLive(Entry, Now) && !Entry.Stopping_;
  }

  const SlotSettings Settings_;
  const TimePoint EarlierGrantsEnd_; ///< When earlier leaders' grants are over.
  const TimePoint EarlierRequestsEnd_; ///< And all requests sent under them.
  std::uint64_t NextVersion_;
  const std::uint64_t FirstVersion_;
  std::vector<Server> Servers_;
  std::map<BackendServerId, std::size_t> Positions_;
  /// Servers of the same services are shared together.
  std::map<std::vector<ServiceId>, std::size_t> Groups_;
  std::map<HolderKey, Holder> Holders_;
  bool RebalanceRequired_ = true;
  TimePoint RebalancedAt_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SLOTALLOCATOR_H
