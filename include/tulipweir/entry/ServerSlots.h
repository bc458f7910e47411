//===- ServerSlots.h - Granted slots of one backend server -----*- C++ -*-===//
//
// The slots that the leader granted to this entry on one boot of a backend
// server, and the number in use. All services of the server share them.
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

/// The slots of one backend server. Thread-safe. The server's identity is
/// constant.
class ServerSlots {
public:
  ServerSlots(const wire::Route &Route, const net::Endpoint &Address);

  // Commands.

  /// Applies the grant of a newer report, which expires at ExpiresAt unless it
  /// is renewed.
  void setGrant(const wire::Route &Route, TimePoint ExpiresAt);
  /// Extends an unchanged grant.
  void renew(TimePoint ExpiresAt) { ExpiresAt_ = ExpiresAt; }
  /// Stops new requests to the server regardless of its grant.
  void setDraining() { Draining_ = true; }
  /// Takes one slot if the grant is valid and a slot is free.
  bool tryAcquire(TimePoint Now);
  void releaseSlot();

  // Queries.

  const BackendServerId &server() const { return Server_; }
  const BootId &boot() const { return Boot_; }
  const net::Endpoint &address() const { return Address_; }
  const std::vector<ServiceId> &services() const { return Services_; }
  /// Returns the number of usable slots: each request needs a slot and a
  /// connection.
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
