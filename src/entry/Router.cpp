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
  fillGates();
}

// What the leader's account rests on (SlotAllocator.h): a reply to a report
// that named something else than what is held now would raise what is held
// beyond what is accounted to this entry.
bool Router::mayAdopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                      std::uint64_t Named, TimePoint Until) const {
  const TimePoint Now = Clock_.now();
  const std::uint64_t Held = findVersion(Now);
  if (SentAt <= AdoptedAt_ || Held != Named || Now >= Until)
    return false;
  if (Reply.Routes_)
    return Reply.RoutesVersion_ >= HighestVersion_;
  return Held != 0 && Reply.RoutesVersion_ == Held;
}

bool Router::adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
                   std::uint64_t Named) {
  const TimePoint Until = SentAt + milliseconds(Reply.GrantTtlMs_);
  {
    std::unique_lock Lock(Mutex_);
    if (!mayAdopt(Reply, SentAt, Named, Until))
      return false;
    AdoptedAt_ = SentAt;
    GrantUntil_ = Until;
    if (Reply.Routes_) {
      replaceServers(*Reply.Routes_, Until);
      HighestVersion_ = Reply.RoutesVersion_;
      fillGates();
    } else {
      for (const auto &[Key, Server] : Servers_)
        Server->renew(Until);
    }
  }
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Gate->drain();
  return true;
}

// A server of another boot or address is another server: what is in flight to
// the old one ends on its own.
void Router::replaceServers(const std::vector<wire::Route> &Routes,
                            TimePoint Until) {
  std::map<ServerKey, std::shared_ptr<ServerSlots>> Next;
  Order_.clear();
  for (const wire::Route &Route : Routes) {
    const Outcome<net::Endpoint> Address = net::Endpoint::parse(Route.Address_);
    Order_.emplace_back();
    if (!Address)
      continue;
    const ServerKey Key{Route.Server_, Route.Boot_};
    std::shared_ptr<ServerSlots> Server;
    const auto Found = Servers_.find(Key);
    if (Found != Servers_.end() &&
        Found->second->address() == Address.value() &&
        Found->second->services() == Route.Services_)
      Server = Found->second;
    else
      Server = std::make_shared<ServerSlots>(Route, Address.value());
    Server->setGrant(Route, Until);
    Order_.back() = Server;
    Next[Key] = std::move(Server);
  }
  for (const auto &[Key, Server] : Servers_) {
    const auto Kept = Next.find(Key);
    if (Kept == Next.end() || Kept->second != Server)
      Leaving_.push_back(Server);
  }
  std::erase_if(Leaving_, [](const std::shared_ptr<ServerSlots> &Server) {
    return Server->getHeld().InFlight_ == 0;
  });
  Servers_ = std::move(Next);
}

void Router::fillGates() {
  std::map<ServiceId, std::vector<std::shared_ptr<ServerSlots>>> ByService;
  for (const auto &[Key, Server] : Servers_)
    for (const ServiceId &Service : Server->services())
      ByService[Service].push_back(Server);
  for (const auto &[Id, Gate] : Gates_)
    Gate->setServers(ByService[Id]);
}

void Router::noteDraining(const BackendServerId &Server, const BootId &Boot) {
  std::unique_lock Lock(Mutex_);
  const auto Found = Servers_.find({Server, Boot});
  if (Found == Servers_.end() || Found->second->isDraining())
    return;
  Found->second->setDraining();
  fillGates();
}

Router::GateList Router::listGates() const {
  std::shared_lock Lock(Mutex_);
  GateList List;
  List.reserve(Gates_.size());
  for (const auto &[Id, Gate] : Gates_)
    List.push_back(Gate);
  return List;
}

SlotHold Router::hold(std::shared_ptr<ServiceGate> Own, TakenSlot Slot) const {
  SlotHold Hold{std::move(Slot), std::move(Own), {}};
  if (Hold.Slot_->services().size() < 2)
    return Hold;
  std::shared_lock Lock(Mutex_);
  for (const ServiceId &Service : Hold.Slot_->services()) {
    const auto Found = Gates_.find(Service);
    if (Found == Gates_.end() || Found->second == Hold.Own_)
      continue;
    if (Found->second->noteTaken(Hold.Slot_->server()))
      Hold.Others_.push_back(Found->second);
  }
  return Hold;
}

void Router::release(const SlotHold &Hold,
                     std::optional<decide::RequestResult> Result,
                     Duration Latency) {
  const BackendServerId &Server = Hold.Slot_->server();
  Hold.Slot_->giveBack();
  Hold.Own_->noteEnded(Server, Result, Latency);
  for (const std::shared_ptr<ServiceGate> &Gate : Hold.Others_)
    Gate->noteEnded(Server, std::nullopt, Duration::zero());
  Hold.Own_->drain();
  for (const std::shared_ptr<ServiceGate> &Gate : Hold.Others_)
    Gate->drain();
}

void Router::sweep() {
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Gate->sweep();
}

std::shared_ptr<ServiceGate> Router::findGate(const ServiceId &Service) const {
  std::shared_lock Lock(Mutex_);
  const auto Found = Gates_.find(Service);
  return Found == Gates_.end() ? nullptr : Found->second;
}

RoutesHeld Router::getHeld() const {
  std::shared_lock Lock(Mutex_);
  const std::uint64_t Version = findVersion(Clock_.now());
  return {Version, listHeld(Version)};
}

/// The lock is held.
std::vector<wire::GrantHeld> Router::listHeld(std::uint64_t Version) const {
  std::vector<wire::GrantHeld> Grants = listLeaving();
  Grants.reserve(Servers_.size() + Grants.size());
  for (const auto &[Key, Server] : Servers_)
    Grants.push_back(Version == 0 ? withoutSlots(Server->getHeld())
                                  : Server->getHeld());
  return Grants;
}

/// The lock is held.
std::vector<wire::GrantHeld> Router::listLeaving() const {
  std::vector<wire::GrantHeld> Grants;
  for (const std::shared_ptr<ServerSlots> &Server : Leaving_)
    if (wire::GrantHeld Each = Server->getHeld(); Each.InFlight_ > 0)
      Grants.push_back(withoutSlots(std::move(Each)));
  return Grants;
}

/// The lock is held.
std::string Router::packInFlight() const {
  std::string Packed;
  std::size_t Used = 0;
  for (const std::shared_ptr<ServerSlots> &Server : Order_) {
    const std::uint32_t InFlight = Server ? Server->getHeld().InFlight_ : 0;
    wire::appendNumber(Packed, InFlight);
    if (InFlight > 0)
      Used = Packed.size();
  }
  Packed.resize(Used);
  return Packed;
}

void Router::fillReport(wire::EntryReport &Report, std::uint64_t Known) const {
  std::shared_lock Lock(Mutex_);
  Report.RoutesHeld_ = findVersion(Clock_.now());
  Report.Brief_ = Known != 0 && Report.RoutesHeld_ == Known;
  if (!Report.Brief_) {
    Report.Grants_ = listHeld(Report.RoutesHeld_);
    return;
  }
  Report.InFlight_ = packInFlight();
  Report.Grants_ = listLeaving();
}

std::size_t Router::getServerCount() const {
  std::shared_lock Lock(Mutex_);
  return Servers_.size();
}

bool Router::lacksSlots() const {
  std::shared_lock Lock(Mutex_);
  bool Any = false;
  for (const auto &[Key, Each] : Servers_) {
    if (Each->isDraining() || Each->services().empty())
      continue;
    if (Each->getLimit() > 0)
      return false;
    Any = true;
  }
  return Any;
}

std::vector<GateView> Router::listViews() const {
  std::vector<GateView> Views;
  for (const std::shared_ptr<ServiceGate> &Gate : listGates())
    Views.push_back(Gate->getView());
  return Views;
}
