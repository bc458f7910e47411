//===- LeadershipTransferPolicy.h - A slow leader hands over ---*- C++ -*-===//
//
// A leader that falls behind has more to do than any member could, or it runs
// on a processor that has become slow. In the second case another member does
// better, and takes over before servers lose their leases. What tells the two
// apart is the time that the same piece of work takes on each member.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H
#define TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H

#include "jobservice/ProcessorProbe.h"
#include "tulipweir/replication/Replica.h"

#include <map>
#include <string>

namespace tulipweir::jobservice {

/// A member that the leader's work would be done faster by.
struct TransferTarget {
  std::string Name_;
  Duration WorkTime_; ///< Of the same work as the leader's.
};

/// Not thread-safe.
class LeadershipTransferPolicy {
public:
  /// Time must outlive it.
  explicit LeadershipTransferPolicy(const Clock &Time) : Time_(Time) {}

  // Commands.

  /// What the member said of itself; zero if it cannot tell yet.
  void recordProbe(const std::string &Member, Duration WorkTime);

  // Queries.

  /// Whom this member hands over to. Nothing if it does not lead or does so
  /// since a moment ago, if it is as fast as usual, and where no voter that is
  /// heard has said lately that it is faster.
  std::optional<TransferTarget>
  chooseTarget(const replication::ReplicaStatus &Own,
               const ProcessorProbe &Speed) const;

private:
  struct ProbeResult {
    Duration WorkTime_{};
    TimePoint At_;
  };

  const Clock &Time_;
  std::map<std::string, ProbeResult> Members_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LEADERSHIPTRANSFERPOLICY_H
