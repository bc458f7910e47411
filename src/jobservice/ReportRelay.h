//===- ReportRelay.h - Forwards server reports to the leader ----*- C++ -*-===//
//
// A control that is not the leader accepts servers' reports, forwards them in
// batches and returns the leader's answers, so the leader spends no processor
// time on connections and parsing. A window bounds the reports in flight to
// what the leader answers in time. Servers with the oldest leases go first;
// reports that wait too long are deferred.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTRELAY_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTRELAY_H

#include "jobservice/RelayWindow.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace tulipweir::jobservice {

/// All members are called on one executor, and callbacks run there.
class ReportRelay : public std::enable_shared_from_this<ReportRelay> {
public:
  using Done = std::function<void(Outcome<jobs::ServerOrders>)>;
  using BatchDone = std::function<void(Outcome<jobs::ReportBatchReply>)>;
  /// Sends a batch to the leader. Calls back once, on the executor and within
  /// Timeout; at once with NotLeader if no leader is known.
  using SendBatch =
      std::function<void(jobs::ReportBatch, Duration Timeout, BatchDone)>;

  /// Strand and Time must outlive it.
  ReportRelay(Executor &Strand, const Clock &Time, SendBatch Send);

  // Commands.

  /// Calls Reply once, before the server's own timeout.
  void add(jobs::ServerReport Report, Done Reply);
  /// Sends the servers' buffered reports at once, with the ended tasks of
  /// reports that were deferred or lost, and lists the servers heard recently.
  void flushServers(const jobs::FlushRequest &Request);

  // Queries.

  /// Returns the relay that the server should use; empty if the leader has
  /// named none.
  std::string chooseRelayFor(const std::string &ServerId) const {
    return chooseRelay(Relays_, ServerId);
  }
  /// Chooses a name by rendezvous hashing; returns an empty string if there are
  /// none.
  static std::string chooseRelay(const std::vector<std::string> &Names,
                                 const std::string &ServerId);

private:
  struct QueuedReport {
    jobs::ServerReport Report_;
    Done Reply_;
    TimePoint ReceivedAt_;
  };

  using ReportPtr = std::shared_ptr<const jobs::ServerReport>;

  /// A batch in flight.
  struct Batch {
    struct Entry {
      std::string Server_;
      Done Reply_;
      TimePoint ReceivedAt_; ///< When this relay received the report.
      std::uint64_t Sequence_ = 0;
      bool IsDraining_ = false;
      bool IsLate_ = false; ///< Only the ends in the report count.
      /// The report if it lists ended tasks, else null.
      ReportPtr ReportWithEndedTasks_;
    };
    std::vector<Entry> Entries_;
    TimePoint SentAt_;
  };

  /// The state of a server that reports to this relay.
  struct ServerState {
    /// When this relay last extended the server's lease.
    TimePoint LeaseExtendedAt_;
    TimePoint LastHeard_;
    /// When a stop order for the server became due; max if there is none.
    TimePoint StopDueAt_ = TimePoint::max();
    /// The server's last report with ended tasks that the leader has not
    /// answered.
    ReportPtr Undelivered_;
    /// The newest report that this relay has received from the server.
    std::uint64_t NewestSequence_ = 0;
    TimePoint NewestReceivedAt_{};
    bool IsNewestAnswered_ = false; ///< By the leader.
  };

  static TimePoint getQueuePosition(const ServerState &Server);
  bool mayBringNews(const ServerState &Server) const;
  void recordAnswer(const Batch::Entry &Answered);
  void prioritizeStops(const std::vector<jobs::ServerAwaitingStop> &Servers);
  void recordLeaseExtension(const Batch::Entry &Answered);
  void scheduleFlush();
  void flush();
  std::size_t countToSend() const;
  void send(jobs::ReportBatch Reports, Batch Sent);
  void addToBatch(QueuedReport Queued, jobs::ReportBatch &Reports, Batch &Sent);
  void deferOverdue();
  void defer(bool IsDraining, const Done &Reply);
  void keepEndedTasks(const ReportPtr &Report);
  void dropDeliveredTasks(const Batch::Entry &Delivered);
  void removeSilentServers();
  void onAnswer(Batch Sent, Outcome<jobs::ReportBatchReply> Answer);

  Executor &Strand_;
  const Clock &Time_;
  const SendBatch Send_;
  /// Queued reports by their server's queue position.
  std::multimap<TimePoint, QueuedReport> Queue_;
  RelayWindow Window_;
  bool IsFlushScheduled_ = false;
  std::unordered_map<std::string, ServerState> Servers_; ///< By server ID.
  TimePoint NextFlush_{}; ///< The earliest time of the next batch.
  TimePoint LastDeferral_{};
  TimePoint NextCleanup_{}; ///< When silent servers are next removed.
  std::vector<std::string> Relays_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTRELAY_H
