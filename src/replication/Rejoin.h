//===- Rejoin.h - Which change of members comes next -----------*- C++ -*-===//
//
// Two plans, each a step at a time and by committed changes only. planRejoin
// replaces an earlier incarnation by the one that runs now, under the same name
// and in the same role: the new one is added as a learner, promoted once it has
// caught up, and then the old one is removed. planMembers keeps a number of
// voters: it takes in strangers, and puts one that is there in the place of a
// voter that is gone.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REJOIN_H
#define TULIPWEIR_REPLICATION_REJOIN_H

#include "replication/RaftCore.h"

#include <optional>

namespace tulipweir::replication {

/// A member as the leader sees it.
struct MemberHealth {
  Member Member_;
  bool IsAlive_ = false; ///< Its disk answered within an election timeout.
  bool IsUnresponsive_ = false; ///< It has not for so long that it is given up.
};

/// Waiting are members without a log that have asked to join. Strangers among
/// them are left to the operator. Which of two incarnations is the later one is
/// told by which of them answers, not by their numbers: those come from a clock
/// that may have been set back between them.
std::optional<ChangeRequested>
planRejoin(const std::vector<MemberHealth> &Members,
           const std::vector<MemberId> &Waiting);

/// A gone voter is removed only while there is one voter more than wanted, so
/// the number of voters that answer never falls by it.
std::optional<ChangeRequested>
planMembers(const std::vector<MemberHealth> &Members,
            const std::vector<MemberId> &Waiting, std::uint64_t TargetVoters);

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REJOIN_H
