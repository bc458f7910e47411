//===- ReportBatch.h - Batches of servers' reports --------------*- C++ -*-===//
//
// Reports that a control which does not lead passes on to the leader, and the
// leader's answers to them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_REPORTBATCH_H
#define TULIPWEIR_JOBS_REPORTBATCH_H

#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

/// Reports that a relay passes on to the leader.
struct ReportBatch {
  std::vector<ServerReport> Reports_;
  /// Whether the relay has deferred reports recently, as the leader was
  /// overloaded.
  bool HasDeferred_ = false;
  /// The id of the flush request that this batch answers; 0 for none. The
  /// relay's earlier batches on the same link have arrived before it.
  std::uint64_t FlushId_ = 0;
  /// The servers of the flush request that the relay has heard recently.
  std::vector<std::string> Heard_ = {};
  std::string From_ = {}; ///< The name of the relay.
  /// How long the relay's VM takes for the fixed work of the processor probe,
  /// which shows how fast the VM is; 0 while unknown.
  std::uint64_t ProbeTimeNs_ = 0;
  /// The first reports of the batch that are late, as they were deferred or
  /// lost before. Only the ends in them count; they extend no lease.
  std::uint64_t LateReports_ = 0;
  /// How long the relay waits for the reply; 0 if unknown.
  std::uint64_t TimeoutMs_ = 0;
  bool operator==(const ReportBatch &) const = default;
};

/// Asks a relay to send its buffered reports of these servers at once.
struct FlushRequest {
  std::string From_; ///< The name of the leader.
  std::uint64_t Id_ = 0;
  std::vector<std::string> Servers_;
  /// If set, the relay only names the servers that it has heard recently,
  /// without their reports: they will report again on their own.
  bool OnlySilent_ = false;
  bool operator==(const FlushRequest &) const = default;
};

/// The result of a report at the leader.
enum class ReportVerdict : std::uint8_t {
  Answered = 0,
  NotLeader = 1, ///< Text_ names the leader if it is known.
  Failed = 2,    ///< No member can handle it now: Text_ gives the reason.
  Refused = 3,   ///< The report is invalid, for example of an unknown service:
                 ///< Text_ gives the reason.
  Expired = 4,   ///< Not handled, as it had waited too long at the leader.
};

/// The answer to one report in a batch.
struct ReportAnswer {
  ReportVerdict Verdict_ = ReportVerdict::Failed;
  ServerOrders Orders_; ///< Set if Verdict_ is Answered.
  std::string Text_;
  bool operator==(const ReportAnswer &) const = default;

  static ReportAnswer make(const Outcome<ServerOrders> &From);
  /// Returns the outcome that was passed to make, with errors other than
  /// NotLeader and InvalidArgument replaced by Unavailable.
  Outcome<ServerOrders> toOutcome() &&;
};

/// A server that has to be told to stop a run.
struct ServerAwaitingStop {
  std::string Server_;
  std::uint64_t WaitedMs_ = 0; ///< The time since the job ended.
  bool operator==(const ServerAwaitingStop &) const = default;
};

/// The answers to a batch of reports.
struct ReportBatchReply {
  std::vector<ReportAnswer> Answers_; ///< One answer for each report, in order.
  /// The controls that relay reports to the leader: all that it hears, except
  /// itself.
  std::vector<std::string> Relays_;
  /// How long the leader took for the batch, commits included. The rest of the
  /// round trip is time in the leader's queue or on the network.
  std::uint64_t HandledMs_ = 0;
  /// The servers whose reports are urgent, the longest waiting first.
  std::vector<ServerAwaitingStop> AwaitingStop_ = {};
  bool operator==(const ReportBatchReply &) const = default;
};

std::string encodeReports(ReportBatch Batch);
Outcome<ReportBatch> decodeReports(std::string_view Bytes);
std::string encodeFlushRequest(const FlushRequest &Request);
Outcome<FlushRequest> decodeFlushRequest(std::string_view Bytes);
std::string encodeReportReply(const ReportBatchReply &Reply);
Outcome<ReportBatchReply> decodeReportReply(std::string_view Bytes);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_REPORTBATCH_H
