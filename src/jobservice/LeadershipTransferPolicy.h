//===- LeadershipTransferPolicy.h - Chooses transfer targets ----*- C++ -*-===//
//
// A leader on a slow VM transfers leadership to a faster voter before servers
// lose their leases. An overloaded leader keeps leadership, as no other member
// would do better. All members time the same workload, which tells the two
// cases apart.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H
#define TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H

#include "jobservice/ProcessorProbe.h"
#include "tulipweir/replication/Replica.h"

#include <map>
#include <string>

namespace tulipweir::jobservice {

/// A candidate for a leadership transfer.
struct TransferTarget {
  std::string Name_;
  Duration WorkTime_; ///< Its probe time.
};

/// Not thread-safe.
class LeadershipTransferPolicy {
public:
  /// Time must outlive it.
  explicit LeadershipTransferPolicy(const Clock &Time) : Time_(Time) {}

  // Commands.

  /// Records a member's probe time. Zero means that it has none yet and is
  /// ignored.
  void recordProbe(const std::string &Member, Duration WorkTime);

  // Queries.

  /// Returns the voter to transfer leadership to, or nullopt if this member is
  /// not the leader, was elected recently, or is not slow.
  std::optional<TransferTarget>
  chooseTarget(const replication::ReplicaStatus &Status,
               const ProcessorProbe &Probe) const;

private:
  struct ProbeResult {
    Duration WorkTime_{};
    TimePoint RecordedAt_;
  };

  const Clock &Time_;
  std::map<std::string, ProbeResult> Members_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H
