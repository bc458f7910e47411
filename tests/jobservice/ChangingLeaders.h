//===- ChangingLeaders.h - A fleet whose leader changes ---------*- C++ -*-===//
//
// Several members with a shared log, and servers that follow the platform's
// protocol, under one manual clock. A test forces the order of events: losses
// of servers, changes of the leader, and messages that are held or dropped.
// The fleet measures for how long long-running tasks are away and checks that
// no task runs on two servers. Equal seeds give equal results.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_CHANGINGLEADERS_H
#define TULIPWEIR_TESTS_JOBSERVICE_CHANGINGLEADERS_H

#include "jobservice/EmulatedMember.h"
#include "jobservice/EmulatedServer.h"

#include <random>

namespace tulipweir::jobservice::test {

struct LeadersScenario {
  std::uint64_t Seed_ = 1;
  std::size_t Members_ = 5;
  std::size_t Servers_ = 40;
  Duration Lease_ = std::chrono::seconds(6);
  int ClockSlowPercent_ = 2; ///< Of the servers' clocks.
  Duration CommitInterval_ = std::chrono::milliseconds(20);
  std::uint64_t LongRunningJobs_ = 4; ///< Of TasksPerJob each.
  /// The interval between jobs of short tasks.
  Duration JobInterval_ = std::chrono::milliseconds(500);
  /// Whether servers report when they started, and their clocks.
  bool HasStartTimes_ = false;
  /// The number of the last report that each server sent before.
  std::uint64_t LastSequence_ = 0;
  /// Whether proposals that are open at a change of the leader are committed.
  bool KeepsProposals_ = true;
  Duration Length_ = std::chrono::seconds(40);
};

/// How a server that is gone starts again.
struct ServerRestart {
  bool KeepsId_ = false; ///< Otherwise it has a new id.
  /// How far the server's time of day was set back meanwhile.
  std::chrono::milliseconds ClockStepBack_{};
  Duration FirstReportDelay_{};
};

/// A member or a server.
struct Endpoint {
  enum class Kind : std::uint8_t { Member, Server };
  Kind Kind_ = Kind::Member;
  std::size_t Number_ = 0;
  bool operator==(const Endpoint &) const = default;
};

enum class MessageKind : std::uint8_t {
  Report,       ///< A server's report.
  Answer,       ///< The answer to a server.
  Batch,        ///< A relay's batch to the leader.
  BatchAnswer,  ///< The leader's answers to a batch.
  FlushRequest, ///< The leader's request to a relay.
  LeaseQuery,   ///< A new leader's question about leases, and its answer.
  Witness,      ///< The leader's request to record reports, and its answer.
};

struct Message {
  Endpoint From_;
  Endpoint To_;
  MessageKind Kind_ = MessageKind::Report;
  std::function<void()> Handle_; ///< Runs at the receiver.
  std::function<void()> Failed_; ///< Runs if the receiver's process is down.
};

class ChangingLeaders {
public:
  enum class Fate : std::uint8_t { Deliver, Hold, Drop };
  /// Decides about each message when it is sent.
  using MessageFilter = std::function<Fate(const Message &)>;

  explicit ChangingLeaders(const LeadersScenario &Scenario);

  // Commands.

  /// Calls Observer for each event that a member logs. It may plan actions,
  /// which run in the same step, before any commit and any message.
  void setEventObserver(std::function<void(const Event &)> Observer) {
    ObserveEvent_ = std::move(Observer);
  }
  /// Runs Action after When from the beginning.
  void at(Duration When, std::function<void()> Action);
  void run();
  /// Sends a message, which takes the network's delay. Messages behind a held
  /// one between the same endpoints are held too.
  void send(Message Sent);
  void setFilter(MessageFilter Filter) { Filter_ = std::move(Filter); }
  /// Removes the filter and delivers the held messages in their order.
  void releaseHeld();

  // Events.

  /// The server ends without notice, with all that runs on it.
  void crash(std::size_t Server);
  /// The server runs on, but its messages are lost in both directions.
  void cut(std::size_t Server);
  /// Ends a cut.
  void reconnect(std::size_t Server);
  /// The server ends and says so to the leader, once.
  void leave(std::size_t Server);
  /// A server that is gone starts again at its address.
  void restartServer(std::size_t Server, const ServerRestart &How = {});
  /// Cancels a long-running job.
  void cancel(const std::string &Job);
  /// The leader steps down; the member To leads after Gap, or later the next
  /// one that can be elected.
  void transferLeadership(std::size_t To, Duration Gap);
  /// A member's process ends. If it led, the member To leads after Gap.
  void kill(std::size_t Member, std::size_t To, Duration Gap);
  /// Starts a killed member without its memory.
  void restart(std::size_t Member);
  /// Adds a member to the group or removes it, if the leader can commit that.
  /// The process of a removed member runs on.
  void changeMember(std::size_t Member, bool IsAdded);
  /// The member's messages to and from other members are lost, and those of
  /// servers too if so told. If it led, To leads after Gap.
  void silence(std::size_t Member, std::size_t To, Duration Gap,
               bool HearsServers = false);
  void endSilence(std::size_t Member);
  /// The leader counts as overloaded for two seconds.
  void markOverloaded();

  // Queries.

  Duration getTime() const { return Time_.now() - StartedAt_; }
  std::size_t getLeader() const { return Group_.findLeader().value_or(0); }
  bool isUp(std::size_t Member) const { return Members_[Member] != nullptr; }
  const SharedGroup &group() const { return Group_; }
  /// Returns the number of a server that is not gone.
  std::optional<std::size_t> findServer(const std::string &Id) const;
  std::size_t getHome(std::size_t Server) const {
    return Servers_[Server].Home_;
  }
  /// Lists servers with Count long-running tasks or more, at most Limit.
  std::vector<std::size_t> listServersWithLongRunning(std::size_t Count,
                                                      std::size_t Limit) const;
  /// Describes the longest absence and the events around it.
  std::string describe() const;

  // Results.

  std::vector<std::string> Violations_;
  /// Longest time from a long-running task's last run to its next start, or to
  /// the end of the simulation.
  Duration MaxDowntime_{};
  /// The same, from the last placement on a server that was lost before the
  /// task ran there.
  Duration MaxDowntimeSincePlacement_{};
  /// Longest time from the first report of a server that has started again
  /// under its id until it has a lease, or until the end of the simulation.
  Duration MaxTimeToLease_{};
  /// Longest time for which a run continued after the acknowledgement of its
  /// job's cancellation.
  Duration MaxTimeAfterCancel_{};
  std::size_t Absences_ = 0; ///< Absences of more than a second.
  std::size_t Started_ = 0;
  std::vector<std::string> Events_;

private:
  /// Returns the time in seconds.
  static std::string formatTime(Duration Time);
  static constexpr Duration Step = std::chrono::milliseconds(5);

  using TaskKey = jobs::TaskKey;

  struct Server : EmulatedServer {
    std::uint64_t Incarnation_ = 0;
    std::uint64_t FencingToken_ = 0;
    std::size_t Home_ = 0; ///< The member that takes its reports.
    bool IsCut_ = false;
    bool HadLease_ = false;
    TimePoint FirstReport_{};
  };
  struct Call {
    std::function<bool()> IsDone_;
    std::function<void()> Expire_;
    TimePoint Deadline_{};
  };
  struct TaskHistory {
    bool HasRun_ = false;
    bool IsAway_ = false;
    TimePoint LastRunning_{};
    std::size_t Placements_ = 0; ///< Since it last ran.
    TimePoint PlacedAt_{};
    TimePoint PreviouslyPlacedAt_{};
  };
  struct Absence {
    TaskKey Task_;
    Duration From_{};
    Duration Until_{};
    std::size_t Placements_ = 0;
  };
  /// Records removals, elections and placements.
  class Log final : public EventLog {
  public:
    explicit Log(std::function<void(const Event &)> Notify)
        : Notify_(std::move(Notify)) {}
    void write(const Event &Value) override { Notify_(Value); }

  private:
    const std::function<void(const Event &)> Notify_;
  };

  void step();
  void startMember(std::size_t Number);
  void electAfter(std::size_t To, Duration Gap);
  bool isLost(const Endpoint &From, const Endpoint &To) const;
  void deliver(const Message &Sent);
  std::size_t findMember(const std::string &Name) const;
  /// Returns a callback that runs Done once, with Timeout if nothing has called
  /// it by then.
  template <typename Reply>
  std::function<void(const Outcome<Reply> &)>
  addCall(std::function<void(const Outcome<Reply> &)> Done, Duration Timeout);
  /// Asks a member, which answers at once.
  template <typename Reply>
  void ask(std::size_t From, const std::string &To, MessageKind Kind,
           std::function<Reply(EmulatedMember &)> Handle,
           std::function<void(const Outcome<Reply> &)> Done);
  void callWithBatch(std::size_t From, const std::string &To,
                     jobs::ReportBatch Batch, Duration Timeout,
                     ReportRelay::BatchDone Done);
  void submit(const std::string &Id, bool IsLongRunning);
  void submitWork();
  void report(std::size_t Number);
  void moveOn(Server &Backend, Duration Pause);
  void handleAnswer(std::size_t Number, std::uint64_t Sequence,
                    const Outcome<jobs::ServerOrders> &Answer);
  void startRun(Server &Backend, const jobs::StartOrder &Start);
  void recordAcknowledgedEnds(const Server &Backend,
                              const jobs::ServerOrders &Orders);
  /// Ends the measurement of a restarted server's time to its first lease.
  void recordTimeToLease(const Server &Backend);
  /// Returns the time of day in milliseconds.
  std::uint64_t getWallMs() const;
  void recordEvent(const Event &Value);
  void recordPlacement(const Event &Started);
  void recordAbsence(const TaskKey &Task, TaskHistory &History);
  void updateObservations();
  void recordViolation(const std::string &What, const TaskKey &Task);
  std::uint64_t drawBelow(std::uint64_t Limit) { return Random_() % Limit; }

  const LeadersScenario Scenario_;
  std::mt19937_64 Random_;
  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  jobs::JobLeaderSettings Settings_;
  Log Log_{[this](const Event &Value) { recordEvent(Value); }};
  SharedGroup Group_;
  std::vector<std::shared_ptr<EmulatedMember>> Members_; ///< Null while down.
  std::vector<Server> Servers_;
  std::multimap<Duration, std::function<void()>> Actions_;
  MessageFilter Filter_;
  std::function<void(const Event &)> ObserveEvent_;
  std::deque<Message> Held_;
  std::deque<Call> Calls_;
  std::map<TaskKey, TaskHistory> Histories_;
  std::set<std::string> LongRunningJobs_;
  std::set<std::size_t> HearingServers_; ///< Silent members that hear servers.
  /// Cancelled jobs and when the cancellation was acknowledged.
  std::map<std::string, TimePoint> Cancelled_;
  std::set<std::string> Submitted_; ///< Jobs whose submission succeeded.
  std::set<TaskKey> Completed_; ///< Tasks whose completion was acknowledged.
  std::vector<Absence> LongAbsences_;
  std::size_t NextJobNumber_ = 0;
  TimePoint StartedAt_{};
  TimePoint NextCommit_{};
  TimePoint NextJob_{};
  TimePoint NextTimeoutCheck_{};
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_CHANGINGLEADERS_H
