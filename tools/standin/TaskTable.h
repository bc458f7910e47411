//===- TaskTable.h - The tasks of one stand-in server ----------*- C++ -*-===//
//
// What a backend server does with its tasks: runs them under leases by its own
// monotonic clock, checks fencing tokens, writes checkpoints, throttles, stops.
// Work is simulated: a task is a number of milliseconds. No clock inside.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_TASKTABLE_H
#define TULIPWEIR_TOOLS_STANDIN_TASKTABLE_H

#include "tulipweir/core/Time.h"
#include "tulipweir/wire/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace tulipweir::standin {

/// What happened to one attempt, for the audit log.
struct TaskEvent {
  enum class Kind {
    Started,
    Ended,    ///< No longer running, State_ says how.
    Refused,  ///< A command with a superseded token or a lease that is over.
    Overfull, ///< Started although the reservations exceed the capacity.
  };
  Kind Kind_ = Kind::Started;
  TaskId Task_;
  AttemptNumber Attempt_;
  FencingToken Token_;
  wire::AttemptState State_ = wire::AttemptState::Running;
  std::string Checkpoint_; ///< Started: resumed from; Ended: written last.
  std::string Message_;
  TimePoint At_; ///< Ended: until when it may have run.
  bool operator==(const TaskEvent &) const = default;
};

struct TaskTableSettings {
  Resources Capacity_;
  Duration UsageLag_ = std::chrono::seconds(1);
  Duration CheckpointTime_ = std::chrono::milliseconds(50);
  /// How long the end of an attempt is kept in the inventory once delivered.
  Duration KeepEnded_ = std::chrono::seconds(30);
};

/// Not thread-safe.
class TaskTable {
public:
  explicit TaskTable(const TaskTableSettings &Settings);

  /// Obeys the answer to an announcement that was sent at SentAt.
  std::vector<TaskEvent> apply(const wire::AnnouncementReply &Reply,
                               TimePoint SentAt, TimePoint Now);
  /// Lets the tasks work until Now, and stops those whose lease ran out.
  std::vector<TaskEvent> tick(TimePoint Now);
  /// The VM restarts: everything is gone.
  std::vector<TaskEvent> crash(TimePoint Now);
  /// Reports of ended attempts in Sent have reached a leader.
  void noteDelivered(const std::vector<wire::AttemptReport> &Sent,
                     TimePoint Now);
  /// While set, each task fails as soon as it is started.
  void setFailing(bool Failing) { Failing_ = Failing; }

  std::vector<wire::AttemptReport> getInventory(TimePoint Now) const;
  std::size_t countRunning() const;
  /// Whether an end is held that no leader has heard of.
  bool hasUndelivered() const;
  /// By how many percent the running tasks slow the services down.
  double getNoisePercent() const;

private:
  struct Attempt {
    AttemptNumber Number_;
    FencingToken Token_;
    wire::AttemptState State_ = wire::AttemptState::Running;
    Resources Reservation_;
    Resources Usage_;
    double WorkMs_ = 0;
    double DoneMs_ = 0;
    double SavedMs_ = 0; ///< What the last checkpoint holds.
    double SaveEveryMs_ = 0;
    double NoisePercent_ = 0;
    bool FailsAtEnd_ = false;
    std::uint32_t ThrottlePercent_ = 100;
    std::string Checkpoint_;
    std::string Message_;
    TimePoint StartedAt_;
    TimePoint WorkedUntil_;
    TimePoint LeaseUntil_;
    TimePoint CheckpointDue_ = TimePoint::max();
    TimePoint DeliveredAt_ = TimePoint::max();
  };

  void runCommand(const wire::TaskCommand &Command, TimePoint LeaseUntil,
                  TimePoint Now, std::vector<TaskEvent> &Events);
  void start(const wire::TaskCommand &Command, TimePoint LeaseUntil,
             TimePoint Now, std::vector<TaskEvent> &Events);
  void stop(const TaskId &Task, const wire::TaskCommand &Command, TimePoint Now,
            std::vector<TaskEvent> &Events);
  void renew(const wire::LeaseRenewal &Renewal, TimePoint LeaseUntil);
  void work(const TaskId &Task, Attempt &Held, TimePoint Now,
            std::vector<TaskEvent> &Events);
  void end(const TaskId &Task, Attempt &Held, wire::AttemptState State,
           std::string Message, TimePoint At, std::vector<TaskEvent> &Events);
  Attempt *findRunning(const TaskId &Task, AttemptNumber Number,
                       const FencingToken &Token);
  Resources sumReservations() const;

  TaskTableSettings Settings_;
  bool Failing_ = false;
  std::map<TaskId, Attempt> Attempts_;
  std::map<TaskId, FencingToken> HighestTokens_;
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_TASKTABLE_H
