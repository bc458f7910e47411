#include "replication/Rejoin.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

static bool isNamed(const MemberHealth &Health, const std::string &Name) {
  return Health.Member_.Id_.Name_ == Name;
}

static bool isUnresponsiveIncarnation(const MemberHealth &Health,
                                      const MemberId &Of) {
  return isNamed(Health, Of.Name_) && Health.Member_.Id_ != Of &&
         !Health.IsAlive_;
}

/// Returns whether Asker replaces an incarnation that no longer runs. A name
/// belongs to one VM: while one of its incarnations answers, a request from
/// another incarnation is a delayed one.
static bool isSuccessor(const std::vector<MemberHealth> &Members,
                        const MemberId &Asker) {
  bool IsKnown = false;
  for (const MemberHealth &Health : Members) {
    if (!isNamed(Health, Asker.Name_))
      continue;
    if (Health.Member_.Id_ == Asker || Health.IsAlive_)
      return false;
    IsKnown = true;
  }
  return IsKnown;
}

std::optional<ChangeRequested>
replication::planRejoin(const std::vector<MemberHealth> &Members,
                        const std::vector<MemberId> &JoinRequests) {
  // Waiting members are handled first, as a disk may be lost again before its
  // member was promoted.
  for (const MemberId &Id : JoinRequests)
    if (isSuccessor(Members, Id))
      return ChangeRequested{0, ChangeKind::AddLearner, Id};
  for (const MemberHealth &Health : Members) {
    const MemberId &Id = Health.Member_.Id_;
    if (!Health.IsAlive_)
      continue;
    const MemberHealth *Before = nullptr;
    bool HasVoter = false;
    for (const MemberHealth &Other : Members) {
      if (!isUnresponsiveIncarnation(Other, Id))
        continue;
      Before = &Other;
      HasVoter = HasVoter || Other.Member_.Role_ == MemberRole::Voter;
    }
    if (HasVoter && Health.Member_.Role_ == MemberRole::Learner)
      return ChangeRequested{0, ChangeKind::Promote, Id};
    if (Before)
      return ChangeRequested{0, ChangeKind::Remove, Before->Member_.Id_};
  }
  return std::nullopt;
}

/// Bounds the load that unknown members can put on the leader.
static constexpr std::size_t MaxMembers = 32;

std::optional<ChangeRequested>
replication::planMembers(const std::vector<MemberHealth> &Members,
                         const std::vector<MemberId> &JoinRequests,
                         std::uint64_t TargetVoters) {
  for (const MemberId &Id : JoinRequests) {
    const bool IsUnknown = std::none_of(
        Members.begin(), Members.end(), [&](const MemberHealth &Known) {
          return Known.Member_.Id_.Name_ == Id.Name_;
        });
    if (IsUnknown && Members.size() < MaxMembers)
      return ChangeRequested{0, ChangeKind::AddLearner, Id};
  }
  std::uint64_t Voters = 0;
  const MemberHealth *Unresponsive = nullptr;
  const MemberHealth *Spare = nullptr;
  for (const MemberHealth &Health : Members) {
    const bool IsVoter = Health.Member_.Role_ == MemberRole::Voter;
    Voters += IsVoter ? 1 : 0;
    if (IsVoter && Health.IsUnresponsive_ && !Unresponsive)
      Unresponsive = &Health;
    if (!IsVoter && Health.IsAlive_ && !Spare)
      Spare = &Health;
  }
  const bool IsShort =
      Voters < TargetVoters || (Unresponsive && Voters == TargetVoters);
  if (Spare && IsShort)
    return ChangeRequested{0, ChangeKind::Promote, Spare->Member_.Id_};
  if (Unresponsive && Voters > TargetVoters)
    return ChangeRequested{0, ChangeKind::Remove, Unresponsive->Member_.Id_};
  return std::nullopt;
}
