//===- Rejoin.h - Bringing back members that lost their disk ---*- C++ -*-===//
//
// Decides the next change of members that replaces an earlier incarnation by
// the one that runs now, under the same name and in the same role. Only
// committed changes do it, one at a time; the new one is added as a learner,
// promoted once it has caught up, and then the old one is removed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REJOIN_H
#define TULIPWEIR_REPLICATION_REJOIN_H

#include "replication/RaftCore.h"

#include <optional>

namespace tulipweir::replication {

/// Waiting are members without a log that have asked to join. Strangers among
/// them are left to the operator.
std::optional<ChangeAsked> planRejoin(const std::vector<Member> &Members,
                                      const std::vector<MemberId> &Waiting);

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REJOIN_H
