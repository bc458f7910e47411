//===- ServerSlots.cpp ----------------------------------------------------===//

#include "tulipweir/entry/ServerSlots.h"

#include <algorithm>
#include <cassert>

using namespace tulipweir;
using namespace tulipweir::entry;

ServerSlots::ServerSlots(const wire::Route &Route, const net::Endpoint &Address)
    : Server_(Route.Server_), Boot_(Route.Boot_), Address_(Address),
      Services_(Route.Services_) {}

void ServerSlots::setGrant(const wire::Route &Route, TimePoint ExpiresAt) {
  Slots_ = Route.Slots_;
  Connections_ = Route.Connections_;
  ExpiresAt_ = ExpiresAt;
  // Draining is never undone within one boot, because the announcement that set
  // it may be newer than the leader's route table.
  if (Route.Draining_)
    Draining_ = true;
}

std::uint32_t ServerSlots::getLimit() const {
  return Draining_ ? 0 : std::min(Slots_.load(), Connections_.load());
}

bool ServerSlots::tryAcquire(TimePoint Now) {
  if (Now >= ExpiresAt_.load())
    return false;
  std::uint32_t InUse = InFlight_.load();
  while (InUse < getLimit())
    if (InFlight_.compare_exchange_weak(InUse, InUse + 1))
      return true;
  return false;
}

void ServerSlots::releaseSlot() {
  [[maybe_unused]] const std::uint32_t Before = InFlight_.fetch_sub(1);
  assert(Before > 0 && "a slot was released twice");
}

wire::GrantHeld ServerSlots::toGrantHeld() const {
  wire::GrantHeld Held;
  Held.Server_ = Server_;
  Held.Boot_ = Boot_;
  Held.Slots_ = Slots_;
  Held.Connections_ = Connections_;
  Held.InFlight_ = InFlight_;
  return Held;
}
