//===- MajorityBootstrap.h - Bootstrap by a majority ------------*- C++ -*-===//
//
// The initial voters agree on the initial members of their group by
// single-decree Paxos, so that the group is bootstrapped although some of them
// are down or never come back. At most one list of members is ever chosen, no
// matter how many members propose. Free of side effects, like the core.
//
// A member takes part only if its disk records that this is its first start: a
// member that lost its disk has forgotten its promises and must not make new
// ones. Where a first start cannot be told from a lost disk, GroupBootstrap is
// used, which requires a reply of every initial voter.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_MAJORITYBOOTSTRAP_H
#define TULIPWEIR_REPLICATION_MAJORITYBOOTSTRAP_H

#include "replication/GroupBootstrap.h"
#include "replication/LogMessages.h"
#include "replication/LogTypes.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tulipweir::replication {

struct MajorityBootstrapSettings {
  /// A proposer waits this long for the answers of all initial voters. Then it
  /// goes on with those that have answered, if they are a majority.
  Duration GatherTime_{};
  /// A proposer begins anew, with a higher ballot, after once to twice this
  /// time, and after longer each time. Each initial voter waits as long for the
  /// one before it.
  Duration AttemptTime_{};
};

/// State_ must be durable before Messages_ are sent and ChosenMembers_ is used.
struct MajorityBootstrapOutputs {
  std::vector<Message> Messages_;
  std::optional<BootstrapState> State_;
  /// The initial members, if they are known now and include this member.
  std::vector<Member> ChosenMembers_;
};

/// Not thread-safe.
class MajorityBootstrap {
public:
  /// The member takes part if State.InitialVoters_ names it.
  MajorityBootstrap(MemberId Self, BootstrapState State,
                    const MajorityBootstrapSettings &Settings, TimePoint Start);

  /// Proposes if it is this member's turn, and repeats unanswered requests.
  /// Called periodically while this member is empty.
  MajorityBootstrapOutputs tick(TimePoint Now, const LocalState &Local);

  /// Handles the messages of this protocol, and ignores others.
  MajorityBootstrapOutputs receive(const Message &From, TimePoint Now,
                                   const LocalState &Local);

private:
  /// This member's current attempt to bootstrap the group.
  struct Attempt {
    std::uint64_t Ballot_ = 0;
    TimePoint Begin_{};
    /// The initial voters that have promised, and the latest proposal that any
    /// of them had accepted before.
    std::map<std::string, MemberId> Promised_;
    std::uint64_t EarlierBallot_ = 0;
    std::vector<Member> EarlierMembers_;
    /// The proposal; empty while promises are collected.
    std::vector<Member> Members_;
    std::map<std::string, MemberId> Accepted_;
  };

  bool isMajority(std::size_t Count) const;
  Duration getAttemptTime() const;
  void beginAttempt(TimePoint Now);
  void advance(TimePoint Now, MajorityBootstrapOutputs &Out);
  bool isReadyToPropose(TimePoint Now) const;
  void propose(MajorityBootstrapOutputs &Out);
  void announce(MajorityBootstrapOutputs &Out);
  void repeatRequests(MajorityBootstrapOutputs &Out) const;

  // As an initial voter.
  BootstrapPromise promise(const BootstrapPrepare &Request,
                           MajorityBootstrapOutputs &Out);
  std::optional<BootstrapAcceptance> accept(const BootstrapProposal &Request,
                                            MajorityBootstrapOutputs &Out);
  // As the proposer.
  void recordPromise(const MemberId &From, const BootstrapPromise &Answer);
  void recordAcceptance(const MemberId &From,
                        const BootstrapAcceptance &Answer);

  Message make(const MemberId &To, decltype(Message::Body_) Body) const;

  const MemberId Self_;
  const MajorityBootstrapSettings Settings_;
  BootstrapState State_; ///< Its initial voters are sorted.
  /// This member's position among the initial voters, unless it is none.
  std::optional<std::size_t> Rank_;
  std::mt19937_64 Random_;
  std::uint64_t HighestBallot_; ///< The highest ballot heard of.
  TimePoint NextAttempt_;
  unsigned Attempts_ = 0; ///< The number of attempts begun.
  std::optional<Attempt> Attempt_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_MAJORITYBOOTSTRAP_H
