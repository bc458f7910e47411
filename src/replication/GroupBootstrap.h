//===- GroupBootstrap.h - The first start of a group ------------*- C++ -*-===//
//
// Tells a group's first start from a member that lost its disk. Pure, like the
// core.
//
// Every member with nothing on its disk takes a fresh incarnation. The first
// voter by name, the founder, asks all others what they hold. Only if every one
// of them answers "nothing" does it found the group, of exactly the
// incarnations that answered. With that answer a member promises to follow no
// earlier incarnation of the founder, so two foundings cannot both find
// followers. Whoever holds anything answers so, and then the group exists
// already: a member with nothing waits, as an outsider without a vote, until
// the leader adds it as a learner by a committed change.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_GROUPBOOTSTRAP_H
#define TULIPWEIR_REPLICATION_GROUPBOOTSTRAP_H

#include "replication/LogMessages.h"
#include "replication/LogStorage.h"

#include <map>
#include <optional>
#include <set>

namespace tulipweir::replication {

/// What this member holds at the moment.
struct LocalState {
  bool IsEmpty_ = true; ///< No log and no term.
  /// The founding entry's members, while the log still has it.
  std::vector<Member> InitialMembers_;
};

/// Promise_ must be durable before Messages_ are sent.
struct BootstrapOutputs {
  std::vector<Message> Messages_;
  std::optional<Identity> Promise_;
  std::vector<Member>
      BootstrapMembers_; ///< Not empty: the group has these members.
};

/// Not thread-safe.
class GroupBootstrap {
public:
  /// MayBootstrap is false where the group was founded before, whoever is
  /// asked.
  GroupBootstrap(Identity Owner, std::vector<std::string> InitialVoters,
                 bool MayBootstrap = true);

  /// Called while this member holds nothing, every now and then.
  BootstrapOutputs ask(const LocalState &Local);

  /// Asks to be taken in again, for a member that holds a log but hears no
  /// leader: it may have been removed while it was away.
  BootstrapOutputs requestJoin() const;

  /// The member is being taken in; if that comes to nothing, it asks again.
  void removeJoinRequest(const std::string &Name) { JoinRequests_.erase(Name); }

  /// Takes JoinProbe, JoinReply and BootstrapGroup; others do nothing.
  BootstrapOutputs receive(const Message &From, const LocalState &Local);

  /// Members without a log that have asked, by name the incarnation that asked
  /// last.
  const std::map<std::string, std::uint64_t> &getJoinRequests() const {
    return JoinRequests_;
  }

private:
  bool isCoordinator() const;
  bool isFirstVoter(const std::string &Name) const;
  void tryBootstrap(BootstrapOutputs &Out);
  void answerProbe(const Message &From, const LocalState &Local,
                   BootstrapOutputs &Out);
  void handleReply(const Message &From, bool IsEmpty, BootstrapOutputs &Out);
  void acceptGroup(const Message &From, const BootstrapGroup &Body,
                   BootstrapOutputs &Out);
  Message make(const MemberId &To, decltype(Message::Body_) Body) const;

  const bool MayBootstrap_;
  Identity Owner_;
  std::set<std::string> InitialVoters_;
  std::map<std::string, MemberId> Empty_; ///< Who answered "nothing".
  std::map<std::string, std::uint64_t> JoinRequests_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_GROUPBOOTSTRAP_H
