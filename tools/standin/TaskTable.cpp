#include "standin/TaskTable.h"

#include <nlohmann/json.hpp>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::standin;
using Json = nlohmann::json;
using wire::AttemptState;

static constexpr double DefaultWorkMs = 1000;

static double toMs(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

static std::string makeCheckpoint(double DoneMs) {
  return Json{{"doneMs", static_cast<std::int64_t>(DoneMs)}}.dump();
}

static double readNumber(const Json &From, const char *Name, double Default) {
  auto Found = From.find(Name);
  if (Found == From.end() || !Found->is_number())
    return Default;
  return Found->get<double>();
}

static Json readObject(const std::string &Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  return Parsed.is_object() ? Parsed : Json::object();
}

/// "fail" is true, or the number of first attempts that fail.
static bool readFail(const Json &Payload, AttemptNumber Number) {
  auto Found = Payload.find("fail");
  if (Found == Payload.end())
    return false;
  if (Found->is_boolean())
    return Found->get<bool>();
  return Found->is_number() &&
         Found->get<double>() >= static_cast<double>(Number.value());
}

TaskTable::TaskTable(const TaskTableSettings &Settings) : Settings_(Settings) {}

std::vector<TaskEvent> TaskTable::apply(const wire::AnnouncementReply &Reply,
                                        TimePoint SentAt, TimePoint Now) {
  // First, so that a lease that is over cannot be renewed.
  std::vector<TaskEvent> Events = tick(Now);
  TimePoint LeaseUntil = SentAt + std::chrono::milliseconds(Reply.LeaseTtlMs_);
  for (const wire::LeaseRenewal &Renewal : Reply.Renewals_)
    renew(Renewal, LeaseUntil);
  for (const wire::TaskCommand &Command : Reply.Commands_)
    runCommand(Command, LeaseUntil, Now, Events);
  return Events;
}

void TaskTable::renew(const wire::LeaseRenewal &Renewal, TimePoint LeaseUntil) {
  Attempt *Held = findRunning(Renewal.Task_, Renewal.Attempt_, Renewal.Token_);
  if (Held)
    Held->LeaseUntil_ = std::max(Held->LeaseUntil_, LeaseUntil);
}

void TaskTable::runCommand(const wire::TaskCommand &Command,
                           TimePoint LeaseUntil, TimePoint Now,
                           std::vector<TaskEvent> &Events) {
  FencingToken &Highest = HighestTokens_[Command.Task_];
  if (Command.Token_ < Highest) {
    Events.push_back({TaskEvent::Kind::Refused, Command.Task_, Command.Attempt_,
                      Command.Token_, AttemptState::Running, "",
                      "the token was superseded", Now});
    return;
  }
  Highest = Command.Token_;
  switch (Command.Kind_) {
  case wire::TaskCommandKind::Start:
    return start(Command, LeaseUntil, Now, Events);
  case wire::TaskCommandKind::Stop:
    return stop(Command.Task_, Command, Now, Events);
  case wire::TaskCommandKind::Checkpoint:
    if (Attempt *Held =
            findRunning(Command.Task_, Command.Attempt_, Command.Token_))
      Held->CheckpointDue_ =
          std::min(Held->CheckpointDue_, Now + Settings_.CheckpointTime_);
    return;
  case wire::TaskCommandKind::Throttle:
    if (Attempt *Held =
            findRunning(Command.Task_, Command.Attempt_, Command.Token_))
      Held->ThrottlePercent_ = std::min(Command.ThrottlePercent_, 100U);
    return;
  }
}

void TaskTable::start(const wire::TaskCommand &Command, TimePoint LeaseUntil,
                      TimePoint Now, std::vector<TaskEvent> &Events) {
  auto Known = Attempts_.find(Command.Task_);
  if (Known != Attempts_.end()) {
    Attempt &Held = Known->second;
    // A repeated command: the inventory shows how that attempt stands.
    if (Held.Token_ == Command.Token_ && Held.Number_ == Command.Attempt_)
      return;
    if (Held.State_ == AttemptState::Running)
      end(Command.Task_, Held, AttemptState::Stopped, "superseded", Now,
          Events);
    Attempts_.erase(Known);
  }
  if (Now >= LeaseUntil) {
    Events.push_back({TaskEvent::Kind::Refused, Command.Task_, Command.Attempt_,
                      Command.Token_, AttemptState::Running, "",
                      "the lease was over on arrival", Now});
    return;
  }
  Json Payload = readObject(Command.Payload_);
  Attempt Held;
  Held.Number_ = Command.Attempt_;
  Held.Token_ = Command.Token_;
  Held.Reservation_ = Command.Reservation_;
  Held.Usage_ = Resources::makeFor(
      static_cast<std::int64_t>(readNumber(
          Payload, "milliCpus", double(Command.Reservation_.MilliCpus_))),
      static_cast<std::int64_t>(readNumber(
          Payload, "memoryMib", double(Command.Reservation_.MemoryMib_))),
      Command.Reservation_.Accelerators_);
  Held.WorkMs_ = readNumber(Payload, "workMs", DefaultWorkMs);
  Held.SaveEveryMs_ = readNumber(Payload, "checkpointEveryMs", 0);
  Held.NoisePercent_ = readNumber(Payload, "noisePercent", 0);
  Held.FailsAtEnd_ = readFail(Payload, Command.Attempt_);
  Held.Checkpoint_ = Command.Checkpoint_;
  Held.DoneMs_ = readNumber(readObject(Command.Checkpoint_), "doneMs", 0);
  Held.SavedMs_ = Held.DoneMs_;
  Held.StartedAt_ = Now;
  Held.WorkedUntil_ = Now;
  Held.LeaseUntil_ = LeaseUntil;
  if (!(sumReservations() + Held.Reservation_).fitsIn(Settings_.Capacity_))
    Events.push_back({TaskEvent::Kind::Overfull, Command.Task_,
                      Command.Attempt_, Command.Token_, AttemptState::Running,
                      "", "reservations exceed the capacity", Now});
  Events.push_back({TaskEvent::Kind::Started, Command.Task_, Command.Attempt_,
                    Command.Token_, AttemptState::Running, Command.Checkpoint_,
                    "", Now});
  Attempts_.emplace(Command.Task_, std::move(Held));
}

void TaskTable::stop(const TaskId &Task, const wire::TaskCommand &Command,
                     TimePoint Now, std::vector<TaskEvent> &Events) {
  auto Known = Attempts_.find(Task);
  if (Known == Attempts_.end() || Command.Token_ < Known->second.Token_)
    return;
  if (Known->second.State_ != AttemptState::Running) {
    // The leader has no use for this report any more.
    Attempts_.erase(Known);
    return;
  }
  end(Task, Known->second, AttemptState::Stopped, "stopped on command", Now,
      Events);
}

std::vector<TaskEvent> TaskTable::tick(TimePoint Now) {
  std::vector<TaskEvent> Events;
  for (auto &[Task, Held] : Attempts_)
    if (Held.State_ == AttemptState::Running)
      work(Task, Held, Now, Events);
  std::erase_if(Attempts_, [&](const auto &Entry) {
    const Attempt &Held = Entry.second;
    return Held.DeliveredAt_ != TimePoint::max() &&
           Now - Held.DeliveredAt_ > Settings_.KeepEnded_;
  });
  return Events;
}

void TaskTable::work(const TaskId &Task, Attempt &Held, TimePoint Now,
                     std::vector<TaskEvent> &Events) {
  TimePoint Until = std::min(Now, Held.LeaseUntil_);
  if (Until > Held.WorkedUntil_) {
    Held.DoneMs_ +=
        toMs(Until - Held.WorkedUntil_) * Held.ThrottlePercent_ / 100.0;
    Held.WorkedUntil_ = Until;
  }
  if (Now >= Held.LeaseUntil_)
    return end(Task, Held, AttemptState::Stopped, "the lease ran out", Until,
               Events);
  if (Failing_)
    return end(Task, Held, AttemptState::Failed, "every task fails here", Now,
               Events);
  if (Held.DoneMs_ >= Held.WorkMs_) {
    AttemptState State =
        Held.FailsAtEnd_ ? AttemptState::Failed : AttemptState::Finished;
    return end(Task, Held, State, Held.FailsAtEnd_ ? "the payload says so" : "",
               Now, Events);
  }
  bool SaveDue = Held.SaveEveryMs_ > 0 &&
                 Held.DoneMs_ - Held.SavedMs_ >= Held.SaveEveryMs_;
  if (SaveDue || Now >= Held.CheckpointDue_) {
    Held.SavedMs_ = Held.DoneMs_;
    Held.Checkpoint_ = makeCheckpoint(Held.DoneMs_);
  }
  if (Now >= Held.CheckpointDue_)
    end(Task, Held, AttemptState::Checkpointed, "", Now, Events);
}

void TaskTable::end(const TaskId &Task, Attempt &Held, AttemptState State,
                    std::string Message, TimePoint At,
                    std::vector<TaskEvent> &Events) {
  Held.State_ = State;
  Held.Message_ = Message;
  Events.push_back({TaskEvent::Kind::Ended, Task, Held.Number_, Held.Token_,
                    State, Held.Checkpoint_, std::move(Message), At});
}

std::vector<TaskEvent> TaskTable::crash(TimePoint Now) {
  std::vector<TaskEvent> Events = tick(Now);
  for (auto &[Task, Held] : Attempts_)
    if (Held.State_ == AttemptState::Running)
      end(Task, Held, AttemptState::Stopped, "the VM restarted", Now, Events);
  Attempts_.clear();
  HighestTokens_.clear();
  return Events;
}

void TaskTable::noteDelivered(const std::vector<wire::AttemptReport> &Sent,
                              TimePoint Now) {
  for (const wire::AttemptReport &Report : Sent) {
    auto Known = Attempts_.find(Report.Task_);
    if (Report.State_ == AttemptState::Running || Known == Attempts_.end())
      continue;
    Attempt &Held = Known->second;
    if (Held.Token_ == Report.Token_ && Held.Number_ == Report.Attempt_ &&
        Held.DeliveredAt_ == TimePoint::max())
      Held.DeliveredAt_ = Now;
  }
}

std::vector<wire::AttemptReport> TaskTable::getInventory(TimePoint Now) const {
  std::vector<wire::AttemptReport> Reports;
  for (const auto &[Task, Held] : Attempts_) {
    wire::AttemptReport Report;
    Report.Task_ = Task;
    Report.Attempt_ = Held.Number_;
    Report.Token_ = Held.Token_;
    Report.State_ = Held.State_;
    Report.Checkpoint_ = Held.Checkpoint_;
    Report.Message_ = Held.Message_;
    // The measurement that is known now was taken UsageLag_ ago.
    if (Now - Held.StartedAt_ >= Settings_.UsageLag_)
      Report.Usage_ = Held.Usage_;
    Report.UsageAgeMs_ = static_cast<std::uint32_t>(toMs(Settings_.UsageLag_));
    Report.ProgressMs_ =
        static_cast<std::uint32_t>(std::max(0.0, Held.DoneMs_ - Held.SavedMs_));
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

std::size_t TaskTable::countRunning() const {
  return static_cast<std::size_t>(
      std::count_if(Attempts_.begin(), Attempts_.end(), [](const auto &Entry) {
        return Entry.second.State_ == AttemptState::Running;
      }));
}

bool TaskTable::hasUndelivered() const {
  return std::any_of(Attempts_.begin(), Attempts_.end(), [](const auto &Entry) {
    return Entry.second.State_ != AttemptState::Running &&
           Entry.second.DeliveredAt_ == TimePoint::max();
  });
}

double TaskTable::getNoisePercent() const {
  double Sum = 0;
  for (const auto &[Task, Held] : Attempts_)
    if (Held.State_ == AttemptState::Running)
      Sum += Held.NoisePercent_ * Held.ThrottlePercent_ / 100.0;
  return Sum;
}

TaskTable::Attempt *TaskTable::findRunning(const TaskId &Task,
                                           AttemptNumber Number,
                                           const FencingToken &Token) {
  auto Known = Attempts_.find(Task);
  if (Known == Attempts_.end())
    return nullptr;
  Attempt &Held = Known->second;
  bool Same = Held.Number_ == Number && Held.Token_ == Token;
  return Same && Held.State_ == AttemptState::Running ? &Held : nullptr;
}

Resources TaskTable::sumReservations() const {
  Resources Sum;
  for (const auto &[Task, Held] : Attempts_)
    if (Held.State_ == AttemptState::Running)
      Sum = Sum + Held.Reservation_;
  return Sum;
}
