//===- WavePlanner.h - Plans the maintenance of VMs ------------*- C++ -*-===//
//
// Drains the servers of open waves and decides which of their VMs may be put
// into maintenance next, so that the number of a wave's VMs that are down
// never exceeds its limit. The states of VMs come from the provider's list and
// its answers; a VM whose order got no clear answer counts as down. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_WAVEPLANNER_H
#define TULIPWEIR_SRC_JOBS_WAVEPLANNER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/VmProvider.h"

#include <map>
#include <optional>
#include <set>

namespace tulipweir::jobs {

/// An order to put a VM into maintenance.
struct MaintenanceOrder {
  std::uint64_t Wave_ = 0;
  std::string Vm_;
  /// The incarnation that the VM's first order was planned for: an answer to a
  /// repeated order may speak of any earlier one.
  std::string Server_;
  bool operator==(const MaintenanceOrder &) const = default;
};

/// Plans the next maintenance order of a term. Not thread-safe.
class WavePlanner {
public:
  // Commands.

  void reset();
  /// Records that the wave was started in this term, so that no other leader
  /// has sent an order for it.
  void recordStart(std::uint64_t Wave) { StartedHere_.insert(Wave); }
  /// Stores the provider's list, which was requested at AskedAt.
  void updateVms(const VmList &List, TimePoint AskedAt);
  /// Chooses the servers to drain and returns the next order, if one may be
  /// sent.
  std::optional<MaintenanceOrder> plan(const JobRegistry &Registry,
                                       TimePoint Now);
  /// Records that the order was sent; whether it was carried out is not known
  /// yet.
  void recordOrder(const MaintenanceOrder &Order, TimePoint Now);
  /// Handles an answer, or an error if there was none. Returns true if the VM's
  /// maintenance has begun or never will.
  bool handleReply(const MaintenanceOrder &Order,
                   const Outcome<MaintenanceReply> &Reply, TimePoint Now);

  // Queries.

  /// Returns whether the order's server has certainly ended once the order was
  /// answered with Begun. An order of an earlier leader may have ended the
  /// server before it; then the order's server runs.
  bool provesEnd(const MaintenanceOrder &Order) const {
    return StartedHere_.count(Order.Wave_) != 0;
  }
  /// Returns whether the server must start nothing, as its VM is next.
  bool isDraining(const std::string &ServerId) const {
    return DrainingSince_.count(ServerId) != 0;
  }
  /// Returns whether the list of VMs is needed for a decision and out of date.
  bool isVmListRefreshDue(const JobRegistry &Registry, TimePoint Now) const;

private:
  /// The state of this leader's order for a VM of a wave.
  struct OrderState {
    std::uint64_t Wave_ = 0;
    TimePoint At_{};
    bool IsInFlight_ = false; ///< An order was sent and is not answered yet.
    bool IsUnclear_ = false;  ///< An earlier order may have been carried out.
    bool IsDown_ = false;     ///< Maintenance has begun; not seen up since.
    bool mayBeDown() const { return IsInFlight_ || IsUnclear_ || IsDown_; }
  };
  bool isUp(const std::string &Vm) const;
  std::uint64_t countDown(const WaveRecord &Wave) const;
  bool mayMaintain(const JobRegistry &Registry, const ServerRecord &Server,
                   TimePoint Now) const;

  std::map<std::string, VmInfo> Vms_;
  bool HasList_ = false;
  bool IsComplete_ = true; ///< The last list named every VM.
  TimePoint ListedAt_{};
  std::map<std::string, OrderState> Orders_; ///< By VM.
  /// By server id, when draining began.
  std::map<std::string, TimePoint> DrainingSince_;
  /// Servers that take work again, as their VMs' turn did not come in time.
  std::set<std::string> Resting_;
  /// By VM, when a next order may be sent after a busy answer or an error.
  std::map<std::string, TimePoint> RetryAt_;
  /// By wave and VM, the server that the first order was planned for which may
  /// have been carried out.
  std::map<std::pair<std::uint64_t, std::string>, std::string> PlannedFor_;
  std::set<std::uint64_t> StartedHere_; ///< Waves that began in this term.
  /// Another leader has a higher fencing token; this term sends no more orders.
  bool IsFenced_ = false;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_WAVEPLANNER_H
