//===- ServiceGate.cpp ----------------------------------------------------===//

#include "tulipweir/entry/ServiceGate.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

// No server has slots for us: the next report may bring some.
static constexpr Duration NoServersRetry = milliseconds(1000);
static constexpr double DefaultRetryBudget = 0.1;
static constexpr int MaxChoices = 3;

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

decide::SlotStatus ServiceGate::viewSlots() const {
  return {Chooser_.freeSlots(), Chooser_.totalSlots(), Chooser_.meanLatency()};
}

TakenSlot ServiceGate::takeSlot(TimePoint Now, const ExceptServer &Except) {
  // A chosen server's slots may have gone to another service meanwhile.
  for (int Try = 0; Try < MaxChoices; ++Try) {
    const std::optional<BackendServerId> Chosen = Chooser_.choose(Now, Except);
    if (!Chosen)
      return nullptr;
    const auto Found = Servers_.find(*Chosen);
    if (Found == Servers_.end() || !Found->second->tryTake(Now))
      continue;
    Chooser_.recordStart(*Chosen);
    return Found->second;
  }
  return nullptr;
}

// Whether waiting makes sense: some grant holds, and it has slots.
bool ServiceGate::canServe(TimePoint Now) const {
  if (Chooser_.totalSlots() == 0)
    return false;
  return std::any_of(Servers_.begin(), Servers_.end(), [Now](const auto &One) {
    return Now < One.second->getUntil();
  });
}

void ServiceGate::enter(TimePoint Deadline, const ExceptServer &Except,
                        GateDone Done) {
  GateAnswer Answer;
  {
    std::lock_guard Lock(Mutex_);
    const TimePoint Now = Clock_.now();
    if (Queue_.empty())
      Answer.Slot_ = takeSlot(Now, Except);
    if (!Answer.Slot_ && !canServe(Now)) {
      Answer.RetryAfter_ = NoServersRetry;
    } else if (!Answer.Slot_) {
      decide::SlotStatus Slots = viewSlots();
      Slots.Free_ = 0; // What is free is not for this request.
      const decide::AdmissionResult Asked =
          Admission_.evaluate(Now, Deadline, Slots);
      if (Asked.Choice_ == decide::AdmissionChoice::Queue) {
        Admission_.recordQueued(Now, Slots);
        Queue_.push_back({Deadline, Except, std::move(Done)});
        return;
      }
      const bool Full = Asked.Choice_ == decide::AdmissionChoice::QueueFull;
      Answer.Reason_ = Full ? RequestReason::QueueFull : RequestReason::TooLate;
      Answer.RetryAfter_ = Asked.RetryAfter_;
    }
  }
  Done(std::move(Answer));
}

TakenSlot ServiceGate::tryEnter(const ExceptServer &Except) {
  std::lock_guard Lock(Mutex_);
  if (!Queue_.empty())
    return nullptr;
  return takeSlot(Clock_.now(), Except);
}

void ServiceGate::noteFirstTry() {
  std::lock_guard Lock(Mutex_);
  Budget_.recordFirstTry();
}

bool ServiceGate::trySpendRetry() {
  std::lock_guard Lock(Mutex_);
  return Budget_.trySpend();
}

bool ServiceGate::noteTaken(const BackendServerId &Server) {
  std::lock_guard Lock(Mutex_);
  if (!Servers_.contains(Server))
    return false;
  Chooser_.recordStart(Server);
  return true;
}

void ServiceGate::noteEnded(const BackendServerId &Server,
                            std::optional<decide::RequestResult> Result,
                            Duration Latency) {
  std::lock_guard Lock(Mutex_);
  if (Result)
    Chooser_.recordEnd(Server, *Result, Latency, Clock_.now());
  else
    Chooser_.releaseSlot(Server);
}

std::optional<ServiceGate::Handed> ServiceGate::takeNext(TimePoint Now) {
  if (Queue_.empty())
    return std::nullopt;
  Waiter &First = Queue_.front();
  GateAnswer Answer;
  const Duration Left = First.Deadline_ - Now;
  if (Left <= Duration::zero() || Left < Chooser_.meanLatency()) {
    // Its answer would come too late: the slot is for one that can use it.
    Admission_.recordAbandoned();
    Answer.Reason_ = RequestReason::TooLate;
    Answer.RetryAfter_ = Admission_.evaluate(Now, Now, viewSlots()).RetryAfter_;
  } else if (!canServe(Now)) {
    Admission_.recordAbandoned();
    Answer.RetryAfter_ = NoServersRetry;
  } else {
    Answer.Slot_ = takeSlot(Now, First.Except_);
    // Better the server that was tried before than to hold up the queue.
    if (!Answer.Slot_ && First.Except_)
      Answer.Slot_ = takeSlot(Now, std::nullopt);
    if (!Answer.Slot_)
      return std::nullopt;
    Admission_.recordDequeued(Now);
  }
  Handed Result{std::move(First.Done_), std::move(Answer)};
  Queue_.pop_front();
  return Result;
}

void ServiceGate::drain() {
  while (true) {
    std::optional<Handed> Next;
    {
      std::lock_guard Lock(Mutex_);
      Next = takeNext(Clock_.now());
    }
    if (!Next)
      return;
    Next->Done_(std::move(Next->Answer_));
  }
}

void ServiceGate::sweep() {
  std::vector<Handed> Refused;
  {
    std::lock_guard Lock(Mutex_);
    const TimePoint Now = Clock_.now();
    const TimePoint Latest = Now + Chooser_.meanLatency();
    std::deque<Waiter> Kept;
    for (Waiter &One : Queue_) {
      if (One.Deadline_ > Latest) {
        Kept.push_back(std::move(One));
        continue;
      }
      Admission_.recordAbandoned();
      GateAnswer Answer;
      Answer.Reason_ = RequestReason::TooLate;
      Answer.RetryAfter_ =
          Admission_.evaluate(Now, Now, viewSlots()).RetryAfter_;
      Refused.push_back({std::move(One.Done_), std::move(Answer)});
    }
    Queue_ = std::move(Kept);
  }
  for (Handed &One : Refused)
    One.Done_(std::move(One.Answer_));
  drain();
}

void ServiceGate::clear() {
  std::deque<Waiter> Dropped;
  std::lock_guard Lock(Mutex_);
  Dropped.swap(Queue_);
  for (std::size_t Count = Dropped.size(); Count > 0; --Count)
    Admission_.recordAbandoned();
}

Duration ServiceGate::getServiceTime() const {
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
