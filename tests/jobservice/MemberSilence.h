//===- MemberSilence.h - Health of members by their silence -----*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_MEMBERSILENCE_H
#define TULIPWEIR_TESTS_JOBSERVICE_MEMBERSILENCE_H

#include "tulipweir/replication/Replica.h"

#include <string>

namespace tulipweir::jobservice::test {

/// Adds the member to the lists of the leader's status that depend on how long
/// it has sent nothing, with the times of the real replica.
inline void recordSilence(replication::ReplicaStatus &Status,
                          const std::string &Name, Duration Silence) {
  static constexpr Duration ElectionTimeout = std::chrono::milliseconds(600);
  static constexpr Duration UnresponsiveAfter = std::chrono::milliseconds(2500);
  if (Silence < ElectionTimeout)
    Status.Reachable_.push_back(Name);
  if (Silence >= UnresponsiveAfter)
    Status.Unresponsive_.push_back(Name);
}

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_MEMBERSILENCE_H
