#include "replication/GroupBootstrap.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

GroupBootstrap::GroupBootstrap(Identity Owner,
                               std::vector<std::string> InitialVoters,
                               bool MayBootstrap)
    : MayBootstrap_(MayBootstrap), Owner_(std::move(Owner)),
      InitialVoters_(InitialVoters.begin(), InitialVoters.end()) {}

bool GroupBootstrap::isCoordinator() const {
  return !InitialVoters_.empty() &&
         *InitialVoters_.begin() == Owner_.Self_.Name_;
}

bool GroupBootstrap::isInitialVoter(const std::string &Name) const {
  return InitialVoters_.count(Name) != 0;
}

Message GroupBootstrap::make(const MemberId &To,
                             decltype(Message::Body_) Body) const {
  return Message{Owner_.Self_, To, 0, std::move(Body)};
}

BootstrapOutputs GroupBootstrap::requestJoin() const {
  BootstrapOutputs Out;
  for (const std::string &Name : InitialVoters_)
    if (Name != Owner_.Self_.Name_)
      Out.Messages_.push_back(make(MemberId{Name, 0}, JoinProbe{}));
  return Out;
}

BootstrapOutputs GroupBootstrap::ask(const LocalState &Local) {
  if (!Local.IsEmpty_)
    return {};
  BootstrapOutputs Out = requestJoin();
  tryBootstrap(Out);
  return Out;
}

BootstrapOutputs GroupBootstrap::receive(const Message &From,
                                         const LocalState &Local) {
  BootstrapOutputs Out;
  // A reply to an earlier incarnation of this member is no promise to this one.
  bool IsForSelf = From.To_.Name_ == Owner_.Self_.Name_ &&
                   (From.To_.Incarnation_ == 0 ||
                    From.To_.Incarnation_ == Owner_.Self_.Incarnation_);
  if (!IsForSelf)
    return Out;
  if (std::holds_alternative<JoinProbe>(From.Body_))
    answerProbe(From, Local, Out);
  const auto *Reply = std::get_if<JoinReply>(&From.Body_);
  if (Reply && Local.IsEmpty_)
    handleReply(From, Reply->Empty_, Out);
  const auto *Group = std::get_if<BootstrapGroup>(&From.Body_);
  if (Group && Local.IsEmpty_)
    acceptGroup(From, *Group, Out);
  return Out;
}

void GroupBootstrap::answerProbe(const Message &From, const LocalState &Local,
                                 BootstrapOutputs &Out) {
  const MemberId &Asker = From.From_;
  // Only the incarnation that asked last is kept; a live one asks again.
  JoinRequests_[Asker.Name_] = Asker.Incarnation_;
  const std::vector<Member> &First = Local.InitialMembers_;
  const bool IsFirst = hasVoter(First, Asker);
  if (isCoordinator() && IsFirst) {
    Out.Messages_.push_back(make(Asker, BootstrapGroup{First}));
    return;
  }
  bool IsFromCoordinator =
      !InitialVoters_.empty() && Asker.Name_ == *InitialVoters_.begin();
  if (!Local.IsEmpty_ || !IsFromCoordinator) {
    if (!Local.IsEmpty_)
      Out.Messages_.push_back(make(Asker, JoinReply{false}));
    return;
  }
  if (Asker.Incarnation_ < Owner_.CoordinatorPromise_)
    return;
  if (Asker.Incarnation_ > Owner_.CoordinatorPromise_) {
    Owner_.CoordinatorPromise_ = Asker.Incarnation_;
    Out.Promise_ = Owner_;
  }
  Out.Messages_.push_back(make(Asker, JoinReply{true}));
}

void GroupBootstrap::handleReply(const Message &From, bool IsEmpty,
                                 BootstrapOutputs &Out) {
  if (!isCoordinator())
    return;
  if (IsEmpty)
    Empty_[From.From_.Name_] = From.From_;
  else
    Empty_.erase(From.From_.Name_);
  tryBootstrap(Out);
}

void GroupBootstrap::tryBootstrap(BootstrapOutputs &Out) {
  if (!isCoordinator() || !MayBootstrap_)
    return;
  std::vector<Member> Members{{Owner_.Self_, MemberRole::Voter}};
  for (const auto &[Name, Id] : Empty_)
    if (isInitialVoter(Name))
      Members.push_back({Id, MemberRole::Voter});
  if (Members.size() != InitialVoters_.size())
    return;
  std::sort(Members.begin(), Members.end());
  for (const Member &M : Members)
    if (M.Id_ != Owner_.Self_)
      Out.Messages_.push_back(make(M.Id_, BootstrapGroup{Members}));
  Out.BootstrapMembers_ = std::move(Members);
}

void GroupBootstrap::acceptGroup(const Message &From,
                                 const BootstrapGroup &Body,
                                 BootstrapOutputs &Out) {
  bool IsPromised = From.From_.Incarnation_ == Owner_.CoordinatorPromise_ &&
                    From.From_.Name_ == *InitialVoters_.begin();
  const bool IsMember = hasVoter(Body.Members_, Owner_.Self_);
  if (IsPromised && IsMember)
    Out.BootstrapMembers_ = Body.Members_;
}
