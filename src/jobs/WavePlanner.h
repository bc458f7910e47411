//===- WavePlanner.h - Which VM has its maintenance next --------*- C++ -*-===//
//
// Empties servers of open waves and decides which of their VMs may be put into
// maintenance now, so that never more of a wave are down than allowed. What is
// known of VMs comes from the provider's list and its answers; a VM whose order
// was not clearly answered counts as down. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_WAVEPLANNER_H
#define TULIPWEIR_SRC_JOBS_WAVEPLANNER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobBook.h"
#include "tulipweir/jobs/VmProvider.h"

#include <map>
#include <optional>
#include <set>

namespace tulipweir::jobs {

/// An order to put a VM into maintenance.
struct MaintenanceOrder {
  std::uint64_t Wave_ = 0;
  std::string Vm_;
  std::string Server_; ///< The incarnation on it, as last listed.
  bool operator==(const MaintenanceOrder &) const = default;
};

/// Not thread-safe.
class WaveKeeper {
public:
  // Commands.

  void reset();
  /// The provider's list, as of an order sent at AskedAt.
  void noteList(const VmList &List, TimePoint AskedAt);
  /// Chooses the servers to empty, and the next order if one may go out.
  std::optional<MaintenanceOrder> plan(const JobBook &Book, TimePoint Now);
  /// The order left; whether it was carried out is open.
  void noteOrdered(const MaintenanceOrder &Order, TimePoint Now);
  /// An answer, or an error for none. True if the VM's maintenance has begun,
  /// or never will.
  bool noteReply(const MaintenanceOrder &Order,
                 const Outcome<MaintenanceReply> &Reply, TimePoint Now);

  // Queries.

  /// Whether the server shall start nothing, as its VM is next.
  bool isEmptying(const std::string &ServerId) const {
    return Emptying_.count(ServerId) != 0;
  }
  /// Whether a list is wanted: there is something to decide.
  bool isListDue(const JobBook &Book, TimePoint Now) const;

private:
  /// What this leader did with a VM of a wave.
  struct Ordered {
    std::uint64_t Wave_ = 0;
    TimePoint At_{};
    bool IsInFlight_ = false; ///< An order is on its way.
    bool IsUnclear_ = false;  ///< An earlier one may have been carried out.
    bool IsDown_ = false;     ///< Begun, and not seen up again since.
    bool mayBeDown() const { return IsInFlight_ || IsUnclear_ || IsDown_; }
  };
  bool isUp(const std::string &Vm) const;
  std::uint64_t countDown(const WaveRecord &Wave) const;
  bool mayOrder(const JobBook &Book, const ServerRecord &Server,
                TimePoint Now) const;

  std::map<std::string, VmInfo> Vms_;
  bool HasList_ = false;
  bool IsWhole_ = true; ///< Of the last list.
  TimePoint ListedAt_{};
  std::map<std::string, Ordered> Ordered_; ///< By VM.
  /// By server, since when it is being emptied.
  std::map<std::string, TimePoint> Emptying_;
  std::map<std::string, TimePoint> NotBefore_; ///< By VM: busy, or an error.
  bool IsFenced_ = false; ///< Another leads; this term orders nothing more.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_WAVEPLANNER_H
