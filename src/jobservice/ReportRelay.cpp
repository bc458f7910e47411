#include "jobservice/ReportRelay.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Reports gather for so long: with 250 servers at a relay three or four go in
/// one frame, and a commit takes several times as long.
static constexpr Duration BatchPause = 4ms;
/// Batches on their way at a time. A leader that is slow gets fewer and larger
/// ones, and the reports that it has no time for are given up here.
static constexpr std::size_t MostInFlight = 4;
/// Bounds the work that the leader does in one piece.
static constexpr std::size_t MostReports = 128;
/// A server takes no answer that comes a second after its report: what has
/// waited here for so long is not worth the leader's time any more.
static constexpr Duration MostWait = 500ms;
static constexpr Duration AnswerTimeout = 800ms;

std::string ReportRelay::pick(const std::vector<std::string> &Names,
                              const std::string &ServerId) {
  const auto Weigh = [&ServerId](const std::string &Name) {
    return std::hash<std::string>()(Name + " " + ServerId);
  };
  const auto Best = std::max_element(
      Names.begin(), Names.end(),
      [&](const std::string &A, const std::string &B) {
        return std::pair(Weigh(A), A) < std::pair(Weigh(B), B);
      });
  return Best == Names.end() ? "" : *Best;
}

void ReportRelay::add(jobs::ServerReport Report, Done Reply) {
  Queue_.push_back({std::move(Report), std::move(Reply), Time_.now()});
  flushSoon();
}

void ReportRelay::flushSoon() {
  if (IsFlushing_ || Queue_.empty() || InFlight_ >= MostInFlight)
    return;
  IsFlushing_ = true;
  Strand_.postAfter(BatchPause, [Weak = weak_from_this()] {
    if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
      Self->flush();
  });
}

void ReportRelay::dropLate() {
  const TimePoint Now = Time_.now();
  while (!Queue_.empty() && Now - Queue_.front().Since_ > MostWait) {
    const Done Reply = std::move(Queue_.front().Reply_);
    Queue_.pop_front();
    Reply(fail(ErrorCode::Unavailable, "the leader is behind"));
  }
}

void ReportRelay::flush() {
  IsFlushing_ = false;
  dropLate();
  if (Queue_.empty())
    return;
  jobs::ReportBatch Batch;
  std::vector<Done> Replies;
  while (!Queue_.empty() && Replies.size() < MostReports) {
    Batch.Reports_.push_back(std::move(Queue_.front().Report_));
    Replies.push_back(std::move(Queue_.front().Reply_));
    Queue_.pop_front();
  }
  ++InFlight_;
  Send_(std::move(Batch), AnswerTimeout,
        [Weak = weak_from_this(), Replies = std::move(Replies)](
            Outcome<jobs::ReportBatchReply> Answer) mutable {
          if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
            Self->onAnswer(std::move(Replies), std::move(Answer));
        });
  flushSoon();
}

void ReportRelay::onAnswer(std::vector<Done> Replies,
                           Outcome<jobs::ReportBatchReply> Answer) {
  --InFlight_;
  const bool IsWhole =
      Answer && Answer.value().Answers_.size() == Replies.size();
  if (IsWhole)
    Relays_ = std::move(Answer.value().Relays_);
  for (std::size_t I = 0; I < Replies.size(); ++I) {
    if (IsWhole)
      Replies[I](std::move(Answer.value().Answers_[I]).takeOutcome());
    else if (!Answer)
      Replies[I](Answer.error());
    else
      Replies[I](fail(ErrorCode::Unavailable, "the answers are not whole"));
  }
  // What has been waiting for a place goes at once.
  if (!Queue_.empty() && !IsFlushing_ && InFlight_ < MostInFlight)
    flush();
}
