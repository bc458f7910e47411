#include "replication/Rejoin.h"

#include <algorithm>
#include <map>
#include <string>

using namespace tulipweir;
using namespace tulipweir::replication;

/// Bounds the load that unknown members can put on the leader.
static constexpr std::size_t MaxMembers = 32;

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

namespace {

/// The voters by place. Members whose place is unknown count as one place,
/// which is never too full.
class VoterSpread {
public:
  VoterSpread(const std::vector<MemberHealth> &Members,
              const MemberPlaces &Places)
      : Places_(Places) {
    for (const MemberHealth &Health : Members)
      if (Health.Member_.Role_ == MemberRole::Voter) {
        ++Voters_;
        ++ByPlace_[findPlace(Health)];
      }
  }

  std::uint64_t countVoters() const { return Voters_; }
  /// Returns the number of voters at the member's place. Members of an unknown
  /// place come after all others.
  std::uint64_t countBeside(const MemberHealth &Health) const {
    const std::string &Place = findPlace(Health);
    if (Place.empty())
      return Voters_ + 1;
    const auto It = ByPlace_.find(Place);
    return It == ByPlace_.end() ? 0 : It->second;
  }
  /// Returns whether the loss of the member's place takes the majority.
  bool isTooFull(const MemberHealth &Health) const {
    return !findPlace(Health).empty() && takesMajority(countBeside(Health));
  }
  /// Returns whether the place would stay small enough with one voter more.
  bool hasRoom(const MemberHealth &Health) const {
    return !findPlace(Health).empty() &&
           !takesMajority(countBeside(Health) + 1);
  }

private:
  bool takesMajority(std::uint64_t Lost) const {
    return 2 * (Voters_ - std::min(Lost, Voters_)) <= Voters_;
  }
  const std::string &findPlace(const MemberHealth &Health) const {
    static const std::string Unknown;
    const auto It = Places_.find(Health.Member_.Id_.Name_);
    return It == Places_.end() ? Unknown : It->second;
  }

  const MemberPlaces &Places_;
  std::uint64_t Voters_ = 0;
  std::map<std::string, std::uint64_t> ByPlace_;
};

} // namespace

/// Replaces a voter at a place whose loss would take the majority, by a
/// promotion and then a removal.
static std::optional<ChangeRequested>
planSpread(const std::vector<MemberHealth> &Members, const VoterSpread &Spread,
           const MemberHealth *Spare, std::uint64_t TargetVoters) {
  const auto TooFull = std::find_if(
      Members.begin(), Members.end(), [&](const MemberHealth &Health) {
        return Health.Member_.Role_ == MemberRole::Voter && !Health.IsSelf_ &&
               Spread.isTooFull(Health);
      });
  if (TooFull == Members.end())
    return std::nullopt;
  if (Spread.countVoters() > TargetVoters)
    return ChangeRequested{0, ChangeKind::Remove, TooFull->Member_.Id_};
  if (Spare && Spread.hasRoom(*Spare))
    return ChangeRequested{0, ChangeKind::Promote, Spare->Member_.Id_};
  return std::nullopt;
}

std::optional<ChangeRequested>
replication::planMembers(const std::vector<MemberHealth> &Members,
                         const std::vector<MemberId> &JoinRequests,
                         std::uint64_t TargetVoters,
                         const MemberPlaces &Places) {
  for (const MemberId &Id : JoinRequests) {
    const bool IsUnknown = std::none_of(
        Members.begin(), Members.end(), [&](const MemberHealth &Known) {
          return Known.Member_.Id_.Name_ == Id.Name_;
        });
    if (IsUnknown && Members.size() < MaxMembers)
      return ChangeRequested{0, ChangeKind::AddLearner, Id};
  }
  const VoterSpread Spread(Members, Places);
  const std::uint64_t Voters = Spread.countVoters();
  const MemberHealth *Unresponsive = nullptr;
  const MemberHealth *Spare = nullptr;
  for (const MemberHealth &Health : Members) {
    const bool IsVoter = Health.Member_.Role_ == MemberRole::Voter;
    if (IsVoter && Health.IsUnresponsive_ && !Unresponsive)
      Unresponsive = &Health;
    const bool IsBetter =
        !Spare || Spread.countBeside(Health) < Spread.countBeside(*Spare);
    if (!IsVoter && Health.IsAlive_ && IsBetter)
      Spare = &Health;
  }
  const bool IsShort =
      Voters < TargetVoters || (Unresponsive && Voters == TargetVoters);
  if (Spare && IsShort)
    return ChangeRequested{0, ChangeKind::Promote, Spare->Member_.Id_};
  if (Unresponsive && Voters > TargetVoters)
    return ChangeRequested{0, ChangeKind::Remove, Unresponsive->Member_.Id_};
  if (Unresponsive)
    return std::nullopt;
  return planSpread(Members, Spread, Spare, TargetVoters);
}
