//===- StateDump.h - The state of a control as JSON -------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H
#define TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H

#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/jobs/LoadStatus.h"
#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::jobservice {

/// Returns what operators look at first, as a JSON object: membership, jobs,
/// capacity in thousandths of processors, tasks that crash their servers, and
/// the load if this control leads.
std::string makeStateDump(const replication::ReplicaStatus &Status,
                          const jobs::JobStateMachine &Machine,
                          const jobs::LoadStatus &Load);
/// Returns the dump of a control without a replica.
std::string makeFailureDump(const std::string &Failure);

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_STATEDUMP_H
