//===- ServerSlots.h - This entry's share of one server --------*- C++ -*-===//
//
// The slots of one backend server, in one boot, that the leader granted to
// this entry, and how many are in use. Shared by all services of the server.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_SERVERSLOTS_H
#define TULIPWEIR_ENTRY_SERVERSLOTS_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"
#include "tulipweir/wire/Messages.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace tulipweir::entry {

/// Thread-safe; what identifies the server never changes.
class ServerSlots {
public:
  ServerSlots(const wire::Route &Route, const net::Endpoint &Address);

  // Commands.

  /// Takes over the share of a newer report. Until is when the grant runs out
  /// unless it is renewed.
  void setGrant(const wire::Route &Route, TimePoint ExpiresAt);
  /// The grant is as it was, until later.
  void renew(TimePoint ExpiresAt) { ExpiresAt_ = ExpiresAt; }
  /// The server takes nothing new from now on, whatever was granted.
  void setDraining() { Draining_ = true; }
  /// Takes one slot if the grant holds and one is free.
  bool tryAcquire(TimePoint Now);
  void releaseSlot();

  // Queries.

  const BackendServerId &server() const { return Server_; }
  const BootId &boot() const { return Boot_; }
  const net::Endpoint &address() const { return Address_; }
  const std::vector<ServiceId> &services() const { return Services_; }
  /// Usable slots: each request needs a slot and a connection.
  std::uint32_t getLimit() const;
  wire::GrantHeld toGrantHeld() const;
  TimePoint getExpiry() const { return ExpiresAt_; }
  bool isDraining() const { return Draining_; }

private:
  const BackendServerId Server_;
  const BootId Boot_;
  const net::Endpoint Address_;
  const std::vector<ServiceId> Services_;
  std::atomic<std::uint32_t> Slots_{0};
  std::atomic<std::uint32_t> Connections_{0};
  std::atomic<std::uint32_t> InFlight_{0};
  std::atomic<TimePoint> ExpiresAt_{TimePoint::min()};
  std::atomic<bool> Draining_{false};
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_SERVERSLOTS_H
