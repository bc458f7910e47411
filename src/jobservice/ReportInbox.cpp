#include "jobservice/ReportInbox.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// A batch may wait for half of the sender's timeout. The rest is left for
/// handling, commits and the network.
static constexpr std::uint64_t WaitDivisor = 2;

ReportInbox::ReportInbox(const Clock &Time, jobs::JobMeter &Meter,
                         HandleBatch Handle)
    : Time_(Time), Meter_(Meter), Handle_(std::move(Handle)) {}

static bool isExpired(const jobs::ReportBatch &Batch, std::uint64_t WaitedMs) {
  return Batch.TimeoutMs_ != 0 && WaitedMs > Batch.TimeoutMs_ / WaitDivisor;
}

static jobs::ReportBatchReply makeExpiredReply(const jobs::ReportBatch &Batch) {
  jobs::ReportBatchReply Reply;
  Reply.Answers_.resize(Batch.Reports_.size(),
                        {jobs::ReportVerdict::Expired, {}, ""});
  return Reply;
}

void ReportInbox::add(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                      Reply Answer) {
  const auto WaitedMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time_.now() -
                                                            ReceivedAt)
          .count());
  for (jobs::ServerReport &Report : Batch.Reports_)
    Report.WaitedMs_ += WaitedMs;
  if (!isExpired(Batch, WaitedMs))
    return Handle_(std::move(Batch), std::move(Answer));
  Meter_.add(jobs::JobCounter::ReportsExpired,
             Batch.Reports_.size() - Batch.LateReports_);
  if (Batch.FlushId_ == 0)
    return Answer(makeExpiredReply(Batch));
  // The leader decides about servers from the ended tasks in a flush, which
  // never expire.
  Batch.LateReports_ = Batch.Reports_.size();
  Handle_(std::move(Batch), std::move(Answer));
}
