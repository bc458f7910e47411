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

/// Waiting are members without a log that have asked to join. Strangers among
/// them are left to the operator.
std::optional<ChangeAsked> planRejoin(const std::vector<Member> &Members,
                                      const std::vector<MemberId> &Waiting);

/// A member as the leader sees it.
struct MemberStanding {
  Member Member_;
  bool IsAlive_ = false; ///< It answered within an election timeout.
  bool IsGone_ = false; ///< It has been silent for so long that it is given up.
};

/// A gone voter is removed only while there is one voter more than wanted, so
/// the number of voters that answer never falls by it.
std::optional<ChangeAsked>
planMembers(const std::vector<MemberStanding> &Members,
            const std::vector<MemberId> &Waiting, std::uint64_t TargetVoters);

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REJOIN_H
