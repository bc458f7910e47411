#include "replication/GroupFounder.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::replication;

GroupFounder::GroupFounder(Identity Owner, std::vector<std::string> FirstVoters,
                           bool MayFound)
    : MayFound_(MayFound), Owner_(std::move(Owner)),
      FirstVoters_(FirstVoters.begin(), FirstVoters.end()) {}

bool GroupFounder::isFounder() const {
  return !FirstVoters_.empty() && *FirstVoters_.begin() == Owner_.Self_.Name_;
}

bool GroupFounder::isFirstVoter(const std::string &Name) const {
  return FirstVoters_.count(Name) != 0;
}

Message GroupFounder::make(const MemberId &To,
                           decltype(Message::Body_) Body) const {
  return Message{Owner_.Self_, To, 0, std::move(Body)};
}

FounderOutputs GroupFounder::seek() const {
  FounderOutputs Out;
  for (const std::string &Name : FirstVoters_)
    if (Name != Owner_.Self_.Name_)
      Out.Messages_.push_back(make(MemberId{Name, 0}, JoinProbe{}));
  return Out;
}

FounderOutputs GroupFounder::ask(const Holdings &Held) {
  if (!Held.IsEmpty_)
    return {};
  FounderOutputs Out = seek();
  tryToFound(Out);
  return Out;
}

FounderOutputs GroupFounder::receive(const Message &From,
                                     const Holdings &Held) {
  FounderOutputs Out;
  // An answer to an earlier incarnation of ours promises nothing to this one.
  bool IsForSelf = From.To_.Name_ == Owner_.Self_.Name_ &&
                   (From.To_.Incarnation_ == 0 ||
                    From.To_.Incarnation_ == Owner_.Self_.Incarnation_);
  if (!IsForSelf)
    return Out;
  if (std::holds_alternative<JoinProbe>(From.Body_))
    answer(From, Held, Out);
  const auto *Reply = std::get_if<JoinReply>(&From.Body_);
  if (Reply && Held.IsEmpty_)
    noteReply(From, Reply->Empty_, Out);
  const auto *Group = std::get_if<FoundGroup>(&From.Body_);
  if (Group && Held.IsEmpty_)
    adopt(From, *Group, Out);
  return Out;
}

void GroupFounder::answer(const Message &From, const Holdings &Held,
                          FounderOutputs &Out) {
  const MemberId &Asker = From.From_;
  // The latest to ask: whoever still waits asks again.
  Waiting_[Asker.Name_] = Asker.Incarnation_;
  const std::vector<Member> &First = Held.FirstMembers_;
  bool IsFirst = std::find(First.begin(), First.end(),
                           Member{Asker, MemberRole::Voter}) != First.end();
  if (isFounder() && IsFirst) {
    Out.Messages_.push_back(make(Asker, FoundGroup{First}));
    return;
  }
  bool IsFromFounder =
      !FirstVoters_.empty() && Asker.Name_ == *FirstVoters_.begin();
  if (!Held.IsEmpty_ || !IsFromFounder) {
    if (!Held.IsEmpty_)
      Out.Messages_.push_back(make(Asker, JoinReply{false}));
    return;
  }
  if (Asker.Incarnation_ < Owner_.FounderPromise_)
    return;
  if (Asker.Incarnation_ > Owner_.FounderPromise_) {
    Owner_.FounderPromise_ = Asker.Incarnation_;
    Out.Promise_ = Owner_;
  }
  Out.Messages_.push_back(make(Asker, JoinReply{true}));
}

void GroupFounder::noteReply(const Message &From, bool IsEmpty,
                             FounderOutputs &Out) {
  if (!isFounder())
    return;
  if (IsEmpty)
    Empty_[From.From_.Name_] = From.From_;
  else
    Empty_.erase(From.From_.Name_);
  tryToFound(Out);
}

void GroupFounder::tryToFound(FounderOutputs &Out) {
  if (!isFounder() || !MayFound_)
    return;
  std::vector<Member> Members{{Owner_.Self_, MemberRole::Voter}};
  for (const auto &[Name, Id] : Empty_)
    if (isFirstVoter(Name))
      Members.push_back({Id, MemberRole::Voter});
  if (Members.size() != FirstVoters_.size())
    return;
  std::sort(Members.begin(), Members.end());
  for (const Member &Each : Members)
    if (Each.Id_ != Owner_.Self_)
      Out.Messages_.push_back(make(Each.Id_, FoundGroup{Members}));
  Out.Founded_ = std::move(Members);
}

void GroupFounder::adopt(const Message &From, const FoundGroup &Body,
                         FounderOutputs &Out) {
  bool IsPromised = From.From_.Incarnation_ == Owner_.FounderPromise_ &&
                    From.From_.Name_ == *FirstVoters_.begin();
  bool IsMember =
      std::find(Body.Members_.begin(), Body.Members_.end(),
                Member{Owner_.Self_, MemberRole::Voter}) != Body.Members_.end();
  if (IsPromised && IsMember)
    Out.Founded_ = Body.Members_;
}
