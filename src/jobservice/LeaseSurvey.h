//===- LeaseSurvey.h - Finds the ends of earlier leases ---------*- C++ -*-===//
//
// A new leader asks every other member when it last received a report of each
// server, as every lease counts from at or before that time. A member that
// does not answer may have received reports until the new leader's begin, with
// one exception: what the leader before received itself, other members have
// recorded, so only its reports from before its own leadership are unknown.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LEASESURVEY_H
#define TULIPWEIR_SRC_JOBSERVICE_LEASESURVEY_H

#include "jobservice/HeardServers.h"
#include "tulipweir/jobs/LeaseMessages.h"
#include "tulipweir/jobs/ReportRelays.h"
#include "tulipweir/replication/Replica.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tulipweir::jobservice {

/// All members are called on one executor, and callbacks run there.
class LeaseSurvey {
public:
  using FoundBounds = std::function<void(const jobs::LeaseBounds &)>;
  using Reply = std::function<void(const Outcome<jobs::LeaseQueryReply> &)>;
  /// Sends a query to a member. Calls back once, on the executor.
  using SendQuery = std::function<void(const std::string &Member,
                                       const jobs::LeaseQuery &, Reply)>;
  /// Returns the status of this member's replica.
  using GetStatus = std::function<replication::ReplicaStatus()>;

  /// Self is this member's name. Heard and Time must outlive it.
  LeaseSurvey(std::string Self, const Clock &Time, GetStatus FindStatus,
              const HeardServers &Heard, SendQuery Send);

  // Commands.

  /// Asks the other members as the new leader of Term. Found is called each
  /// time the bounds may have become tighter, as long as Term is led.
  void start(std::uint64_t Term, FoundBounds Found);
  /// Records that another member leads a term and asks about leases.
  void recordLeader(const jobs::LeaseQuery &Query);
  /// Asks again where no answer has come, tells members that have started since
  /// who leads, and records changes of the members. Called periodically.
  void poll();

private:
  struct Answer {
    TimePoint MemorySince_;
    std::vector<std::pair<std::string, TimePoint>> HeardAt_;
  };
  /// The questions of one term.
  struct Round {
    std::uint64_t Term_ = 0;
    /// The term of the last leader before that may have granted leases.
    std::uint64_t PreviousTerm_ = 0;
    TimePoint StartedAt_;
    FoundBounds Found_;
    /// The answers by member; empty while there is none.
    std::map<std::string, std::optional<Answer>> Answers_;
  };
  /// Another member that asked as the leader of a term.
  struct KnownLeader {
    std::string Name_;
    std::uint64_t Term_ = 0;
    TimePoint SeenAt_;
  };

  void recordChange(const replication::ReplicaStatus &Status);
  void ask(const std::string &Member);
  void sendNotices(const replication::ReplicaStatus &Status);
  void handleReply(const std::string &Member,
                   const Outcome<jobs::LeaseQueryReply> &Result);
  TimePoint getUnknownUntil(const std::string &Member,
                            const std::optional<Answer> &Received) const;
  jobs::LeaseBounds computeBounds() const;

  const std::string Self_;
  const Clock &Time_;
  const GetStatus FindStatus_;
  const HeardServers &Heard_;
  const SendQuery SendQuery_;
  std::optional<Round> Round_;
  std::uint64_t LedTerm_ = 0; ///< The last term that this member has led.
  TimePoint NextNotice_{};
  std::optional<KnownLeader> LastLeader_; ///< The one of the highest term.
  std::uint64_t MembersIndex_ = 0;
  std::vector<replication::Member> Members_;
  /// When the members last changed. A member that was removed is not asked.
  TimePoint MembersChangedAt_;
  /// Invalidates callbacks that run after destruction.
  std::shared_ptr<LeaseSurvey *> Alive_ = std::make_shared<LeaseSurvey *>(this);
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LEASESURVEY_H
