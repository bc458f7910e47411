#include "jobservice/ReportGather.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// What changes nothing is answered at once, the rest after a commit; while a
/// disk hangs, the others' leases must not wait for it.
static constexpr Duration MostWait = 300ms;

ReportGather::ReportGather(std::size_t Reports, TimePoint Begin, Send Sending)
    : Answers_(Reports), Open_(Reports), Begin_(Begin),
      Send_(std::move(Sending)) {
  for (jobs::ReportAnswer &Each : Answers_)
    Each.Text_ = "the leader has not decided it in time";
  if (Open_ == 0)
    send();
}

std::shared_ptr<ReportGather>
ReportGather::decide(jobs::ReportBatch Batch, jobs::JobLeader &Leader,
                     RelayFlush &Flush, const Clock &Time, Reply Answer) {
  const TimePoint Begin = Time.now();
  // The leader may have ended by the time of the answers.
  auto Gather = std::make_shared<ReportGather>(
      Batch.Reports_.size(), Begin,
      [&Time, Begin,
       Answer = std::move(Answer)](std::vector<jobs::ReportAnswer> Answers) {
        const auto Handled =
            std::chrono::duration_cast<std::chrono::milliseconds>(Time.now() -
                                                                  Begin);
        Answer({std::move(Answers),
                {},
                static_cast<std::uint64_t>(Handled.count())});
      });
  if (Batch.HasDeferred_)
    Leader.markOverloaded();
  for (std::size_t I = 0; I < Batch.Reports_.size(); ++I) {
    const auto Note = [Gather, I](const Outcome<jobs::ServerOrders> &Orders) {
      Gather->note(I, Orders);
    };
    if (I < Batch.LateReports_)
      Leader.recordLateEnds(Batch.Reports_[I], Note);
    else
      Leader.report(std::move(Batch.Reports_[I]), Note);
  }
  if (Batch.FlushId_ != 0)
    Flush.onBatch(Batch.FlushId_, Batch.Heard_);
  return Gather;
}

void ReportGather::note(std::size_t Report,
                        const Outcome<jobs::ServerOrders> &Answer) {
  if (IsSent_)
    return;
  Answers_[Report] = jobs::ReportAnswer::make(Answer);
  if (--Open_ == 0)
    send();
}

void ReportGather::look(TimePoint Now) {
  const bool IsAnyThere = Open_ < Answers_.size();
  if (!IsSent_ && IsAnyThere && Now - Begin_ >= MostWait)
    send();
}

void ReportGather::send() {
  IsSent_ = true;
  Send_(std::move(Answers_));
}
