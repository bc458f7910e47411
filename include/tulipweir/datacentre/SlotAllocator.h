//===- SlotAllocator.h - Grants server slots to entries ---------*- C++ -*-===//
//
// Holds the leader's volatile state of slot grants: how many slots and
// connections of each backend server an entry process may use, and until when.
// One object exists per leadership. The allocation of an entry process grows
// only by unallocated slots, and its real use never exceeds its allocation, so
// all entries together never use more slots than a server has.
//
// The entry must keep these rules (docs/LEASES.md has the proof):
// - It accepts a table only if it still holds the version that it named in the
//   answered report (RoutesHeld_), its grant has not expired, and the table's
//   version is not below any version that it accepted before. Any other reply
//   changes and renews nothing.
// - A reply without a table renews only the version that it names.
// - A grant counts from the time at which the report was SENT, by the entry's
//   clock. When the grant expires, the entry holds version 0 and no slots.
// - No request is sent with a deadline beyond MaxRequest_, and none runs past
//   its deadline.
// - While the last reply named the version that the entry holds, its reports
//   may omit servers without requests in flight, or be brief. A brief report of
//   a table that is not the latest of this object changes nothing; the answer
//   is SendFull_, which renews nothing either.
// - InFlight_ counts each request that was sent and neither answered nor timed
//   out.
// - After its first report with Stopping_ the entry sends no new requests.
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

/// Settings that all control processes of a data centre must share.
struct SlotSettings {
  Duration GrantTtl_ = std::chrono::seconds(3);
  /// The longest time from sending a request to its deadline.
  Duration MaxRequest_ = std::chrono::seconds(30);
  std::uint32_t DriftPpm_ = 1000;
  /// The shortest time between two rebalancings due to demand.
  Duration RebalanceInterval_ = std::chrono::seconds(2);
  ShareRule Share_ = &shareByDemand;
};

/// A backend server whose slots are shared.
struct SlotServer {
  BackendServerId Server_;
  BootId Boot_;
  std::string Address_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;
  bool Routable_ = true;  ///< If false, not in the table.
  bool Draining_ = false; ///< If true, listed without slots.
  bool operator==(const SlotServer &) const = default;
};

/// One entry process, as shown in the dump.
struct EntryView {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  std::string Address_;
  BundleVersion Held_; ///< The last bundle reported.
  bool Live_ = false;  ///< Its grant has not expired.
  bool Stopping_ = false;
  std::uint64_t RoutesVersion_ = 0;
  double InFlight_ = 0; ///< Smoothed.
};

/// Not thread-safe: only the leader's strand uses it.
class SlotAllocator {
public:
  /// Known contains the servers that earlier leaders may have shared: all
  /// servers of the state with everything applied that was committed before
  /// this term.
  SlotAllocator(const SlotSettings &Settings, std::uint64_t Term,
                TimePoint ElectedAt, const std::vector<SlotServer> &Known);

  // Commands.

  /// Adds or changes a server.
  void upsertServer(const SlotServer &Server);
  /// Removes a server. Its slots that are still granted stay allocated.
  void removeServer(const BackendServerId &Server);

  /// Processes an entry's report and renews its grants. The caller fills in the
  /// bundle part of the reply. Fails with NotLeader if another leader could
  /// exist.
  Outcome<wire::EntryReportReply> onReport(const wire::EntryReport &Report,
                                           const LeadershipCheck &Check);

  /// Applies a measurement: the server ran at most BusySlots requests at
  /// SampledAt, by this process's clock. Frees the slots beyond BusySlots that
  /// are allocated to grants which expired before SampledAt, because the
  /// requests of such grants only become fewer. The time of a measurement over
  /// a period is the start of the period.
  void applyUsageSample(const BackendServerId &Id, std::uint32_t BusySlots,
                        TimePoint SampledAt);

  /// Frees the allocations of entries whose grants, and all requests sent under
  /// them, have expired by Now. onReport calls this too.
  void expire(TimePoint Now);

  // Queries.

  /// Returns the amount allocated to all entry processes, including those of
  /// earlier leaders that are not known yet. For a while after an election it
  /// may exceed the server's capacity.
  SlotAmount findAllocated(const BackendServerId &Server) const;
  std::vector<EntryView> listEntries(TimePoint Now) const;
  /// Returns a command for each entry process that began non-repeatable
  /// requests and whose reports ended. The caller proposes them so that clients
  /// are told Unknown.
  std::vector<EndEntry> findExpiredEntries(const RequestRecords &Records,
                                           TimePoint Now) const;
  const SlotSettings &settings() const { return Settings_; }

private:
  using HolderKey = std::pair<EntryId, std::uint64_t>;

  struct Server {
    SlotServer Info_;
    bool Removed_ = false;
    SlotAmount EarlierGrants_; ///< May be granted by earlier leaders.
    SlotAmount AllocatedSum_;  ///< Total of all holders.
    SlotAmount Unavailable_;   ///< See findUnavailable; set by rebalancing.
    std::size_t Group_ = 0;
  };
  struct Share {
    SlotAmount Allocated_; ///< Upper bound of its current use.
    SlotAmount Offered_;   ///< In the latest table.
    SlotAmount Reported_;  ///< In its latest report.
    SlotAmount Target_;    ///< Result of the latest rebalancing.
    SlotAmount Replaced_;  ///< Earlier grants that the first table replaces.
    std::uint32_t InFlight_ = 0; ///< In its latest report.
  };
  struct Holder {
    std::string Address_;
    BundleVersion Bundle_;
    bool Stopping_ = false;
    bool Confirmed_ = false; ///< It reported a table of this leader.
    std::uint64_t TableVersion_ = 0;
    std::vector<wire::Route> Table_; ///< The latest table offered.
    TimePoint GrantEnd_;             ///< After this it sends nothing.
    TimePoint ReleaseAt_;            ///< After this none of its requests run.
    bool InRebalance_ = false;       ///< Took part in the latest rebalancing.
    std::map<std::size_t, Share> Shares_; ///< By index into Servers_.
    std::vector<double> Demand_;          ///< By group; smoothed.
    std::vector<double>
        RebalancedDemand_; ///< Demand_ at the latest rebalancing.
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
  /// Returns whether the entry takes part in the sharing of slots.
  bool isActive(const Holder &Entry, TimePoint Now) const {
    return isLive(Entry, Now) && !Entry.Stopping_;
  }

  const SlotSettings Settings_;
  const TimePoint
      EarlierGrantsEnd_; ///< Expiry of the grants of earlier leaders.
  const TimePoint
      EarlierRequestsEnd_; ///< Expiry of the requests sent under them.
  std::uint64_t NextVersion_;
  const std::uint64_t FirstVersion_;
  std::vector<Server> Servers_;
  std::map<BackendServerId, std::size_t> Positions_;
  /// Servers with the same services form a group whose slots are shared
  /// together.
  std::map<std::vector<ServiceId>, std::size_t> Groups_;
  std::map<HolderKey, Holder> Holders_;
  bool RebalanceRequired_ = true;
  TimePoint RebalancedAt_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SLOTALLOCATOR_H
