#include "replication/Rejoin.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Finds the other member of this name; the newest, if there are several.
static const Member *findOther(const std::vector<Member> &Members,
                               const MemberId &Id) {
  const Member *Newest = nullptr;
  for (const Member &Each : Members) {
    bool IsOther = Each.Id_.Name_ == Id.Name_ && Each.Id_ != Id;
    if (IsOther && (!Newest || Each.Id_ > Newest->Id_))
      Newest = &Each;
  }
  return Newest;
}

static bool isMember(const std::vector<Member> &Members, const MemberId &Id) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const Member &Each) { return Each.Id_ == Id; });
}

std::optional<ChangeAsked>
replication::planRejoin(const std::vector<Member> &Members,
                        const std::vector<MemberId> &Waiting) {
  // First, for a disk may be lost again before its member was promoted.
  for (const MemberId &Each : Waiting) {
    const Member *Known = findOther(Members, Each);
    if (Known && Known->Id_ < Each && !isMember(Members, Each))
      return ChangeAsked{0, ChangeKind::AddLearner, Each};
  }
  for (const Member &Each : Members) {
    const Member *Other = findOther(Members, Each.Id_);
    bool IsNewest = Other && Other->Id_ < Each.Id_;
    if (!IsNewest)
      continue;
    bool HasVoter =
        std::any_of(Members.begin(), Members.end(), [&](const Member &Older) {
          return Older.Id_.Name_ == Each.Id_.Name_ && Older.Id_ != Each.Id_ &&
                 Older.Role_ == MemberRole::Voter;
        });
    if (Each.Role_ == MemberRole::Learner && HasVoter)
      return ChangeAsked{0, ChangeKind::Promote, Each.Id_};
    return ChangeAsked{0, ChangeKind::Remove, Other->Id_};
  }
  return std::nullopt;
}

/// Bounds what strangers can cost the leader.
static constexpr std::size_t MostMembers = 32;

std::optional<ChangeAsked>
replication::planMembers(const std::vector<MemberStanding> &Members,
                         const std::vector<MemberId> &Waiting,
                         std::uint64_t TargetVoters) {
  for (const MemberId &Each : Waiting) {
    const bool IsStranger = std::none_of(
        Members.begin(), Members.end(), [&](const MemberStanding &Known) {
          return Known.Member_.Id_.Name_ == Each.Name_;
        });
    if (IsStranger && Members.size() < MostMembers)
      return ChangeAsked{0, ChangeKind::AddLearner, Each};
  }
  std::uint64_t Voters = 0;
  const MemberStanding *Gone = nullptr;
  const MemberStanding *Spare = nullptr;
  for (const MemberStanding &Each : Members) {
    const bool IsVoter = Each.Member_.Role_ == MemberRole::Voter;
    Voters += IsVoter ? 1 : 0;
    if (IsVoter && Each.IsGone_ && !Gone)
      Gone = &Each;
    if (!IsVoter && Each.IsAlive_ && !Spare)
      Spare = &Each;
  }
  const bool IsShort =
      Voters < TargetVoters || (Gone && Voters == TargetVoters);
  if (Spare && IsShort)
    return ChangeAsked{0, ChangeKind::Promote, Spare->Member_.Id_};
  if (Gone && Voters > TargetVoters)
    return ChangeAsked{0, ChangeKind::Remove, Gone->Member_.Id_};
  return std::nullopt;
}
