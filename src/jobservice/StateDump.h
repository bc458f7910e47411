//===- StateDump.h - The state of a control as JSON -------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H
#define TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H

#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::jobservice {

/// Returns what operators look at first, as a JSON object: membership, jobs,
/// capacity in thousandths of processors, and tasks that crash their servers.
std::string makeStateDump(const replication::ReplicaStatus &Status,
                          const jobs::JobStateMachine &Machine);
/// Returns the dump of a control without a replica.
std::string makeFailureDump(const std::string &Failure);

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H
