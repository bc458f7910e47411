#include "jobservice/ReportRelay.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Reports are batched for this time; a commit takes several times as long.
static constexpr Duration BatchPause = 4ms;
/// Largest batch, which bounds one piece of the leader's work.
static constexpr std::size_t MostReports = 128;
/// Reports that wait longer are deferred, as servers drop answers that come a
/// second after the report.
static constexpr Duration MostWait = 350ms;
static constexpr Duration AnswerTimeout = 800ms;
/// A second, less the network time from and to the server.
static constexpr Duration LatestAnswer = 950ms;
/// When a deferred server reports again.
static constexpr std::uint64_t DeferredReportMs = 300;
/// After a deferral, batches say for this time that the leader is behind.
static constexpr Duration DeferredFor = 2s;
/// A report is urgent at half of the usual lease of six seconds. An unknown
/// server counts as urgent, as another relay may not have answered it.
static constexpr Duration UrgentAfter = 3s;
/// A server that awaits a stop goes before those whose leases were extended
/// later than this before the stop became due; most of the usual lease.
static constexpr Duration StopHeadStart = 4s;
/// Servers not heard for this time are forgotten; longer than any lease.
static constexpr Duration RememberedFor = 20s;
static constexpr Duration ForgetInterval = 5s;
/// Twice the longest report interval, 1.5 s.
static constexpr Duration HeardLately = 3s;
/// An error that comes sooner says nothing of the leader's load.
static constexpr Duration LostAfter = 600ms;

ReportRelay::ReportRelay(Executor &Strand, const Clock &Time, Send Sending)
    : Strand_(Strand), Time_(Time), Send_(std::move(Sending)) {}

std::string ReportRelay::pick(const std::vector<std::string> &Names,
                              const std::string &ServerId) {
  const auto Weigh = [&ServerId](const std::string &Name) {
    return std::hash<std::string>()(Name + " " + ServerId);
  };
  const auto Best =
      std::max_element(Names.begin(), Names.end(),
                       [&](const std::string &A, const std::string &B) {
                         return std::pair(Weigh(A), A) < std::pair(Weigh(B), B);
                       });
  return Best == Names.end() ? "" : *Best;
}

void ReportRelay::add(jobs::ServerReport Report, Done Reply) {
  const TimePoint Now = Time_.now();
  Known &Own =
      Known_
          .try_emplace(Report.Facts_.Id_,
                       Known{Now - UrgentAfter, Now, TimePoint::max(), {}})
          .first->second;
  Own.Heard_ = Now;
  Queue_.emplace(getTurn(Own),
                 Waiting{std::move(Report), std::move(Reply), Now});
  flushSoon();
}

/// Returns when the server's lease was last extended; of a server that awaits a
/// stop, an earlier time.
TimePoint ReportRelay::getTurn(const Known &Server) {
  if (Server.StopSince_ == TimePoint::max())
    return Server.Extended_;
  return std::min(Server.Extended_, Server.StopSince_ - StopHeadStart);
}

/// Reports that wait already get their new turn.
void ReportRelay::noteStops(
    const std::vector<jobs::ServerAwaitingStop> &Servers) {
  const TimePoint Now = Time_.now();
  std::unordered_set<std::string> Changed;
  for (const jobs::ServerAwaitingStop &Each : Servers) {
    const auto Found = Known_.find(Each.Server_);
    if (Found == Known_.end())
      continue;
    TimePoint &Since = Found->second.StopSince_;
    const TimePoint Before = Since;
    Since = std::min(Since, Now - std::chrono::milliseconds(Each.WaitedMs_));
    if (Before == TimePoint::max())
      Changed.insert(Each.Server_);
  }
  if (Changed.empty())
    return;
  std::vector<Waiting> Moved;
  std::erase_if(Queue_, [&](auto &Each) {
    const bool IsChanged = Changed.count(Each.second.Report_.Facts_.Id_) != 0;
    if (IsChanged)
      Moved.push_back(std::move(Each.second));
    return IsChanged;
  });
  for (Waiting &Each : Moved)
    Queue_.emplace(getTurn(Known_.at(Each.Report_.Facts_.Id_)),
                   std::move(Each));
}

/// The lease counts from the report. An answer that the server drops as late
/// extends nothing.
void ReportRelay::noteExtended(const Batch::Asked &Answered) {
  const auto Found = Known_.find(Answered.Server_);
  if (Found == Known_.end() || Time_.now() - Answered.Since_ > LatestAnswer)
    return;
  Found->second.Extended_ = Answered.Since_;
  Found->second.StopSince_ = TimePoint::max();
}

void ReportRelay::flushSoon() {
  if (IsFlushing_ || Queue_.empty())
    return;
  IsFlushing_ = true;
  Strand_.postAfter(BatchPause, [Weak = weak_from_this()] {
    if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
      Self->flush();
  });
}

/// Defers reports that have waited too long. A draining server gets an error,
/// as it would take a deferral for an acknowledgement.
void ReportRelay::deferLate() {
  const TimePoint Now = Time_.now();
  std::vector<Waiting> Late;
  std::erase_if(Queue_, [&](auto &Each) {
    const bool IsLate = Now - Each.second.Since_ > MostWait;
    if (IsLate)
      Late.push_back(std::move(Each.second));
    return IsLate;
  });
  for (Waiting &Each : Late) {
    const bool IsDraining = Each.Report_.IsDraining_;
    if (!Each.Report_.Ended_.empty())
      keepEnds(std::make_shared<jobs::ServerReport>(std::move(Each.Report_)));
    defer(IsDraining, Each.Reply_);
  }
}

void ReportRelay::defer(bool IsDraining, const Done &Reply) {
  if (IsDraining)
    return Reply(fail(ErrorCode::Unavailable, "the leader is behind"));
  LastDeferral_ = Time_.now();
  jobs::ServerOrders Later;
  Later.NextReportMs_ = DeferredReportMs;
  Reply(std::move(Later));
}

/// A server that leaves now reports its ends to nobody else; their tasks would
/// begin elsewhere once it is removed.
void ReportRelay::keepEnds(const ReportPtr &Report) {
  const auto Found = Known_.find(Report->Facts_.Id_);
  if (Found == Known_.end())
    return;
  ReportPtr &Kept = Found->second.Undelivered_;
  if (!Kept || Kept->Sequence_ < Report->Sequence_)
    Kept = Report;
}

/// A server lists each end until it is noted, so a later report has them all.
void ReportRelay::noteDelivered(const Batch::Asked &Delivered) {
  const auto Found = Known_.find(Delivered.Server_);
  if (Found == Known_.end())
    return;
  ReportPtr &Kept = Found->second.Undelivered_;
  if (Kept && Kept->Sequence_ <= Delivered.Sequence_)
    Kept.reset();
}

void ReportRelay::forgetOld() {
  const TimePoint Now = Time_.now();
  if (Now < NextForgetting_)
    return;
  NextForgetting_ = Now + ForgetInterval;
  std::erase_if(Known_, [Now](const auto &Each) {
    return Now - Each.second.Heard_ > RememberedFor;
  });
}

/// Returns what fits in the window, and a few urgent reports beyond it, as
/// relays have similar windows but different numbers of servers.
std::size_t ReportRelay::countToSend() const {
  std::size_t Count = std::min({Queue_.size(), Window_.getRoom(), MostReports});
  if (Count == MostReports)
    return Count;
  const TimePoint UrgentFrom = Time_.now() - UrgentAfter;
  auto Next = std::next(Queue_.begin(), static_cast<std::ptrdiff_t>(Count));
  while (Next != Queue_.end() && Next->first <= UrgentFrom &&
         Count < Window_.getUrgentRoom()) {
    ++Next;
    ++Count;
  }
  return Count;
}

void ReportRelay::flush() {
  IsFlushing_ = false;
  deferLate();
  forgetOld();
  const std::size_t Count = countToSend();
  if (Count > 0) {
    jobs::ReportBatch Reports;
    Batch Sent;
    for (std::size_t I = 0; I < Count; ++I)
      move(std::move(Queue_.extract(Queue_.begin()).mapped()), Reports, Sent);
    // The leader may reject the batch unhandled; a flush that arrives behind it
    // brings the ends again.
    for (const Batch::Asked &Each : Sent.Asked_)
      if (Each.Ends_)
        keepEnds(Each.Ends_);
    send(std::move(Reports), std::move(Sent));
  }
  flushSoon();
}

void ReportRelay::move(Waiting From, jobs::ReportBatch &Reports, Batch &Sent) {
  From.Report_.WaitedMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time_.now() -
                                                            From.Since_)
          .count());
  Sent.Asked_.push_back({From.Report_.Facts_.Id_, std::move(From.Reply_),
                         From.Since_, From.Report_.Sequence_,
                         From.Report_.IsDraining_, nullptr});
  if (!From.Report_.Ended_.empty())
    Sent.Asked_.back().Ends_ =
        std::make_shared<jobs::ServerReport>(From.Report_);
  Reports.Reports_.push_back(std::move(From.Report_));
}

void ReportRelay::send(jobs::ReportBatch Reports, Batch Sent) {
  Sent.Since_ = Time_.now();
  Reports.HasDeferred_ = Sent.Since_ - LastDeferral_ <= DeferredFor;
  Reports.TimeoutMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(AnswerTimeout)
          .count());
  Window_.noteSent(Sent.Asked_.size());
  Send_(std::move(Reports), AnswerTimeout,
        [Weak = weak_from_this(), Sent = std::move(Sent)](
            Outcome<jobs::ReportBatchReply> Answer) mutable {
          if (const std::shared_ptr<ReportRelay> Self = Weak.lock())
            Self->onAnswer(std::move(Sent), std::move(Answer));
        });
}

void ReportRelay::flushServers(const jobs::FlushRequest &Asked) {
  std::unordered_set<std::string> Servers;
  const TimePoint Now = Time_.now();
  jobs::ReportBatch Reports;
  Batch Sent;
  Reports.FlushId_ = Asked.Id_;
  // After a slow spell the leader asks for many servers at once.
  std::size_t Room =
      Asked.OnlySilent_ ? Window_.getBatchLimit() : Asked.Servers_.size();
  for (const std::string &Id : Asked.Servers_) {
    const auto Found = Known_.find(Id);
    if (Found == Known_.end())
      continue;
    const bool IsHeard = Now - Found->second.Heard_ <= HeardLately;
    if (IsHeard)
      Reports.Heard_.push_back(Id);
    if (IsHeard && Asked.OnlySilent_)
      continue;
    Servers.insert(Id);
    if (!Found->second.Undelivered_)
      continue;
    if (Room == 0) {
      // The leader keeps it and asks again.
      Reports.Heard_.push_back(Id);
      continue;
    }
    --Room;
    // The server waits for no answer to it.
    move({*std::exchange(Found->second.Undelivered_, nullptr),
          [](const auto &) {}, Now},
         Reports, Sent);
    ++Reports.LateReports_;
  }
  for (auto At = Queue_.begin(); At != Queue_.end();) {
    const auto Next = std::next(At);
    if (Servers.count(At->second.Report_.Facts_.Id_) != 0)
      move(std::move(Queue_.extract(At).mapped()), Reports, Sent);
    At = Next;
  }
  send(std::move(Reports), std::move(Sent));
}

void ReportRelay::onAnswer(Batch Sent, Outcome<jobs::ReportBatchReply> Answer) {
  const bool IsWhole =
      Answer && Answer.value().Answers_.size() == Sent.Asked_.size();
  const bool IsExpired =
      IsWhole && !Sent.Asked_.empty() &&
      Answer.value().Answers_[0].Verdict_ == jobs::ReportVerdict::Expired;
  const TimePoint Now = Time_.now();
  const Duration Took = Now - Sent.Since_;
  if (IsExpired || (!Answer && Took >= LostAfter))
    Window_.noteLost(Sent.Asked_.size(), Sent.Since_, Now);
  else
    Window_.noteAnswered(
        Sent.Asked_.size(), Took,
        Answer ? std::chrono::milliseconds(Answer.value().HandledMs_)
               : Duration(0));
  if (IsWhole && !IsExpired)
    Relays_ = std::move(Answer.value().Relays_);
  for (std::size_t I = 0; I < Sent.Asked_.size(); ++I) {
    Batch::Asked &Own = Sent.Asked_[I];
    jobs::ReportAnswer *Said = IsWhole ? &Answer.value().Answers_[I] : nullptr;
    if (Said && Said->Verdict_ == jobs::ReportVerdict::Answered)
      noteDelivered(Own);
    else if (Own.Ends_)
      keepEnds(Own.Ends_);
    if (!Said) {
      Own.Reply_(Answer
                     ? fail(ErrorCode::Unavailable, "the answers are not whole")
                     : Outcome<jobs::ServerOrders>(Answer.error()));
      continue;
    }
    if (Said->Verdict_ == jobs::ReportVerdict::Expired) {
      defer(Own.IsDraining_, Own.Reply_);
      continue;
    }
    // The server counts its lease from before the report left here.
    if (Said->Orders_.LeaseMs_ > 0)
      noteExtended(Own);
    Own.Reply_(std::move(*Said).toOutcome());
  }
  if (IsWhole)
    noteStops(Answer.value().AwaitingStop_);
  flushSoon();
}
