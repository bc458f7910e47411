//===- Router.h - Routes, grants and gates of an entry ---------*- C++ -*-===//
//
// Holds what the leader's last reports said: the backend servers with this
// entry's share of each, and one gate per service.
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

/// A slot in use, and which gates count it. Given back exactly once.
struct HeldSlot {
  AcquiredSlot Slot_;
  std::shared_ptr<ServiceGate> Owner_; ///< The gate that gave it.
  std::vector<std::shared_ptr<ServiceGate>> OtherGates_;
};

/// What a report tells of the routes, at one moment.
struct RoutingSnapshot {
  std::uint64_t Version_ = 0; ///< 0 once the grant has run out.
  /// Without slots once the grant has run out or the table leaves them out.
  std::vector<wire::GrantHeld> Grants_;
  bool operator==(const RoutingSnapshot &) const = default;
};

/// Thread-safe. The gates have locks of their own; the router's lock only
/// guards which gates and servers there are.
class Router {
public:
  Router(const Clock &Clock, std::uint64_t Seed);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  // Commands.

  /// Makes gates for the services of a bundle. The gate of a service that is
  /// no longer named stays, idle: requests may still be in it.
  void configure(const Configuration &Config);
  /// Takes over a reply to a report that was sent at SentAt and named the
  /// version Named. Returns whether it did: not if a reply to a later report
  /// was taken, if another version is held by now, if the grant has run out
  /// on the way, or if the table is below one that was taken.
  bool adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
             std::uint64_t ReportedVersion);
  /// A server announced through this entry that it leaves.
  void markDraining(const BackendServerId &Server, const BootId &Boot);
  /// Tells the other services of the server that a gate gave a slot.
  HeldSlot registerSlot(std::shared_ptr<ServiceGate> Owner,
                        AcquiredSlot Slot) const;
  /// Gives a slot back and hands it to whoever waits for it. Result is absent
  /// when the try's end says nothing about the server.
  void release(const HeldSlot &SlotInUse,
               std::optional<decide::RequestResult> Result, Duration Latency);
  /// Refuses whoever waits in vain; to be called every few milliseconds.
  void sweep();

  // Queries.

  /// Null when the bundle names no such service.
  std::shared_ptr<ServiceGate> findGate(const ServiceId &Service) const;
  RoutingSnapshot getSnapshot() const;
  /// Puts what is held into Report; briefly if it is the table of version
  /// Known, which the leader named last; 0 stands for none.
  void fillReport(wire::EntryReport &Report, std::uint64_t KnownVersion) const;
  std::size_t getServerCount() const;
  /// True if servers of services are known that don't drain, and none of them
  /// has a slot for this entry: its share may still be accounted to the process
  /// before it.
  bool lacksSlots() const;
  std::vector<GateView> listViews() const;

private:
  using ServerKey = std::pair<BackendServerId, BootId>;
  using GateList = std::vector<std::shared_ptr<ServiceGate>>;

  bool canAdopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                std::uint64_t ReportedVersion, TimePoint ExpiresAt) const;
  /// The version that may be used at Now; 0 when the grant has run out. The
  /// lock is held.
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
  /// In the order of the table; null where its address made no sense.
  std::vector<std::shared_ptr<ServerSlots>> RouteOrder_;
  /// Gone from the table, with requests still in flight.
  std::vector<std::shared_ptr<ServerSlots>> RemovedServers_;
  /// Of the last table that was taken; never goes down.
  std::uint64_t HighestVersion_ = 0;
  TimePoint GrantExpiresAt_ = TimePoint::min();
  TimePoint AdoptedAt_ = TimePoint::min();
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ROUTER_H
