//===- GroupBootstrap.h - Bootstrap of a group -----------------*- C++ -*-===//
//
// Distinguishes the first start of a group from a member that lost its disk.
// Free of side effects, like the core.
//
// Each member with an empty disk takes a new incarnation. The initial voter
// whose name sorts first, the coordinator, probes all others. It bootstraps
// the group only if all of them reply that they are empty too, and the group
// then consists of exactly the incarnations that replied. By this reply a
// member promises to follow no earlier incarnation of the coordinator, so that
// two bootstraps cannot both find followers. If any member holds a log, the
// group exists already: an empty member then stays outside, without a vote,
// until the leader adds it as a learner by a committed change.
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

/// What this member has stored.
struct LocalState {
  bool IsEmpty_ = true; ///< No log and no term.
  /// The members in the first log entry, while the log still holds it.
  std::vector<Member> InitialMembers_;
};

/// Promise_ must be durable before Messages_ are sent.
struct BootstrapOutputs {
  std::vector<Message> Messages_;
  std::optional<Identity> Promise_;
  std::vector<Member> BootstrapMembers_; ///< The members of the group; empty
                                         ///< until it is bootstrapped.
};

/// Not thread-safe.
class GroupBootstrap {
public:
  /// If MayBootstrap is false, the group exists already and is never
  /// bootstrapped again, whatever the other members reply.
  GroupBootstrap(Identity Owner, std::vector<std::string> InitialVoters,
                 bool MayBootstrap = true);

  /// Probes the other initial voters. Called periodically while this member is
  /// empty.
  BootstrapOutputs ask(const LocalState &Local);

  /// Asks to join again on behalf of a member that holds a log but hears no
  /// leader, as it may have been removed from the group while it was down.
  BootstrapOutputs requestJoin() const;

  /// Drops the join request of a member that is being added. If that fails, the
  /// member asks again.
  void removeJoinRequest(const std::string &Name) { JoinRequests_.erase(Name); }

  /// Handles JoinProbe, JoinReply and BootstrapGroup and ignores other
  /// messages.
  BootstrapOutputs receive(const Message &From, const LocalState &Local);

  /// Members without a log that asked to join: the name and the incarnation
  /// that asked last.
  const std::map<std::string, std::uint64_t> &getJoinRequests() const {
    return JoinRequests_;
  }

private:
  bool isCoordinator() const;
  bool isInitialVoter(const std::string &Name) const;
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
  std::map<std::string, MemberId>
      Empty_; ///< Members that replied that they are empty.
  std::map<std::string, std::uint64_t> JoinRequests_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_GROUPBOOTSTRAP_H
