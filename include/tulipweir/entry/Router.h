//===- Router.h - Routes and grants of an entry ----------------*- C++ -*-===//
//
// Keeps the routes of the leader's last reply: the backend servers with this
// entry's slots at each, and one gate per service.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ROUTER_H
#define TULIPWEIR_ENTRY_ROUTER_H

#include "tulipweir/entry/Configuration.h"
#include "tulipweir/entry/ServiceGate.h"
#include "tulipweir/wire/Messages.h"

#include <map>
#include <memory>
#include <shared_mutex>
#include <utility>
#include <vector>

namespace tulipweir::entry {

/// A slot in use and the gates that count it. It is released exactly once.
struct HeldSlot {
  AcquiredSlot Slot_;
  std::shared_ptr<ServiceGate> Owner_; ///< The gate that assigned the slot.
  std::vector<std::shared_ptr<ServiceGate>> OtherGates_;
};

/// The routing state that a report contains.
struct RoutingSnapshot {
  std::uint64_t Version_ = 0; ///< 0 after the grant has expired.
  /// The grants have no slots if the grant has expired or the server has been
  /// removed from the routes.
  std::vector<wire::GrantHeld> Grants_;
  bool operator==(const RoutingSnapshot &) const = default;
};

/// Routes requests to backend servers. Thread-safe. Each gate has its own lock;
/// the router's lock protects only the sets of gates and servers.
class Router {
public:
  Router(const Clock &Clock, std::uint64_t Seed);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  // Commands.

  /// Creates gates for the services of a bundle. The gate of a removed service
  /// stays, because requests may still be queued in it.
  void configure(const Configuration &Config);
  /// Applies the reply to a report that was sent at SentAt with the route
  /// version ReportedVersion, and returns whether it did. A reply is ignored if
  /// a reply to a later report was applied, if the version in use has changed,
  /// if its grant has already expired, or if its route table is older than one
  /// that was applied.
  bool adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
             std::uint64_t ReportedVersion);
  /// Marks a server as draining after it announced so through this entry.
  void markDraining(const BackendServerId &Server, const BootId &Boot);
  /// Counts the slot at the gates of the server's other services.
  HeldSlot registerSlot(std::shared_ptr<ServiceGate> Owner,
                        AcquiredSlot Slot) const;
  /// Releases a slot and gives it to the next waiting request. Result is absent
  /// if the end of the try says nothing about the server.
  void release(const HeldSlot &SlotInUse,
               std::optional<decide::RequestResult> Result, Duration Latency);
  /// Rejects queued requests that cannot meet their deadline. To be called
  /// every few milliseconds.
  void sweep();

  // Queries.

  /// Returns null if the bundle has no such service.
  std::shared_ptr<ServiceGate> findGate(const ServiceId &Service) const;
  RoutingSnapshot getSnapshot() const;
  /// Adds the routing state to Report. The report is brief if the version in
  /// use equals KnownVersion, the last version that the leader sent; 0 means
  /// none.
  void fillReport(wire::EntryReport &Report, std::uint64_t KnownVersion) const;
  std::size_t getServerCount() const;
  /// Returns true if there are servers with services that are not draining and
  /// this entry has no slot at any of them. This happens while the leader still
  /// accounts its slots to the previous process.
  bool lacksSlots() const;
  std::vector<GateView> listViews() const;

private:
  using ServerKey = std::pair<BackendServerId, BootId>;
  using GateList = std::vector<std::shared_ptr<ServiceGate>>;

  bool canAdopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                std::uint64_t ReportedVersion, TimePoint ExpiresAt) const;
  /// Returns the route version that may be used at Now, or 0 after the grant
  /// has expired. Requires the lock.
  std::uint64_t getUsableVersion(TimePoint Now) const {
    return Now < GrantExpiresAt_ ? HighestVersion_ : 0;
  }
  void replaceServers(const std::vector<wire::Route> &Routes,
                      TimePoint ExpiresAt);
  std::vector<wire::GrantHeld> listGrants(std::uint64_t Version) const;
  std::vector<wire::GrantHeld> listRemovedGrants() const;
  std::string packInFlight() const;
  void assignServers();
  GateList listGates() const;

  const Clock &Clock_;
  const std::uint64_t Seed_;
  mutable std::shared_mutex Mutex_;
  std::map<ServiceId, std::shared_ptr<ServiceGate>> Gates_;
  std::map<ServerKey, std::shared_ptr<ServerSlots>> Servers_;
  /// The servers in the order of the route table; null for an invalid address.
  std::vector<std::shared_ptr<ServerSlots>> RouteOrder_;
  /// Servers removed from the route table with requests in flight.
  std::vector<std::shared_ptr<ServerSlots>> RemovedServers_;
  /// The version of the last applied route table. It never decreases.
  std::uint64_t HighestVersion_ = 0;
  TimePoint GrantExpiresAt_ = TimePoint::min();
  TimePoint AdoptedAt_ = TimePoint::min();
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ROUTER_H
