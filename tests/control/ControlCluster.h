//===- ControlCluster.h - A simulated data centre --------------*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_CONTROL_CONTROLCLUSTER_H
#define TULIPWEIR_TESTS_CONTROL_CONTROLCLUSTER_H

#include "control/ControlCore.h"
#include "control/Fakes.h"
#include "fleet/FleetFixture.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace tulipweir::control::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration TestLeaseTtl = seconds(3);

inline ControlSettings makeSettings(const std::string &Name) {
  ControlSettings Settings;
  Settings.Name_ = Name;
  Settings.DataCentre_ = "east";
  Settings.MemoryOnly_ = true;
  Settings.LeaseTtl_ = TestLeaseTtl;
  Settings.AssignmentTtl_ = std::chrono::minutes(10);
  std::uint16_t Port = 7000;
  for (const char *Member : {"c1", "c2", "c3"}) {
    Settings.DataCentreMembers_.push_back({Member, {"127.0.0.1", ++Port}});
    Settings.FleetMembers_.push_back(Settings.DataCentreMembers_.back());
  }
  return Settings;
}

/// A control process without sockets.
struct TestControl {
  TestControl(const std::string &Name, ManualClock &Time,
              FakeLog &DataCentreLog, FakeLog &FleetLog,
              BundleFile *File = nullptr)
      : Strand_(Time),
        Machine_({}, [this](const auto &Value) { Feed_.publish(Value); }),
        Fleet_(
            [this](const auto &Value, const auto &Result) {
              if (Core_)
                Core_->onFleetApplied(Value, Result);
            },
            [this] {
              if (Core_)
                Core_->onFleetRestored();
            }),
        Group_(DataCentreLog, Name, Machine_),
        FleetGroup_(FleetLog, Name, Fleet_),
        Core_(std::make_unique<ControlCore>(
            makeSettings(Name),
            CoreParts{Time, Strand_, Strand_, Peers_, Feed_, Machine_, Fleet_,
                      Group_, FleetGroup_, Metrics_, File})) {
    Core_->start();
  }

  /// Sends a message and returns its reply; nullopt if there is none yet.
  template <class Request>
  std::optional<Outcome<typename Request::Reply>> send(const Request &Value) {
    auto Received = std::make_shared<std::optional<Outcome<std::string>>>();
    Core_->handle(
        Request::Kind, wire::encode(Value),
        [Received](Outcome<std::string> Body) { *Received = std::move(Body); });
    Strand_.run();
    if (!*Received)
      return std::nullopt;
    if (!**Received)
      return Outcome<typename Request::Reply>((*Received)->as_failure());
    return wire::decode<typename Request::Reply>((*Received)->value());
  }
  wire::OperatorAnswer call(const std::string &Method, const std::string &Path,
                            const std::string &Body = "",
                            const std::string &Query = "") {
    const auto Received = send(wire::OperatorCall{Method, Path, Query, Body});
    return Received && *Received ? Received->value() : wire::OperatorAnswer{};
  }

  ManualExecutor Strand_;
  net::Metrics Metrics_;
  FakePeers Peers_;
  ChangeFeed Feed_;
  datacentre::DataCentreStateMachine Machine_;
  fleet::FleetStateMachine Fleet_;
  FakeReplica Group_;
  FakeReplica FleetGroup_;
  std::unique_ptr<ControlCore> Core_;
};

/// Two control processes of one data centre over the same two logs. The first
/// one leads both; the second one reaches the first as a peer.
class ControlCluster {
public:
  ControlCluster() {
    DataCentreLog_.lead(&A_.Group_);
    FleetLog_.lead(&A_.FleetGroup_);
    B_.Peers_.Answers_["c1"] = [this](wire::MessageKind Kind,
                                      const std::string &Body) {
      Outcome<std::string> Received = fail(ErrorCode::Timeout, "");
      A_.Core_->handle(Kind, Body, [&Received](Outcome<std::string> Reply) {
        Received = Reply;
      });
      A_.Strand_.run();
      return Received;
    };
    advanceUntilStable();
  }

  /// Advances the time in steps and runs both control processes.
  void advanceTime(Duration Time) {
    for (Duration Done{}; Done < Time; Done += milliseconds(50)) {
      Time_.advance(milliseconds(50));
      A_.Strand_.run();
      B_.Strand_.run();
    }
  }
  void advanceUntilStable() { advanceTime(seconds(3)); }

  wire::Announcement makeAnnouncement() {
    wire::Announcement Value;
    Value.Server_ = BackendServerId("s1");
    Value.Boot_ = BootId("boot1");
    Value.DataCentre_ = DataCentreId("east");
    Value.Rack_ = RackId("r1");
    Value.Address_ = "127.0.0.1:9000";
    Value.Capacity_ = Resources::makeFor(8000, 8000);
    Value.Services_ = {ServiceId("booking")};
    Value.Slots_ = 8;
    Value.Connections_ = 16;
    Value.Sequence_ = ++Sequence_;
    Value.Attempts_ = HeldAttempts_;
    return Value;
  }
  /// Sends an announcement of s1 to To and executes the commands of its reply.
  wire::AnnouncementReply announce(TestControl &To) {
    const auto Received = To.send(makeAnnouncement());
    if (!Received || !*Received)
      return {};
    for (const wire::TaskCommand &Command : Received->value().Commands_)
      if (ExecutesCommands_)
        execute(Command);
    return Received->value();
  }
  /// Advances the time while s1 sends announcements to To.
  void advanceWithHeartbeats(TestControl &To, Duration Time) {
    for (Duration Done{}; Done < Time; Done += milliseconds(500)) {
      advanceTime(milliseconds(500));
      announce(To);
    }
  }
  void execute(const wire::TaskCommand &Command) {
    const auto It = std::find_if(HeldAttempts_.begin(), HeldAttempts_.end(),
                                 [&Command](const auto &Held) {
                                   return Held.Task_ == Command.Task_ &&
                                          Held.Attempt_ == Command.Attempt_;
                                 });
    if (Command.Kind_ == wire::TaskCommandKind::Start &&
        It == HeldAttempts_.end()) {
      wire::AttemptReport Report;
      Report.Task_ = Command.Task_;
      Report.Attempt_ = Command.Attempt_;
      Report.Token_ = Command.Token_;
      HeldAttempts_.push_back(Report);
      ++Starts_[Command.Task_];
      ResumeCheckpoint_ = Command.Checkpoint_;
    }
    if (Command.Kind_ == wire::TaskCommandKind::Stop &&
        It != HeldAttempts_.end())
      HeldAttempts_.erase(It);
    if (Command.Kind_ == wire::TaskCommandKind::Checkpoint &&
        It != HeldAttempts_.end()) {
      It->State_ = wire::AttemptState::Checkpointed;
      It->Checkpoint_ = "half";
    }
  }
  void submit(TestControl &To, const std::string &Job, unsigned Tasks = 1) {
    const auto Answer =
        To.call("POST", "/jobs",
                R"({"job":")" + Job + R"(","team":"t","tasks":)" +
                    std::to_string(Tasks) +
                    R"(,"declared":{"milliCpus":1000,"memoryMib":100}})");
    ASSERT_EQ(Answer.Status_, 200U) << Answer.Body_;
  }
  const datacentre::TaskRecord *findTask(TestControl &At,
                                         const std::string &Job) {
    const datacentre::TaskRecord *Task = nullptr;
    At.Machine_.withState([&](const auto &State) {
      Task = State.findTask({JobId(Job), 0});
    });
    return Task;
  }

  ManualClock Time_;
  FakeLog DataCentreLog_;
  FakeLog FleetLog_;
  TestControl A_{"c1", Time_, DataCentreLog_, FleetLog_};
  TestControl B_{"c2", Time_, DataCentreLog_, FleetLog_};
  std::vector<wire::AttemptReport>
      HeldAttempts_; ///< The attempts that backend server s1 runs.
  std::map<TaskId, int> Starts_;
  bool ExecutesCommands_ = true; ///< Whether s1 executes commands.
  std::string
      ResumeCheckpoint_; ///< The checkpoint of the latest start command.
  std::uint64_t Sequence_ = 0;
};

} // namespace tulipweir::control::test

#endif // TULIPWEIR_TESTS_CONTROL_CONTROLCLUSTER_H
