#include "jobservice/ReportRelay.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Reports are batched for this time; a commit takes several times as long.
static constexpr Duration BatchDelay = 4ms;
/// The leader receives a batch this often. A batch costs it as much as a few
/// reports, whatever its size, so with more relays each sends larger ones.
static constexpr Duration LeaderBatchInterval = 1ms;
/// Largest batch, which bounds one piece of the leader's work.
static constexpr std::size_t MaxBatchReports = 128;
/// Reports that wait longer are deferred, as servers drop answers that arrive
/// more than a second after the report.
static constexpr Duration MaxQueueTime = 350ms;
static constexpr Duration AnswerTimeout = 800ms;
/// One second, less the network time from and to the server.
static constexpr Duration MaxAnswerAge = 950ms;
/// The interval after which a deferred server reports again.
static constexpr std::uint64_t DeferredReportMs = 300;
/// Batches tell the leader for this time after a deferral that it is
/// overloaded.
static constexpr Duration OverloadNoticeTime = 2s;
/// A report is urgent at half of the usual lease of six seconds. An unknown
/// server counts as urgent, as another relay may not have answered it.
static constexpr Duration UrgentAfter = 3s;
/// A server that awaits a stop is queued as if its lease had last been extended
/// this long before the stop became due, which is most of the usual lease.
static constexpr Duration StopHeadStart = 4s;
/// Servers not heard for this time are removed. Longer than any lease.
static constexpr Duration ServerRetention = 20s;
static constexpr Duration CleanupInterval = 5s;
/// A server counts as heard recently for twice the longest report interval of
/// 1.5 s.
static constexpr Duration RecentlyHeard = 3s;
/// An error after a shorter time says nothing about the leader's load.
static constexpr Duration MinLossLatency = 600ms;

ReportRelay::ReportRelay(Executor &Strand, const Clock &Time, SendBatch Send)
    : Strand_(Strand), Time_(Time), Send_(std::move(Send)) {}

std::string ReportRelay::chooseRelay(const std::vector<std::string> &Names,
                                     const std::string &ServerId) {
  const auto Weight = [&ServerId](const std::string &Name) {
    return std::hash<std::string>()(Name + " " + ServerId);
  };
  const auto Best = std::max_element(
      Names.begin(), Names.end(),
      [&](const std::string &A, const std::string &B) {
        return std::pair(Weight(A), A) < std::pair(Weight(B), B);
      });
  return Best == Names.end() ? "" : *Best;
}

void ReportRelay::add(jobs::ServerReport Report, Done Reply) {
  const TimePoint Now = Time_.now();
  ServerState &Server =
      Servers_
          .try_emplace(
              Report.Facts_.Id_,
              ServerState{Now - UrgentAfter, Now, TimePoint::max(), {}})
          .first->second;
  Server.LastHeard_ = Now;
  // A report that a later one has overtaken brings the leader no news.
  if (Report.Sequence_ >= Server.NewestSequence_) {
    Server.NewestSequence_ = Report.Sequence_;
    Server.NewestReceivedAt_ = Now;
    Server.IsNewestAnswered_ = false;
  }
  Queue_.emplace(getQueuePosition(Server),
                 QueuedReport{std::move(Report), std::move(Reply), Now});
  scheduleFlush();
}

/// Whether the relay has recently received a report of the server that the
/// leader has not answered. An answered one would only keep a lost server.
bool ReportRelay::mayBringNews(const ServerState &Server) const {
  return !Server.IsNewestAnswered_ &&
         Time_.now() - Server.NewestReceivedAt_ <= RecentlyHeard;
}

void ReportRelay::recordAnswer(const Batch::Entry &Answered) {
  const auto It = Servers_.find(Answered.Server_);
  if (It != Servers_.end() && !Answered.IsLate_ &&
      Answered.Sequence_ >= It->second.NewestSequence_)
    It->second.IsNewestAnswered_ = true;
}

/// Returns the time at which the server's lease was last extended, or an
/// earlier time for a server that awaits a stop.
TimePoint ReportRelay::getQueuePosition(const ServerState &Server) {
  if (Server.StopDueAt_ == TimePoint::max())
    return Server.LeaseExtendedAt_;
  return std::min(Server.LeaseExtendedAt_, Server.StopDueAt_ - StopHeadStart);
}

/// Updates the queue positions of servers that await a stop, including those of
/// reports that are queued already.
void ReportRelay::prioritizeStops(
    const std::vector<jobs::ServerAwaitingStop> &Servers) {
  const TimePoint Now = Time_.now();
  std::unordered_set<std::string> Changed;
  for (const jobs::ServerAwaitingStop &Server : Servers) {
    const auto It = Servers_.find(Server.Server_);
    if (It == Servers_.end())
      continue;
    TimePoint &StopDueAt = It->second.StopDueAt_;
    const TimePoint Before = StopDueAt;
    StopDueAt =
        std::min(StopDueAt, Now - std::chrono::milliseconds(Server.WaitedMs_));
    if (Before == TimePoint::max())
      Changed.insert(Server.Server_);
  }
  if (Changed.empty())
    return;
  std::vector<QueuedReport> Moved;
  std::erase_if(Queue_, [&](auto &Item) {
    const bool IsChanged = Changed.count(Item.second.Report_.Facts_.Id_) != 0;
    if (IsChanged)
      Moved.push_back(std::move(Item.second));
    return IsChanged;
  });
  for (QueuedReport &Queued : Moved)
    Queue_.emplace(getQueuePosition(Servers_.at(Queued.Report_.Facts_.Id_)),
                   std::move(Queued));
}

/// Records a lease extension, which counts from the report. A late answer
/// extends nothing, as the server drops it.
void ReportRelay::recordLeaseExtension(const Batch::Entry &Answered) {
  const auto It = Servers_.find(Answered.Server_);
  if (It == Servers_.end() || Time_.now() - Answered.ReceivedAt_ > MaxAnswerAge)
    return;
  It->second.LeaseExtendedAt_ = Answered.ReceivedAt_;
  It->second.StopDueAt_ = TimePoint::max();
}

void ReportRelay::scheduleFlush() {
  if (IsFlushScheduled_ || Queue_.empty())
    return;
  IsFlushScheduled_ = true;
  const Duration Delay =
      std::max<Duration>(BatchDelay, NextFlush_ - Time_.now());
  Strand_.postAfter(Delay, [Weak = weak_from_this()] {
    if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
      Self->flush();
  });
}

/// Defers reports that have waited too long. A draining server gets an error,
/// as it would take a deferral for an acknowledgement.
void ReportRelay::deferOverdue() {
  const TimePoint Now = Time_.now();
  std::vector<QueuedReport> Overdue;
  std::erase_if(Queue_, [&](auto &Item) {
    const bool IsOverdue = Now - Item.second.ReceivedAt_ > MaxQueueTime;
    if (IsOverdue)
      Overdue.push_back(std::move(Item.second));
    return IsOverdue;
  });
  for (QueuedReport &Queued : Overdue) {
    const bool IsDraining = Queued.Report_.IsDraining_;
    if (!Queued.Report_.Ended_.empty())
      keepEndedTasks(
          std::make_shared<jobs::ServerReport>(std::move(Queued.Report_)));
    defer(IsDraining, Queued.Reply_);
  }
}

void ReportRelay::defer(bool IsDraining, const Done &Reply) {
  if (IsDraining)
    return Reply(fail(ErrorCode::Unavailable, "the leader is overloaded"));
  LastDeferral_ = Time_.now();
  jobs::ServerOrders Orders;
  Orders.NextReportMs_ = DeferredReportMs;
  Reply(std::move(Orders));
}

/// Keeps a report whose ended tasks the leader has not answered. A server that
/// leaves now reports them to no other member, and they would run again
/// elsewhere once the server is removed.
void ReportRelay::keepEndedTasks(const ReportPtr &Report) {
  const auto It = Servers_.find(Report->Facts_.Id_);
  if (It == Servers_.end())
    return;
  ReportPtr &Kept = It->second.Undelivered_;
  if (!Kept || Kept->Sequence_ < Report->Sequence_)
    Kept = Report;
}

/// Drops the kept report once the leader has answered it or a later one. A
/// server reports an ended task until it is acknowledged, so a later report has
/// them all.
void ReportRelay::dropDeliveredTasks(const Batch::Entry &Delivered) {
  const auto It = Servers_.find(Delivered.Server_);
  if (It == Servers_.end())
    return;
  ReportPtr &Kept = It->second.Undelivered_;
  if (Kept && Kept->Sequence_ <= Delivered.Sequence_)
    Kept.reset();
}

void ReportRelay::removeSilentServers() {
  const TimePoint Now = Time_.now();
  if (Now < NextCleanup_)
    return;
  NextCleanup_ = Now + CleanupInterval;
  std::erase_if(Servers_, [Now](const auto &Item) {
    return Now - Item.second.LastHeard_ > ServerRetention;
  });
}

/// Returns the number of queued reports that fit into the window, plus a few
/// urgent ones beyond it, as relays have similar windows but different numbers
/// of servers.
std::size_t ReportRelay::countToSend() const {
  std::size_t Count =
      std::min({Queue_.size(), Window_.getAvailable(), MaxBatchReports});
  if (Count == MaxBatchReports)
    return Count;
  const TimePoint UrgentFrom = Time_.now() - UrgentAfter;
  auto Next = std::next(Queue_.begin(), static_cast<std::ptrdiff_t>(Count));
  while (Next != Queue_.end() && Next->first <= UrgentFrom &&
         Count < Window_.getAvailableForUrgent()) {
    ++Next;
    ++Count;
  }
  return Count;
}

void ReportRelay::flush() {
  IsFlushScheduled_ = false;
  NextFlush_ = Time_.now() +
               LeaderBatchInterval * static_cast<std::int64_t>(Relays_.size());
  deferOverdue();
  removeSilentServers();
  const std::size_t Count = countToSend();
  if (Count > 0) {
    jobs::ReportBatch Reports;
    Batch Sent;
    for (std::size_t I = 0; I < Count; ++I)
      addToBatch(std::move(Queue_.extract(Queue_.begin()).mapped()), Reports,
                 Sent);
    // The leader may reject the batch unhandled. A flush that arrives after it
    // then sends the ended tasks again.
    for (const Batch::Entry &Entry : Sent.Entries_)
      if (Entry.ReportWithEndedTasks_)
        keepEndedTasks(Entry.ReportWithEndedTasks_);
    send(std::move(Reports), std::move(Sent));
  }
  scheduleFlush();
}

void ReportRelay::addToBatch(QueuedReport Queued, jobs::ReportBatch &Reports,
                             Batch &Sent) {
  Queued.Report_.WaitedMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time_.now() -
                                                            Queued.ReceivedAt_)
          .count());
  Sent.Entries_.push_back({Queued.Report_.Facts_.Id_, std::move(Queued.Reply_),
                           Queued.ReceivedAt_, Queued.Report_.Sequence_,
                           Queued.Report_.IsDraining_, false, nullptr});
  if (!Queued.Report_.Ended_.empty())
    Sent.Entries_.back().ReportWithEndedTasks_ =
        std::make_shared<jobs::ServerReport>(Queued.Report_);
  Reports.Reports_.push_back(std::move(Queued.Report_));
}

void ReportRelay::send(jobs::ReportBatch Reports, Batch Sent) {
  Sent.SentAt_ = Time_.now();
  Reports.HasDeferred_ = Sent.SentAt_ - LastDeferral_ <= OverloadNoticeTime;
  Reports.TimeoutMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(AnswerTimeout)
          .count());
  Window_.recordSent(Sent.Entries_.size());
  Send_(std::move(Reports), AnswerTimeout,
        [Weak = weak_from_this(), Sent = std::move(Sent)](
            Outcome<jobs::ReportBatchReply> Answer) mutable {
          if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
            Self->onAnswer(std::move(Sent), std::move(Answer));
        });
}

void ReportRelay::flushServers(const jobs::FlushRequest &Request) {
  std::unordered_set<std::string> Servers;
  const TimePoint Now = Time_.now();
  jobs::ReportBatch Reports;
  Batch Sent;
  Reports.FlushId_ = Request.Id_;
  // After a slowdown the leader asks for many servers at once.
  std::size_t Remaining =
      Request.OnlySilent_ ? Window_.getBatchLimit() : Request.Servers_.size();
  for (const std::string &Id : Request.Servers_) {
    const auto It = Servers_.find(Id);
    if (It == Servers_.end())
      continue;
    const bool IsHeard = mayBringNews(It->second);
    if (IsHeard)
      Reports.Heard_.push_back(Id);
    if (IsHeard && Request.OnlySilent_)
      continue;
    Servers.insert(Id);
    if (!It->second.Undelivered_)
      continue;
    if (Remaining == 0) {
      // Listing the server as heard makes the leader keep it and ask again.
      Reports.Heard_.push_back(Id);
      continue;
    }
    --Remaining;
    // The server no longer waits for an answer to this report.
    addToBatch({*std::exchange(It->second.Undelivered_, nullptr),
                [](const auto &) {}, Now},
               Reports, Sent);
    Sent.Entries_.back().IsLate_ = true;
    ++Reports.LateReports_;
  }
  for (auto It = Queue_.begin(); It != Queue_.end();) {
    const auto Next = std::next(It);
    if (Servers.count(It->second.Report_.Facts_.Id_) != 0)
      addToBatch(std::move(Queue_.extract(It).mapped()), Reports, Sent);
    It = Next;
  }
  send(std::move(Reports), std::move(Sent));
}

void ReportRelay::onAnswer(Batch Sent, Outcome<jobs::ReportBatchReply> Answer) {
  const bool IsComplete =
      Answer && Answer.value().Answers_.size() == Sent.Entries_.size();
  const bool IsExpired =
      IsComplete && !Sent.Entries_.empty() &&
      Answer.value().Answers_[0].Verdict_ == jobs::ReportVerdict::Expired;
  const TimePoint Now = Time_.now();
  const Duration Latency = Now - Sent.SentAt_;
  if (IsExpired || (!Answer && Latency >= MinLossLatency))
    Window_.recordLost(Sent.Entries_.size(), Sent.SentAt_, Now);
  else
    Window_.recordAnswered(
        Sent.Entries_.size(), Latency,
        Answer ? std::chrono::milliseconds(Answer.value().HandledMs_)
               : Duration(0));
  if (IsComplete && !IsExpired)
    Relays_ = std::move(Answer.value().Relays_);
  for (std::size_t I = 0; I < Sent.Entries_.size(); ++I) {
    Batch::Entry &Entry = Sent.Entries_[I];
    jobs::ReportAnswer *Result =
        IsComplete ? &Answer.value().Answers_[I] : nullptr;
    if (Result && Result->Verdict_ == jobs::ReportVerdict::Answered) {
      dropDeliveredTasks(Entry);
      recordAnswer(Entry);
    } else if (Entry.ReportWithEndedTasks_)
      keepEndedTasks(Entry.ReportWithEndedTasks_);
    if (!Result) {
      Entry.Reply_(
          Answer ? fail(ErrorCode::Unavailable,
                        "the reply does not have one answer for each report")
                 : Outcome<jobs::ServerOrders>(Answer.error()));
      continue;
    }
    if (Result->Verdict_ == jobs::ReportVerdict::Expired) {
      defer(Entry.IsDraining_, Entry.Reply_);
      continue;
    }
    // The server counts its lease from before the relay sent the report.
    if (Result->Orders_.LeaseMs_ > 0)
      recordLeaseExtension(Entry);
    Entry.Reply_(std::move(*Result).toOutcome());
  }
  if (IsComplete)
    prioritizeStops(Answer.value().AwaitingStop_);
  scheduleFlush();
}
