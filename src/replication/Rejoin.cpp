#include "replication/Rejoin.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

static bool isNamed(const MemberHealth &Each, const std::string &Name) {
  return Each.Member_.Id_.Name_ == Name;
}

static bool isUnresponsiveIncarnation(const MemberHealth &Each,
                                      const MemberId &Of) {
  return isNamed(Each, Of.Name_) && Each.Member_.Id_ != Of && !Each.IsAlive_;
}

/// Whether the member that asks runs in the place of one that no longer does. A
/// name is that of one VM: while one of its incarnations answers, a question
/// from another is an old one that was held up.
static bool isSuccessor(const std::vector<MemberHealth> &Members,
                        const MemberId &Asker) {
  bool IsKnown = false;
  for (const MemberHealth &Each : Members) {
    if (!isNamed(Each, Asker.Name_))
      continue;
    if (Each.Member_.Id_ == Asker || Each.IsAlive_)
      return false;
    IsKnown = true;
  }
  return IsKnown;
}

std::optional<ChangeRequested>
replication::planRejoin(const std::vector<MemberHealth> &Members,
                        const std::vector<MemberId> &Waiting) {
  // First, for a disk may be lost again before its member was promoted.
  for (const MemberId &Each : Waiting)
    if (isSuccessor(Members, Each))
      return ChangeRequested{0, ChangeKind::AddLearner, Each};
  for (const MemberHealth &Each : Members) {
    const MemberId &Id = Each.Member_.Id_;
    if (!Each.IsAlive_)
      continue;
    const MemberHealth *Before = nullptr;
    bool HasVoter = false;
    for (const MemberHealth &Other : Members) {
      if (!isUnresponsiveIncarnation(Other, Id))
        continue;
      Before = &Other;
      HasVoter = HasVoter || Other.Member_.Role_ == MemberRole::Voter;
    }
    if (HasVoter && Each.Member_.Role_ == MemberRole::Learner)
      return ChangeRequested{0, ChangeKind::Promote, Id};
    if (Before)
      return ChangeRequested{0, ChangeKind::Remove, Before->Member_.Id_};
  }
  return std::nullopt;
}

/// Bounds what strangers can cost the leader.
static constexpr std::size_t MaxMembers = 32;

std::optional<ChangeRequested>
replication::planMembers(const std::vector<MemberHealth> &Members,
                         const std::vector<MemberId> &Waiting,
                         std::uint64_t TargetVoters) {
  for (const MemberId &Each : Waiting) {
    const bool IsStranger = std::none_of(
        Members.begin(), Members.end(), [&](const MemberHealth &Known) {
          return Known.Member_.Id_.Name_ == Each.Name_;
        });
    if (IsStranger && Members.size() < MaxMembers)
      return ChangeRequested{0, ChangeKind::AddLearner, Each};
  }
  std::uint64_t Voters = 0;
  const MemberHealth *Gone = nullptr;
  const MemberHealth *Spare = nullptr;
  for (const MemberHealth &Each : Members) {
    const bool IsVoter = Each.Member_.Role_ == MemberRole::Voter;
    Voters += IsVoter ? 1 : 0;
    if (IsVoter && Each.IsUnresponsive_ && !Gone)
      Gone = &Each;
    if (!IsVoter && Each.IsAlive_ && !Spare)
      Spare = &Each;
  }
  const bool IsShort =
      Voters < TargetVoters || (Gone && Voters == TargetVoters);
  if (Spare && IsShort)
    return ChangeRequested{0, ChangeKind::Promote, Spare->Member_.Id_};
  if (Gone && Voters > TargetVoters)
    return ChangeRequested{0, ChangeKind::Remove, Gone->Member_.Id_};
  return std::nullopt;
}
