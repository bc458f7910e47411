#include "tulipweir/jobs/ReportBatch.h"

#include "jobs/JobPacking.h"
#include "tulipweir/jobs/IncarnationId.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace tulipweir::jobs {
static auto fields(RunningTask &X) {
  return std::tie(X.Task_, X.Run_, X.Checkpoint_, X.Percent_, X.Measure_);
}
static auto fields(EndedTask &X) { return std::tie(X.Number_, X.End_); }
static auto fields(ServerReport &X) {
  return std::tie(X.Facts_, X.IsDraining_, X.RemainingMs_, X.Sequence_,
                  X.Running_, X.Ended_, X.WaitedMs_, X.ServerClockMs_);
}
constexpr std::size_t optionalFields(const ServerReport &) { return 2; }
static auto fields(ReportBatch &X) {
  return std::tie(X.Reports_, X.HasDeferred_, X.FlushId_, X.Heard_, X.From_,
                  X.ProbeTimeNs_, X.LateReports_, X.TimeoutMs_);
}
constexpr std::size_t optionalFields(const ReportBatch &) { return 2; }
/// A batch with the start times of the reporting servers. Their ids on the wire
/// are without them, so that a leader of an earlier version, which rejects the
/// batch, does not take them for other servers' ids.
struct TimedReportBatch {
  ReportBatch Batch_;
  std::vector<std::uint64_t> BornMs_; ///< For each report; 0 if unknown.
};
static auto fields(TimedReportBatch &X) {
  return std::tie(X.Batch_, X.BornMs_);
}
static auto fields(FlushRequest &X) {
  return std::tie(X.From_, X.Id_, X.Servers_, X.OnlySilent_);
}
constexpr std::size_t optionalFields(const FlushRequest &) { return 1; }
static auto fields(StartOrder &X) {
  return std::tie(X.Task_, X.Run_, X.Payload_, X.Checkpoint_, X.Ticket_);
}
static auto fields(StopOrder &X) { return std::tie(X.Task_, X.Run_); }
static auto fields(PaceOrder &X) {
  return std::tie(X.Task_, X.Run_, X.Percent_);
}
static auto fields(ServerOrders &X) {
  return std::tie(X.LeaseMs_, X.FencingToken_, X.EndsNoted_, X.NextReportMs_,
                  X.Starts_, X.Stops_, X.Paces_);
}
static auto fields(ReportAnswer &X) {
  return std::tie(X.Verdict_, X.Orders_, X.Text_);
}
static auto fields(ServerAwaitingStop &X) {
  return std::tie(X.Server_, X.WaitedMs_);
}
static auto fields(ReportBatchReply &X) {
  return std::tie(X.Answers_, X.Relays_, X.HandledMs_, X.AwaitingStop_);
}
constexpr std::size_t optionalFields(const ReportBatchReply &) { return 1; }
static constexpr std::uint8_t maxOf(ReportVerdict) {
  return static_cast<std::uint8_t>(ReportVerdict::Expired);
}
} // namespace tulipweir::jobs

ReportAnswer ReportAnswer::make(const Outcome<ServerOrders> &From) {
  if (From)
    return {ReportVerdict::Answered, From.value(), ""};
  ReportVerdict Verdict = ReportVerdict::Failed;
  if (From.error().Code_ == ErrorCode::NotLeader)
    Verdict = ReportVerdict::NotLeader;
  else if (From.error().Code_ == ErrorCode::InvalidArgument)
    Verdict = ReportVerdict::Refused;
  return {Verdict, {}, From.error().Message_};
}

Outcome<ServerOrders> ReportAnswer::toOutcome() && {
  switch (Verdict_) {
  case ReportVerdict::Answered:
    return std::move(Orders_);
  case ReportVerdict::NotLeader:
    return fail(ErrorCode::NotLeader, std::move(Text_));
  case ReportVerdict::Refused:
    return fail(ErrorCode::InvalidArgument, std::move(Text_));
  case ReportVerdict::Failed:
  case ReportVerdict::Expired:
    break;
  }
  return fail(ErrorCode::Unavailable, std::move(Text_));
}

/// The first byte of an array of two elements.
static constexpr char TimedBatchPrefix = '\x92';

std::string jobs::encodeReports(ReportBatch Batch) {
  TimedReportBatch Timed{std::move(Batch), {}};
  bool AnyStartTime = false;
  for (ServerReport &Report : Timed.Batch_.Reports_) {
    const IncarnationId Id = IncarnationId::parse(Report.Facts_.Id_);
    Timed.BornMs_.push_back(Id.getBornMs());
    if (Id.hasStartTime())
      Report.Facts_.Id_ = Id.getServerId();
    AnyStartTime = AnyStartTime || Id.hasStartTime();
  }
  // Members of earlier versions understand a batch without start times.
  return AnyStartTime ? packing::pack(Timed) : packing::pack(Timed.Batch_);
}

Outcome<ReportBatch> jobs::decodeReports(std::string_view Bytes) {
  static constexpr std::string_view What = "a batch of reports";
  if (Bytes.empty() || Bytes.front() != TimedBatchPrefix)
    return packing::unpack<ReportBatch>(Bytes, What);
  Outcome<TimedReportBatch> Unpacked =
      packing::unpack<TimedReportBatch>(Bytes, What);
  if (!Unpacked)
    return Unpacked.error();
  TimedReportBatch &Timed = Unpacked.value();
  std::vector<ServerReport> &Reports = Timed.Batch_.Reports_;
  if (Timed.BornMs_.size() != Reports.size())
    return fail(ErrorCode::Malformed, "start times of other reports");
  for (std::size_t I = 0; I < Reports.size(); ++I)
    Reports[I].Facts_.Id_ =
        IncarnationId::make(std::move(Reports[I].Facts_.Id_), Timed.BornMs_[I])
            .toString();
  return std::move(Timed.Batch_);
}
std::string jobs::encodeFlushRequest(const FlushRequest &Request) {
  return packing::pack(Request);
}
Outcome<FlushRequest> jobs::decodeFlushRequest(std::string_view Bytes) {
  return packing::unpack<FlushRequest>(Bytes, "a flush request");
}
std::string jobs::encodeReportReply(const ReportBatchReply &Reply) {
  return packing::pack(Reply);
}
Outcome<ReportBatchReply> jobs::decodeReportReply(std::string_view Bytes) {
  return packing::unpack<ReportBatchReply>(Bytes, "answers to reports");
}
