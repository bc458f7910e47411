//===- ServerBoard.h - What a leader knows of live servers -----*- C++ -*-===//
//
// Everything about backend servers that is not in the log: when each was last
// heard, until when work on it may still run, what it last reported. A new
// leader begins with nothing and grants every server the longest lease that an
// earlier leader can have given.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERBOARD_H
#define TULIPWEIR_SRC_JOBS_SERVERBOARD_H

#include "tulipweir/core/Time.h"
#include "tulipweir/jobs/JobRegistry.h"
#include "tulipweir/jobs/ServerReport.h"

#include <map>
#include <optional>

namespace tulipweir::jobs {

/// How a run on a server gets on.
struct RunProgress {
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 0;
  TimePoint SeenAt_{};    ///< When it was first reported.
  TimePoint ChangedAt_{}; ///< When its percent last changed.
};

struct PaceSent {
  std::uint64_t Run_ = 0;
  std::uint64_t Percent_ = 100;
  TimePoint At_{};
};

struct ServerLive {
  std::uint64_t LastSequence_ = 0;
  TimePoint LastHeard_{};
  /// Nothing that it was given runs after that.
  TimePoint LeaseEnd_{};
  bool IsDraining_ = false;
  /// Its removal is proposed: it gets no lease until that is applied.
  bool IsRemoving_ = false;
  /// Its VM is next for maintenance: it is emptied, as far as jobs allow.
  bool IsEmptying_ = false;
  /// Its VM was emptied at some time: the server may go without notice.
  bool WasEmptying_ = false;
  /// A report is being handled; the next one waits for nothing of it.
  TimePoint NoStartsUntil_{};
  std::vector<RunningTask> Running_;
  std::vector<RunProgress> Progress_; ///< Of these, in their order.
  // The same of the report before.
  std::vector<RunningTask> RunningBefore_;
  std::vector<RunProgress> ProgressBefore_;
  /// Runs may go on there that the book does not place there.
  bool MayHaveUnplaced_ = true;
  /// Runs that were ordered to stop in an earlier answer.
  std::map<TaskKey, std::uint64_t> StopsSent_;
  /// The last pace that each run was told, and when.
  std::map<TaskKey, PaceSent> PacesSent_;

  /// How the task got on by the last report, or by the one before that;
  /// nullptr if it was not in it.
  const RunProgress *findProgress(const TaskKey &Task) const;
  const RunProgress *findProgressBefore(const TaskKey &Task) const;
  /// How long its reports have named the run; zero if none has.
  Duration getSeenFor(const TaskKey &Task, std::uint64_t Run) const;
  /// Whether it is there to stay, for all that is known.
  bool isStaying() const {
    return !IsDraining_ && !IsRemoving_ && !IsEmptying_;
  }
};

/// Not thread-safe.
class ServerBoard {
public:
  /// Begins anew: all servers of the book count as heard now, with a lease to
  /// the end of Lease from now.
  void reset(const JobRegistry &Book, TimePoint Now, Duration Lease);

  /// Takes a report in; false if a later one was seen before. A server that
  /// was not known counts as promised Lease from now: its registration may
  /// take long to be stored, and until then no answer extends it.
  bool note(const ServerReport &Report, TimePoint Now, Duration Lease);
  void extendLease(const std::string &Id, TimePoint End);
  ServerLive *find(const std::string &Id);
  const ServerLive *find(const std::string &Id) const;
  void add(const std::string &Id, TimePoint Now, TimePoint LeaseEnd);
  void remove(const std::string &Id);
  const std::map<std::string, ServerLive> &servers() const { return Servers_; }
  /// Servers whose lease has run out.
  std::vector<std::string> listLapsed(TimePoint Now) const;
  /// Whether anything may be started on the server at all: whatever plans, asks
  /// here.
  bool takesStarts(const JobRegistry &Book, const ServerRecord &Server) const {
    const ServerLive *Live = find(Server.Facts_.Id_);
    return Live && Live->isStaying() && !Book.isEvacuated(Server.Facts_);
  }
  /// What runs on the server use that the book does not place there, as far as
  /// their jobs are known.
  Resources measureUnplaced(const JobRegistry &Book,
                            const ServerRecord &Server) const;
  /// Whether the server is not known for crashes of late.
  bool isStable(const ServerRecord &Server) const;
  /// The checkpoints that the server's runs were last seen with.
  std::vector<SavedCheckpoint> listSaved(const std::string &Id) const;

private:
  static void noteProgress(ServerLive &Live, TimePoint Now);

  std::map<std::string, ServerLive> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERBOARD_H
