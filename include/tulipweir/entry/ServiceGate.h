//===- ServiceGate.h - Admission control for one service -------*- C++ -*-===//
//
// Selects servers for the requests of one service. Contains the servers, a
// bounded queue and the retry budget of the service under one lock. A request
// gets a slot, waits for one within its deadline, or is rejected at once.
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

/// A server with one slot taken for one try.
using AcquiredSlot = std::shared_ptr<ServerSlots>;
/// A slot, or the reason for a rejection and the time to retry after.
struct SlotResult {
  AcquiredSlot Slot_; ///< Null if rejected.
  RequestReason Reason_ = RequestReason::NoServers;
  Duration RetryAfter_{};
};
using SlotCallback = std::function<void(SlotResult)>;
/// A server that must not be chosen because it was already tried.
using ExcludedServer = std::optional<BackendServerId>;

/// The state of a gate for dumps.
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

/// Admits requests to the servers of one service. Thread-safe. Callbacks run
/// without the lock held, possibly within the call that triggered them.
class ServiceGate {
public:
  ServiceGate(const ServiceId &Service, const Clock &Clock, std::uint64_t Seed);

  // Commands.

  void configure(const fleet::ServiceConfig &Config, double RetryBudget);
  void setServers(const std::vector<std::shared_ptr<ServerSlots>> &Servers);
  /// Passes a slot or a rejection to Done, at once or later. A request that
  /// cannot get a slot before its deadline is rejected at once.
  void acquireSlot(TimePoint Deadline, const ExcludedServer &Excluded,
                   SlotCallback Done);
  /// Returns a slot that is free now, or null.
  AcquiredSlot tryAcquireSlot(const ExcludedServer &Excluded);
  /// Credits the retry budget for a first try. Retries and hedges add no
  /// credit.
  void countFirstTry();
  /// Spends one retry or hedge if the budget permits it.
  bool trySpendRetry();
  /// Counts a slot that another service of the server took. Returns false,
  /// without counting it, if this gate does not have the server.
  bool recordSlotTaken(const BackendServerId &Server);
  /// Counts a slot that was assigned here or recorded as taken as free again.
  /// The latency is recorded unless Result is absent, which means that the end
  /// of the try says nothing about the server for this service.
  void recordSlotReleased(const BackendServerId &Server,
                          std::optional<decide::RequestResult> Result,
                          Duration Latency);
  /// Assigns free slots to queued requests.
  void dispatchQueue();
  /// Rejects queued requests that can no longer meet their deadline.
  void sweep();
  /// Discards queued requests without calling them, at process exit. Their
  /// callbacks own this gate, so the reference cycle would leak both.
  void clear();

  // Queries.

  const ServiceId &service() const { return Service_; }
  /// Returns the mean duration of a request, or zero before the first one.
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
  decide::SlotStatus getSlotView() const;
  bool canServe(TimePoint Now) const;
  /// Removes and returns the first queued request with its slot or rejection.
  /// Returns nullopt if the queue is empty or no slot is free.
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
