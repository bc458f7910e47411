#include "jobservice/ReportWitness.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Requests are batched for this time; a commit takes several times as long.
static constexpr Duration BatchDelay = 4ms;

static bool contains(const std::vector<replication::Member> &Members,
                     const std::string &Name) {
  return std::any_of(Members.begin(), Members.end(),
                     [&Name](const replication::Member &Member) {
                       return Member.Id_.Name_ == Name;
                     });
}

bool jobservice::isSettledMember(const replication::ReplicaStatus &Status,
                                 const std::string &Name) {
  return contains(Status.Members_, Name) &&
         contains(Status.CommittedMembers_, Name);
}

/// Whether no other member can become the leader. A member that becomes a voter
/// later sees that the group has changed since.
static bool isSoleVoter(const replication::ReplicaStatus &Status) {
  return std::count_if(Status.Members_.begin(), Status.Members_.end(),
                       [](const replication::Member &Member) {
                         return Member.Role_ == replication::MemberRole::Voter;
                       }) <= 1;
}

ReportWitness::ReportWitness(std::string Self, Executor &Strand,
                             GetStatus FindStatus, SendRequest Send)
    : Self_(std::move(Self)), Strand_(Strand),
      FindStatus_(std::move(FindStatus)), SendRequest_(std::move(Send)) {}

void ReportWitness::record(const std::string &ServerId, Done Reply) {
  Waiting_.emplace_back(ServerId, std::move(Reply));
  if (Waiting_.size() == 1)
    Strand_.postAfter(BatchDelay, [Weak = weak_from_this()] {
      if (const std::shared_ptr<ReportWitness> Self = Weak.lock())
        Self->send();
    });
}

static std::vector<std::string>
listCandidates(const replication::ReplicaStatus &Status) {
  std::vector<std::string> Names;
  for (const std::string &Name : Status.Responsive_)
    if (isSettledMember(Status, Name))
      Names.push_back(Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// Returns the member to ask; empty if there is none.
std::string
ReportWitness::chooseMember(const replication::ReplicaStatus &Status) const {
  const std::vector<std::string> Names = listCandidates(Status);
  const auto Next = std::lower_bound(Names.begin(), Names.end(), Preferred_);
  if (Next != Names.end())
    return *Next;
  return Names.empty() ? "" : Names.front();
}

/// After a failure the members are asked in turn.
void ReportWitness::recordResult(const std::string &Member, bool IsRecorded) {
  Preferred_ = IsRecorded ? Member : Member + '\0';
}

void ReportWitness::send() {
  const replication::ReplicaStatus Status = FindStatus_();
  Batch Sent = std::exchange(Waiting_, {});
  const std::string Member = chooseMember(Status);
  if (Member.empty()) {
    const bool NeedsNone = isSoleVoter(Status);
    for (const auto &[Id, Reply] : Sent)
      Reply(NeedsNone);
    return;
  }
  jobs::WitnessRequest Request{Self_, {}};
  for (const auto &[Id, Reply] : Sent)
    Request.Servers_.push_back(Id);
  SendRequest_(Member, Request,
               [Weak = weak_from_this(), Member,
                Sent = std::move(Sent)](bool IsRecorded) {
                 const std::shared_ptr<ReportWitness> Self = Weak.lock();
                 if (Self)
                   Self->recordResult(Member, IsRecorded);
                 for (const auto &[Id, Reply] : Sent)
                   Reply(IsRecorded);
               });
}
