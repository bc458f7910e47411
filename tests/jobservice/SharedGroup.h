//===- SharedGroup.h - A replicated group with forced elections -*- C++ -*-===//
//
// Replicates a log to the state machines of several members. A test decides
// who leads, when proposals are committed, which members are reachable and who
// is a member. A member that cannot be reached or was removed keeps its old
// view, and a leader among them keeps its lease until that expires. A leader
// has a lease once an entry of its term is committed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_SHAREDGROUP_H
#define TULIPWEIR_TESTS_JOBSERVICE_SHAREDGROUP_H

#include "tulipweir/jobs/JobStateMachine.h"
#include "tulipweir/replication/Replica.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobservice::test {

/// Not thread-safe.
class SharedGroup {
public:
  SharedGroup(const Clock &Time, std::size_t Members);
  static std::string getName(std::size_t Member) {
    return "member" + std::to_string(Member);
  }

  // Commands.

  /// Starts a member's process: its machine receives the whole log. Machine
  /// must live until stop.
  std::unique_ptr<replication::Replica> start(std::size_t Member,
                                              jobs::JobStateMachine &Machine);
  /// Ends a member's process. The callbacks of its proposals never run.
  void stop(std::size_t Member);
  void setReachable(std::size_t Member, bool IsReachable);
  /// Makes the member the leader of a new term. Open proposals of the previous
  /// leader are committed or lost.
  void elect(std::size_t Member, bool KeepsProposals);
  /// Ends the current term without a new leader.
  void endTerm(bool KeepsProposals);
  /// Commits the open proposals if the leader is reachable.
  void commit();
  /// Appends a change that adds or removes a member. Does nothing while another
  /// change is open or the leader cannot commit.
  void changeMember(std::size_t Member, bool IsAdded);

  // Queries.

  std::optional<std::size_t> findLeader() const { return Leader_; }
  bool isReachable(std::size_t Member) const;
  /// Whether the member can be elected: it is reachable, and no leader that
  /// cannot be reached has a lease.
  bool isElectable(std::size_t Member) const;
  /// Whether the newest group has the member.
  bool isMember(std::size_t Member) const {
    return Newest_.Numbers_.count(Member) != 0;
  }

private:
  class Handle;

  struct Proposal {
    std::size_t Member_ = 0;
    std::uint64_t Term_ = 0;
    std::string Command_;
    replication::Replica::AppliedCallback Done_;
  };
  struct Entry {
    std::uint64_t Term_ = 0;
    std::string Command_;
  };
  /// The group as of a log entry.
  struct Membership {
    std::set<std::size_t> Numbers_;
    std::uint64_t Index_ = 0;
  };
  struct MemberState {
    jobs::JobStateMachine *Machine_ = nullptr; ///< Null while stopped.
    std::size_t Applied_ = 0;
    bool IsReachable_ = true;
    TimePoint UnreachableSince_{};
    // The member's view.
    std::optional<std::size_t> Leader_;
    std::uint64_t Term_ = 0;
    TimePoint LeaderSince_{};
    std::uint64_t PreviousTerm_ = 0;
    std::uint64_t CommittedTerm_ = 0; ///< Led with a committed entry.
    Membership Newest_;
    Membership Committed_;
  };

  void propose(std::size_t Member, std::string Command,
               replication::Replica::AppliedCallback Done);
  std::optional<std::uint64_t> findLeaseTerm(std::size_t Member,
                                             TimePoint Now) const;
  replication::ReplicaStatus getStatus(std::size_t Member) const;
  std::string applyNext(std::size_t Member);
  void catchUp(std::size_t Member);
  void updateViews();
  void updateView(std::size_t Member);
  void resolveProposals(bool KeepsProposals);
  void failProposals(std::size_t Member);

  const Clock &Time_;
  std::vector<MemberState> Members_;
  std::vector<Entry> Log_;
  std::vector<Proposal> Proposals_;
  std::optional<std::size_t> Leader_;
  std::uint64_t Term_ = 0;
  std::uint64_t LastLogTerm_ = 0;
  Membership Newest_;
  Membership Committed_;
  std::uint64_t LastMembersIndex_ = 1;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_SHAREDGROUP_H
