#include "jobservice/AnswerCollector.h"

#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Reports that change nothing are answered at once, all others after a commit.
/// If the disk hangs, their commits must not delay the other servers' lease
/// renewals.
static constexpr Duration MaxWait = 300ms;

AnswerCollector::AnswerCollector(std::size_t Reports, TimePoint StartedAt,
                                 SendAnswers Send)
    : Answers_(Reports), Unanswered_(Reports), StartedAt_(StartedAt),
      Send_(std::move(Send)) {
  for (jobs::ReportAnswer &Answer : Answers_)
    Answer.Text_ = "the leader did not decide the report in time";
  if (Unanswered_ == 0)
    send();
}

std::shared_ptr<AnswerCollector>
AnswerCollector::handleBatch(jobs::ReportBatch Batch, jobs::JobLeader &Leader,
                             RelayFlush &Flush, const Clock &Time,
                             Reply Answer) {
  const TimePoint StartedAt = Time.now();
  // The callbacks must not use Leader, which may be destroyed before they run.
  auto Collector = std::make_shared<AnswerCollector>(
      Batch.Reports_.size(), StartedAt,
      [&Time, StartedAt,
       Answer = std::move(Answer)](std::vector<jobs::ReportAnswer> Answers) {
        const auto Handled =
            std::chrono::duration_cast<std::chrono::milliseconds>(Time.now() -
                                                                  StartedAt);
        Answer({std::move(Answers),
                {},
                static_cast<std::uint64_t>(Handled.count())});
      });
  if (Batch.HasDeferred_)
    Leader.markOverloaded();
  for (std::size_t I = 0; I < Batch.Reports_.size(); ++I) {
    const auto Collect = [Collector,
                          I](const Outcome<jobs::ServerOrders> &Orders) {
      Collector->addAnswer(I, Orders);
    };
    if (I < Batch.LateReports_)
      Leader.recordLateEnds(Batch.Reports_[I], Collect);
    else
      Leader.report(std::move(Batch.Reports_[I]), Collect);
  }
  if (Batch.FlushId_ != 0)
    Flush.onBatch(Batch.FlushId_, Batch.Heard_);
  return Collector;
}

void AnswerCollector::addAnswer(std::size_t Report,
                                const Outcome<jobs::ServerOrders> &Answer) {
  if (IsSent_)
    return;
  Answers_[Report] = jobs::ReportAnswer::make(Answer);
  if (--Unanswered_ == 0)
    send();
}

void AnswerCollector::sendIfOverdue(TimePoint Now) {
  const bool HasAnswers = Unanswered_ < Answers_.size();
  if (!IsSent_ && HasAnswers && Now - StartedAt_ >= MaxWait)
    send();
}

void AnswerCollector::send() {
  IsSent_ = true;
  Send_(std::move(Answers_));
}
