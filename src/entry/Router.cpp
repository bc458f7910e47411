//===- Router.cpp ---------------------------------------------------------===//

#include "tulipweir/entry/Router.h"

#include "tulipweir/wire/PackedNumbers.h"

#include <algorithm>
#include <functional>
#include <mutex>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

static wire::GrantHeld withoutSlots(wire::GrantHeld Held) {
  Held.Slots_ = 0;
  Held.Connections_ = 0;
  return Held;
}

Router::Router(const Clock &Clock, std::uint64_t Seed)
    : Clock_(Clock), Seed_(Seed) {}

Router::~Router() {
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Gate->clear();
}

void Router::configure(const Configuration &Config) {
  std::unique_lock Lock(Mutex_);
  for (const auto &[Id, Service] : Config.Services_) {
    std::shared_ptr<ServiceGate> &Gate = Gates_[Id];
    if (!Gate) {
      const std::uint64_t Seed = Seed_ + std::hash<ServiceId>()(Id);
      Gate = std::make_shared<ServiceGate>(Id, Clock_, Seed);
    }
    Gate->configure(Service, Config.Bundle_.RetryBudget_);
  }
  assignServers();
}

// The leader's slot accounting (SlotAllocator.h) relies on this check: applying
// a reply to a report that contained another version than the one in use now
// could raise this entry's slots above those accounted to it.
bool Router::canAdopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                      std::uint64_t ReportedVersion,
                      TimePoint ExpiresAt) const {
  const TimePoint Now = Clock_.now();
  const std::uint64_t UsableVersion = getUsableVersion(Now);
  if (SentAt <= AdoptedAt_ || UsableVersion != ReportedVersion ||
      Now >= ExpiresAt)
    return false;
  if (Reply.Routes_)
    return Reply.RoutesVersion_ >= HighestVersion_;
  return UsableVersion != 0 && Reply.RoutesVersion_ == UsableVersion;
}

bool Router::adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                   std::uint64_t ReportedVersion) {
  const TimePoint ExpiresAt = SentAt + milliseconds(Reply.GrantTtlMs_);
  {
    std::unique_lock Lock(Mutex_);
    if (!canAdopt(Reply, SentAt, ReportedVersion, ExpiresAt))
      return false;
    AdoptedAt_ = SentAt;
    GrantExpiresAt_ = ExpiresAt;
    if (Reply.Routes_) {
      replaceServers(*Reply.Routes_, ExpiresAt);
      HighestVersion_ = Reply.RoutesVersion_;
      assignServers();
    } else {
      for (const auto &[Key, Server] : Servers_)
        Server->renew(ExpiresAt);
    }
  }
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Gate->dispatchQueue();
  return true;
}

// A server with another boot, address or set of services is a new server.
// Requests in flight to the previous one run to their end.
void Router::replaceServers(const std::vector<wire::Route> &Routes,
                            TimePoint ExpiresAt) {
  std::map<ServerKey, std::shared_ptr<ServerSlots>> Next;
  RouteOrder_.clear();
  for (const wire::Route &Route : Routes) {
    const Outcome<net::Endpoint> Address = net::Endpoint::parse(Route.Address_);
    RouteOrder_.emplace_back();
    if (!Address)
      continue;
    const ServerKey Key{Route.Server_, Route.Boot_};
    std::shared_ptr<ServerSlots> Server;
    const auto It = Servers_.find(Key);
    if (It != Servers_.end() && It->second->address() == Address.value() &&
        It->second->services() == Route.Services_)
      Server = It->second;
    else
      Server = std::make_shared<ServerSlots>(Route, Address.value());
    Server->setGrant(Route, ExpiresAt);
    RouteOrder_.back() = Server;
    Next[Key] = std::move(Server);
  }
  for (const auto &[Key, Server] : Servers_) {
    const auto Kept = Next.find(Key);
    if (Kept == Next.end() || Kept->second != Server)
      RemovedServers_.push_back(Server);
  }
  std::erase_if(RemovedServers_,
                [](const std::shared_ptr<ServerSlots> &Server) {
                  return Server->toGrantHeld().InFlight_ == 0;
                });
  Servers_ = std::move(Next);
}

void Router::assignServers() {
  std::map<ServiceId, std::vector<std::shared_ptr<ServerSlots>>> ByService;
  for (const auto &[Key, Server] : Servers_)
    for (const ServiceId &Service : Server->services())
      ByService[Service].push_back(Server);
  for (const auto &[Id, Gate] : Gates_)
    Gate->setServers(ByService[Id]);
}

void Router::markDraining(const BackendServerId &Server, const BootId &Boot) {
  std::unique_lock Lock(Mutex_);
  const auto It = Servers_.find({Server, Boot});
  if (It == Servers_.end() || It->second->isDraining())
    return;
  It->second->setDraining();
  assignServers();
}

Router::GateList Router::listGates() const {
  std::shared_lock Lock(Mutex_);
  GateList List;
  List.reserve(Gates_.size());
  for (const auto &[Id, Gate] : Gates_)
    List.push_back(Gate);
  return List;
}

HeldSlot Router::registerSlot(std::shared_ptr<ServiceGate> Owner,
                              AcquiredSlot Slot) const {
  HeldSlot SlotInUse{std::move(Slot), std::move(Owner), {}};
  if (SlotInUse.Slot_->services().size() < 2)
    return SlotInUse;
  std::shared_lock Lock(Mutex_);
  for (const ServiceId &Service : SlotInUse.Slot_->services()) {
    const auto It = Gates_.find(Service);
    if (It == Gates_.end() || It->second == SlotInUse.Owner_)
      continue;
    if (It->second->recordSlotTaken(SlotInUse.Slot_->server()))
      SlotInUse.OtherGates_.push_back(It->second);
  }
  return SlotInUse;
}

void Router::release(const HeldSlot &SlotInUse,
                     std::optional<decide::RequestResult> Result,
                     Duration Latency) {
  const BackendServerId &Server = SlotInUse.Slot_->server();
  SlotInUse.Slot_->releaseSlot();
  SlotInUse.Owner_->recordSlotReleased(Server, Result, Latency);
  for (const std::shared_ptr<ServiceGate> &Gate : SlotInUse.OtherGates_)
    Gate->recordSlotReleased(Server, std::nullopt, Duration::zero());
  SlotInUse.Owner_->dispatchQueue();
  for (const std::shared_ptr<ServiceGate> &Gate : SlotInUse.OtherGates_)
    Gate->dispatchQueue();
}

void Router::sweep() {
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Gate->sweep();
}

std::shared_ptr<ServiceGate> Router::findGate(const ServiceId &Service) const {
  std::shared_lock Lock(Mutex_);
  const auto It = Gates_.find(Service);
  return It == Gates_.end() ? nullptr : It->second;
}

RoutingSnapshot Router::getSnapshot() const {
  std::shared_lock Lock(Mutex_);
  const std::uint64_t Version = getUsableVersion(Clock_.now());
  return {Version, listGrants(Version)};
}

/// Requires the lock.
std::vector<wire::GrantHeld> Router::listGrants(std::uint64_t Version) const {
  std::vector<wire::GrantHeld> Grants = listRemovedGrants();
  Grants.reserve(Servers_.size() + Grants.size());
  for (const auto &[Key, Server] : Servers_)
    Grants.push_back(Version == 0 ? withoutSlots(Server->toGrantHeld())
                                  : Server->toGrantHeld());
  return Grants;
}

/// Requires the lock.
std::vector<wire::GrantHeld> Router::listRemovedGrants() const {
  std::vector<wire::GrantHeld> Grants;
  for (const std::shared_ptr<ServerSlots> &Server : RemovedServers_)
    if (wire::GrantHeld Grant = Server->toGrantHeld(); Grant.InFlight_ > 0)
      Grants.push_back(withoutSlots(std::move(Grant)));
  return Grants;
}

/// Requires the lock.
std::string Router::packInFlight() const {
  std::string Packed;
  std::size_t Used = 0;
  for (const std::shared_ptr<ServerSlots> &Server : RouteOrder_) {
    const std::uint32_t InFlight = Server ? Server->toGrantHeld().InFlight_ : 0;
    wire::appendNumber(Packed, InFlight);
    if (InFlight > 0)
      Used = Packed.size();
  }
  Packed.resize(Used);
  return Packed;
}

void Router::fillReport(wire::EntryReport &Report,
                        std::uint64_t KnownVersion) const {
  std::shared_lock Lock(Mutex_);
  Report.RoutesHeld_ = getUsableVersion(Clock_.now());
  Report.Brief_ = KnownVersion != 0 && Report.RoutesHeld_ == KnownVersion;
  if (!Report.Brief_) {
    Report.Grants_ = listGrants(Report.RoutesHeld_);
    return;
  }
  Report.InFlight_ = packInFlight();
  Report.Grants_ = listRemovedGrants();
}

std::size_t Router::getServerCount() const {
  std::shared_lock Lock(Mutex_);
  return Servers_.size();
}

bool Router::lacksSlots() const {
  std::shared_lock Lock(Mutex_);
  bool HasServer = false;
  for (const auto &[Key, Server] : Servers_) {
    if (Server->isDraining() || Server->services().empty())
      continue;
    if (Server->getLimit() > 0)
      return false;
    HasServer = true;
  }
  return HasServer;
}

std::vector<GateView> Router::listViews() const {
  std::vector<GateView> Views;
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Views.push_back(Gate->getView());
  return Views;
}
