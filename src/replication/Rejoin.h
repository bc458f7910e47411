//===- Rejoin.h - Planning of membership changes ---------------*- C++ -*-===//
//
// Both plans propose one committed change at a time. planRejoin replaces an
// earlier incarnation with the one that runs now, under the same name and in
// the same role: the new incarnation is added as a learner and promoted once
// it has caught up, and then the old one is removed. planMembers maintains a
// number of voters: it adds members with unknown names, and replaces an
// unresponsive voter with a live learner.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_REJOIN_H
#define TULIPWEIR_REPLICATION_REJOIN_H

#include "replication/RaftCore.h"

#include <optional>

namespace tulipweir::replication {

/// The leader's view of a member's health.
struct MemberHealth {
  Member Member_;
  bool IsAlive_ = false; ///< Its disk answered within an election timeout.
  bool IsUnresponsive_ = false; ///< It has not answered for UnresponsiveAfter_,
                                ///< and its vote may be replaced.
  bool IsSelf_ = false;
};

/// Plans the replacement of lost incarnations. JoinRequests lists the members
/// without a log that have asked to join; those with unknown names are left to
/// planMembers or the operator. The later of two incarnations is the one that
/// answers, not the one with the higher number: the numbers come from a clock
/// that may have been set back between them.
std::optional<ChangeRequested>
planRejoin(const std::vector<MemberHealth> &Members,
           const std::vector<MemberId> &JoinRequests);

/// Plans changes towards TargetVoters. An unresponsive voter is removed only
/// while there is one voter more than the target, so that its removal never
/// reduces the number of voters that answer. Voters are spread over the places
/// as far as these are known: where the loss of one place would take the
/// majority, one of its voters is replaced by a member of another place.
std::optional<ChangeRequested>
planMembers(const std::vector<MemberHealth> &Members,
            const std::vector<MemberId> &JoinRequests,
            std::uint64_t TargetVoters, const MemberPlaces &Places = {});

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_REJOIN_H
