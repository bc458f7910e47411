//===- ServiceGate.cpp ----------------------------------------------------===//

#include "tulipweir/entry/ServiceGate.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

// The retry time when no server has slots for this entry. The next report may
// bring some.
static constexpr Duration NoServersRetryAfter = milliseconds(1000);
static constexpr double DefaultRetryBudget = 0.1;
static constexpr int MaxChooseTries = 3;

ServiceGate::ServiceGate(const ServiceId &Service, const Clock &Clock,
                         std::uint64_t Seed)
    : Service_(Service), Clock_(Clock), Admission_({}, Clock.now()),
      Chooser_({}, Seed), Budget_(DefaultRetryBudget) {}

void ServiceGate::configure(const fleet::ServiceConfig &Config,
                            double RetryBudget) {
  std::lock_guard Lock(Mutex_);
  decide::AdmissionSettings Settings;
  Settings.QueueLimit_ = Config.QueueLimit_;
  Admission_.setSettings(Settings);
  Budget_.setRetryRatio(RetryBudget);
}

void ServiceGate::setServers(
    const std::vector<std::shared_ptr<ServerSlots>> &Servers) {
  std::vector<decide::GrantedServer> Granted;
  Granted.reserve(Servers.size());
  std::lock_guard Lock(Mutex_);
  Servers_.clear();
  for (const std::shared_ptr<ServerSlots> &Server : Servers) {
    Granted.push_back({Server->server(), Server->getLimit()});
    Servers_.emplace(Server->server(), Server);
  }
  Chooser_.setServers(Granted, Clock_.now());
}

decide::SlotStatus ServiceGate::getSlotView() const {
  return {Chooser_.freeSlots(), Chooser_.totalSlots(), Chooser_.meanLatency()};
}

AcquiredSlot ServiceGate::chooseSlot(TimePoint Now,
                                     const ExcludedServer &Excluded) {
  // Another service may take the last slot of the chosen server first.
  for (int Try = 0; Try < MaxChooseTries; ++Try) {
    const std::optional<BackendServerId> Chosen =
        Chooser_.choose(Now, Excluded);
    if (!Chosen)
      return nullptr;
    const auto It = Servers_.find(*Chosen);
    if (It == Servers_.end() || !It->second->tryAcquire(Now))
      continue;
    Chooser_.recordStart(*Chosen);
    return It->second;
  }
  return nullptr;
}

// Returns whether a queued request can get a slot: a grant is valid and there
// are slots.
bool ServiceGate::canServe(TimePoint Now) const {
  if (Chooser_.totalSlots() == 0)
    return false;
  return std::any_of(
      Servers_.begin(), Servers_.end(),
      [Now](const auto &Server) { return Now < Server.second->getExpiry(); });
}

void ServiceGate::acquireSlot(TimePoint Deadline,
                              const ExcludedServer &Excluded,
                              SlotCallback Done) {
  SlotResult Answer;
  {
    std::lock_guard Lock(Mutex_);
    const TimePoint Now = Clock_.now();
    if (Queue_.empty())
      Answer.Slot_ = chooseSlot(Now, Excluded);
    if (!Answer.Slot_ && !canServe(Now)) {
      Answer.RetryAfter_ = NoServersRetryAfter;
    } else if (!Answer.Slot_) {
      decide::SlotStatus Slots = getSlotView();
      Slots.Free_ = 0; // This request cannot use the free slots.
      const decide::AdmissionResult Decision =
          Admission_.evaluate(Now, Deadline, Slots);
      if (Decision.Choice_ == decide::AdmissionChoice::Queue) {
        Admission_.recordQueued(Now, Slots);
        Queue_.push_back({Deadline, Excluded, std::move(Done)});
        return;
      }
      const bool Full = Decision.Choice_ == decide::AdmissionChoice::QueueFull;
      Answer.Reason_ = Full ? RequestReason::QueueFull : RequestReason::TooLate;
      Answer.RetryAfter_ = Decision.RetryAfter_;
    }
  }
  Done(std::move(Answer));
}

AcquiredSlot ServiceGate::tryAcquireSlot(const ExcludedServer &Excluded) {
  std::lock_guard Lock(Mutex_);
  if (!Queue_.empty())
    return nullptr;
  return chooseSlot(Clock_.now(), Excluded);
}

void ServiceGate::countFirstTry() {
  std::lock_guard Lock(Mutex_);
  Budget_.recordFirstTry();
}

bool ServiceGate::trySpendRetry() {
  std::lock_guard Lock(Mutex_);
  return Budget_.trySpend();
}

bool ServiceGate::recordSlotTaken(const BackendServerId &Server) {
  std::lock_guard Lock(Mutex_);
  if (!Servers_.contains(Server))
    return false;
  Chooser_.recordStart(Server);
  return true;
}

void ServiceGate::recordSlotReleased(
    const BackendServerId &Server, std::optional<decide::RequestResult> Result,
    Duration Latency) {
  std::lock_guard Lock(Mutex_);
  if (Result)
    Chooser_.recordEnd(Server, *Result, Latency, Clock_.now());
  else
    Chooser_.releaseSlot(Server);
}

std::optional<ServiceGate::QueueResult>
ServiceGate::dequeueNext(TimePoint Now) {
  if (Queue_.empty())
    return std::nullopt;
  Waiter &First = Queue_.front();
  SlotResult Answer;
  const Duration Remaining = First.Deadline_ - Now;
  if (Remaining <= Duration::zero() || Remaining < Chooser_.meanLatency()) {
    // The response would miss the deadline, so the slot is left to a request
    // that can use it.
    Admission_.recordAbandoned();
    Answer.Reason_ = RequestReason::TooLate;
    Answer.RetryAfter_ =
        Admission_.evaluate(Now, Now, getSlotView()).RetryAfter_;
  } else if (!canServe(Now)) {
    Admission_.recordAbandoned();
    Answer.RetryAfter_ = NoServersRetryAfter;
  } else {
    Answer.Slot_ = chooseSlot(Now, First.Excluded_);
    // Reusing the excluded server is better than blocking the queue.
    if (!Answer.Slot_ && First.Excluded_)
      Answer.Slot_ = chooseSlot(Now, std::nullopt);
    if (!Answer.Slot_)
      return std::nullopt;
    Admission_.recordDequeued(Now);
  }
  QueueResult Result{std::move(First.Done_), std::move(Answer)};
  Queue_.pop_front();
  return Result;
}

void ServiceGate::dispatchQueue() {
  while (true) {
    std::optional<QueueResult> Next;
    {
      std::lock_guard Lock(Mutex_);
      Next = dequeueNext(Clock_.now());
    }
    if (!Next)
      return;
    Next->Done_(std::move(Next->Answer_));
  }
}

void ServiceGate::sweep() {
  std::vector<QueueResult> Expired;
  {
    std::lock_guard Lock(Mutex_);
    const TimePoint Now = Clock_.now();
    const TimePoint Latest = Now + Chooser_.meanLatency();
    std::deque<Waiter> Kept;
    for (Waiter &Waiting : Queue_) {
      if (Waiting.Deadline_ > Latest) {
        Kept.push_back(std::move(Waiting));
        continue;
      }
      Admission_.recordAbandoned();
      SlotResult Answer;
      Answer.Reason_ = RequestReason::TooLate;
      Answer.RetryAfter_ =
          Admission_.evaluate(Now, Now, getSlotView()).RetryAfter_;
      Expired.push_back({std::move(Waiting.Done_), std::move(Answer)});
    }
    Queue_ = std::move(Kept);
  }
  for (QueueResult &Refusal : Expired)
    Refusal.Done_(std::move(Refusal.Answer_));
  dispatchQueue();
}

void ServiceGate::clear() {
  std::deque<Waiter> Dropped;
  std::lock_guard Lock(Mutex_);
  Dropped.swap(Queue_);
  for (std::size_t Count = Dropped.size(); Count > 0; --Count)
    Admission_.recordAbandoned();
}

Duration ServiceGate::getMeanLatency() const {
  std::lock_guard Lock(Mutex_);
  return Chooser_.meanLatency();
}

std::size_t ServiceGate::getWaiting() const {
  std::lock_guard Lock(Mutex_);
  return Queue_.size();
}

GateView ServiceGate::getView() const {
  std::lock_guard Lock(Mutex_);
  GateView View;
  View.Service_ = Service_;
  View.Waiting_ = Queue_.size();
  View.FreeSlots_ = Chooser_.freeSlots();
  View.TotalSlots_ = Chooser_.totalSlots();
  View.DrainPerSecond_ = Admission_.drainRate(Clock_.now());
  View.RetriesSaved_ = Budget_.balance();
  View.MeanLatency_ = Chooser_.meanLatency();
  View.Servers_ = Chooser_.listServers();
  return View;
}
