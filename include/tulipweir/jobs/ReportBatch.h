//===- ReportBatch.h - Servers' reports on their way to the leader *- C++ -*-=//
//
// What a control that does not lead has gathered of reports, and the leader's
// answers to them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_REPORTBATCH_H
#define TULIPWEIR_JOBS_REPORTBATCH_H

#include "tulipweir/jobs/ServerReport.h"

namespace tulipweir::jobs {

struct ReportBatch {
  std::vector<ServerReport> Reports_;
  /// The relay has deferred reports recently, as the leader was behind.
  bool HasDeferred_ = false;
  /// The flush request that this batch answers; 0 for none. The relay's earlier
  /// batches on the same link have arrived before it.
  std::uint64_t FlushId_ = 0;
  /// The request's servers that the relay has heard recently.
  std::vector<std::string> Heard_ = {};
  std::string From_ = {}; ///< The member that passes them on.
  /// How long a set piece of work takes there; 0 as long as it cannot tell.
  std::uint64_t ProbeTimeNs_ = 0;
  /// The number of leading reports that are late, as they were deferred or lost
  /// before. Only the ends in them count; they extend no lease.
  std::uint64_t LateReports_ = 0;
  /// How long the relay waits for the reply; 0 if it does not say.
  std::uint64_t TimeoutMs_ = 0;
  bool operator==(const ReportBatch &) const = default;
};

/// Asks a relay to send its buffered reports of these servers at once.
struct FlushRequest {
  std::string From_; ///< The leader that asks.
  std::uint64_t Id_ = 0;
  std::vector<std::string> Servers_;
  /// The relay sends nothing of servers that it has heard recently and only
  /// names them, as they report again by themselves.
  bool OnlySilent_ = false;
  bool operator==(const FlushRequest &) const = default;
};

/// How a report fared at the leader.
enum class ReportVerdict : std::uint8_t {
  Answered = 0,
  NotLeader = 1, ///< Text_ names who leads, as far as that is known.
  Failed = 2,    ///< Nobody can decide it at the moment: Text_ says why.
  Refused = 3,   ///< It names no server to use: Text_ says why.
  Expired = 4,   ///< Not handled, as it waited too long at the leader.
};

struct ReportAnswer {
  ReportVerdict Verdict_ = ReportVerdict::Failed;
  ServerOrders Orders_; ///< If it was answered.
  std::string Text_;
  bool operator==(const ReportAnswer &) const = default;

  static ReportAnswer make(const Outcome<ServerOrders> &From);
  /// What make was given; other errors than NotLeader and InvalidArgument
  /// become Unavailable.
  Outcome<ServerOrders> toOutcome() &&;
};

/// A server with a run that a stop order waits for.
struct ServerAwaitingStop {
  std::string Server_;
  std::uint64_t WaitedMs_ = 0; ///< Since the job's end.
  bool operator==(const ServerAwaitingStop &) const = default;
};

struct ReportBatchReply {
  std::vector<ReportAnswer> Answers_; ///< One for each report, in order.
  /// The controls that take reports for the leader: all that it hears, but
  /// itself.
  std::vector<std::string> Relays_;
  /// How long the leader had the batch in hand, commits included; the rest of
  /// the time that the answers took it waited for the leader, or was on its
  /// way.
  std::uint64_t HandledMs_ = 0;
  /// Servers whose reports are urgent, the longest waiting first.
  std::vector<ServerAwaitingStop> AwaitingStop_ = {};
  bool operator==(const ReportBatchReply &) const = default;
};

std::string encodeReports(const ReportBatch &Value);
Outcome<ReportBatch> decodeReports(std::string_view Bytes);
std::string encodeFlushRequest(const FlushRequest &Value);
Outcome<FlushRequest> decodeFlushRequest(std::string_view Bytes);
std::string encodeReportReply(const ReportBatchReply &Value);
Outcome<ReportBatchReply> decodeReportReply(std::string_view Bytes);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_REPORTBATCH_H
