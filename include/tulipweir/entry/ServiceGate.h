//===- ServiceGate.h - Admission to one service's servers ------*- C++ -*-===//
//
// One shard of the routing state: the servers of one service with the choice
// among them, the bounded queue in front, and the budget of retries, under one
// lock. A request either gets a slot, waits for one within its deadline, or is
// refused at once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_SERVICEGATE_H
#define TULIPWEIR_ENTRY_SERVICEGATE_H

#include "tulipweir/decide/Admission.h"
#include "tulipweir/decide/RetryBudget.h"
#include "tulipweir/decide/ServerChooser.h"
#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/entry/ServerSlots.h"
#include "tulipweir/fleet/Bundle.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tulipweir::entry {

/// A slot of one server, taken for one try.
using AcquiredSlot = std::shared_ptr<ServerSlots>;
/// A slot, or why there is none and when to come back.
struct SlotResult {
  AcquiredSlot Slot_; ///< Null when refused.
  RequestReason Reason_ = RequestReason::NoServers;
  Duration RetryAfter_{};
};
using SlotCallback = std::function<void(SlotResult)>;
/// A server not to be used, since it was tried before.
using ExcludedServer = std::optional<BackendServerId>;

/// What a gate looks like, for dumps.
struct GateView {
  ServiceId Service_;
  std::size_t Waiting_ = 0;
  std::size_t FreeSlots_ = 0;
  std::size_t TotalSlots_ = 0;
  double DrainPerSecond_ = 0;
  double RetriesSaved_ = 0;
  Duration MeanLatency_{};
  std::vector<decide::ChooserServerView> Servers_;
};

/// Thread-safe. Calls back without its lock held, at times from inside the
/// call that led to it.
class ServiceGate {
public:
  ServiceGate(const ServiceId &Service, const Clock &Clock, std::uint64_t Seed);

  // Commands.

  void configure(const fleet::ServiceConfig &Config, double RetryBudget);
  void setServers(const std::vector<std::shared_ptr<ServerSlots>> &Servers);
  /// Gives Done a slot now, or later, or a refusal now. Waiting is refused at
  /// once when it cannot end before the deadline.
  void acquireSlot(TimePoint Deadline, const ExcludedServer &Excluded,
                   SlotCallback Done);
  /// A slot that is free now, without waiting; null if there is none.
  AcquiredSlot tryAcquireSlot(const ExcludedServer &Excluded);
  /// A first try earns its part of a retry; retries and hedges earn none.
  void countFirstTry();
  /// Spends one retry or hedge if the budget has it.
  bool trySpendRetry();
  /// Another service of the server took a slot there: counts it as in use.
  /// False if this gate does not know the server; then nothing was counted.
  bool recordSlotTaken(const BackendServerId &Server);
  /// Counts a slot that this gate gave, or noted as taken, as free again. The
  /// latency is learned from, unless Result is absent: the end of that try
  /// says nothing about the server as this service sees it.
  void recordSlotReleased(const BackendServerId &Server,
                          std::optional<decide::RequestResult> Result,
                          Duration Latency);
  /// Hands free slots to those who wait.
  void dispatchQueue();
  /// Refuses those who wait and cannot make their deadline any more.
  void sweep();
  /// Forgets who waits without calling them, for the end of the process: they
  /// hold this gate, so that neither would ever be freed.
  void clear();

  // Queries.

  const ServiceId &service() const { return Service_; }
  /// How long one request takes in the mean; zero before the first.
  Duration getMeanLatency() const;
  std::size_t getWaiting() const;
  GateView getView() const;

private:
  struct Waiter {
    TimePoint Deadline_;
    ExcludedServer Excluded_;
    SlotCallback Done_;
  };
  struct QueueResult {
    SlotCallback Done_;
    SlotResult Answer_;
  };

  AcquiredSlot chooseSlot(TimePoint Now, const ExcludedServer &Excluded);
  decide::SlotView getSlotView() const;
  bool canServe(TimePoint Now) const;
  /// One waiter with its slot or its refusal; nullopt: nothing can be done.
  std::optional<QueueResult> dequeueNext(TimePoint Now);

  const ServiceId Service_;
  const Clock &Clock_;
  mutable std::mutex Mutex_;
  decide::Admission Admission_;
  decide::ServerChooser Chooser_;
  decide::RetryBudget Budget_;
  std::unordered_map<BackendServerId, std::shared_ptr<ServerSlots>> Servers_;
  std::deque<Waiter> Queue_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_SERVICEGATE_H
