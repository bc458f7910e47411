#include "replication/Rejoin.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Finds a member of the same name and an earlier incarnation.
static const Member *findEarlier(const std::vector<Member> &Members,
                                 const MemberId &Id) {
  auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const Member &Each) {
        return Each.Id_.Name_ == Id.Name_ &&
               Each.Id_.Incarnation_ < Id.Incarnation_;
      });
  return Found == Members.end() ? nullptr : &*Found;
}

static bool isMember(const std::vector<Member> &Members, const MemberId &Id) {
  return std::any_of(Members.begin(), Members.end(),
                     [&](const Member &Each) { return Each.Id_ == Id; });
}

std::optional<ChangeAsked>
replication::planRejoin(const std::vector<Member> &Members,
                        const std::vector<MemberId> &Waiting) {
  for (const Member &Each : Members) {
    const Member *Earlier = findEarlier(Members, Each.Id_);
    if (!Earlier)
      continue;
    bool IsToVote = Each.Role_ == MemberRole::Learner &&
                    Earlier->Role_ == MemberRole::Voter;
    if (IsToVote)
      return ChangeAsked{0, ChangeKind::Promote, Each.Id_};
    return ChangeAsked{0, ChangeKind::Remove, Earlier->Id_};
  }
  for (const MemberId &Each : Waiting)
    if (!isMember(Members, Each) && findEarlier(Members, Each))
      return ChangeAsked{0, ChangeKind::AddLearner, Each};
  return std::nullopt;
}
