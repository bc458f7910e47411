#include "jobservice/ReportInbox.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;

/// The part of the sender's timeout that a batch may wait here; the rest is for
/// handling, commits and the network.
static constexpr std::uint64_t WaitParts = 2;

ReportInbox::ReportInbox(Executor &Strand, const Clock &Time,
                         jobs::JobMeter &Meter, Handle Handling)
    : Strand_(Strand), Time_(Time), Meter_(Meter),
      Handle_(std::move(Handling)) {}

void ReportInbox::add(jobs::ReportBatch Batch, TimePoint ReceivedAt,
                      Reply Answer) {
  Waiting_.push_back({std::move(Batch), ReceivedAt, std::move(Answer)});
  if (Waiting_.size() == 1)
    handleSoon();
}

void ReportInbox::handleSoon() {
  Strand_.post([Weak = std::weak_ptr(Alive_)] {
    if (const std::shared_ptr<ReportInbox *> Self = Weak.lock())
      (*Self)->handleNext();
  });
}

static bool isExpired(const jobs::ReportBatch &Batch, std::uint64_t WaitedMs) {
  return Batch.TimeoutMs_ != 0 && WaitedMs > Batch.TimeoutMs_ / WaitParts;
}

static jobs::ReportBatchReply makeExpired(const jobs::ReportBatch &Batch) {
  jobs::ReportBatchReply Reply;
  Reply.Answers_.resize(Batch.Reports_.size(),
                        {jobs::ReportVerdict::Expired, {}, ""});
  return Reply;
}

void ReportInbox::handleNext() {
  Entry Next = std::move(Waiting_.front());
  Waiting_.pop_front();
  if (!Waiting_.empty())
    handleSoon();
  const auto WaitedMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time_.now() -
                                                            Next.ReceivedAt_)
          .count());
  jobs::ReportBatch &Batch = Next.Batch_;
  for (jobs::ServerReport &Each : Batch.Reports_)
    Each.WaitedMs_ += WaitedMs;
  if (!isExpired(Batch, WaitedMs))
    return Handle_(std::move(Batch), std::move(Next.Answer_));
  Meter_.add(jobs::Counted::ReportsExpired,
             Batch.Reports_.size() - Batch.LateReports_);
  if (Batch.FlushId_ == 0)
    return Next.Answer_(makeExpired(Batch));
  // The leader decides on servers by the ends in it, which never expire.
  Batch.LateReports_ = Batch.Reports_.size();
  Handle_(std::move(Batch), std::move(Next.Answer_));
}
