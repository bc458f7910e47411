//===- ControlWorld.h - Controls of a data centre, by hand -----*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_CONTROL_CONTROLWORLD_H
#define TULIPWEIR_TESTS_CONTROL_CONTROLWORLD_H

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

/// One control process without sockets.
struct TestControl {
  TestControl(const std::string &Name, ManualClock &Time, FakeLog &Own,
              FakeLog &All, BundleFile *File = nullptr)
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
        Group_(Own, Name, Machine_), FleetGroup_(All, Name, Fleet_),
        Core_(std::make_unique<ControlCore>(
            makeSettings(Name),
            CoreParts{Time, Strand_, Strand_, Peers_, Feed_, Machine_, Fleet_,
                      Group_, FleetGroup_, Metrics_, File})) {
    Core_->start();
  }

  /// Sends a message and returns the answer; nullopt while there is none.
  template <class Request>
  std::optional<Outcome<typename Request::Reply>> send(const Request &Value) {
    auto Got = std::make_shared<std::optional<Outcome<std::string>>>();
    Core_->handle(Request::Kind, wire::encode(Value),
                  [Got](Outcome<std::string> Body) { *Got = std::move(Body); });
    Strand_.run();
    if (!*Got)
      return std::nullopt;
    if (!**Got)
      return Outcome<typename Request::Reply>((*Got)->as_failure());
    return wire::decode<typename Request::Reply>((*Got)->value());
  }
  wire::OperatorAnswer call(const std::string &Method, const std::string &Path,
                            const std::string &Body = "",
                            const std::string &Query = "") {
    const auto Got = send(wire::OperatorCall{Method, Path, Query, Body});
    return Got && *Got ? Got->value() : wire::OperatorAnswer{};
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

/// Two controls of one data centre over the same two logs; the first leads
/// both. The second reaches the first as a peer.
class ControlWorld {
public:
  ControlWorld() {
    Own_.lead(&A_.Group_);
    All_.lead(&A_.FleetGroup_);
    B_.Peers_.Answers_["c1"] = [this](wire::MessageKind Kind,
                                      const std::string &Body) {
      Outcome<std::string> Got = fail(ErrorCode::Timeout, "");
      A_.Core_->handle(Kind, Body,
                       [&Got](Outcome<std::string> Reply) { Got = Reply; });
      A_.Strand_.run();
      return Got;
    };
    settle();
  }

  /// Lets time pass in steps, with both controls running.
  void pass(Duration Time) {
    for (Duration Done{}; Done < Time; Done += milliseconds(50)) {
      Time_.advance(milliseconds(50));
      A_.Strand_.run();
      B_.Strand_.run();
    }
  }
  void settle() { pass(seconds(3)); }

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
    Value.Attempts_ = Held_;
    return Value;
  }
  /// One announcement to To, obeyed as a backend server would.
  wire::AnnouncementReply announce(TestControl &To) {
    const auto Got = To.send(makeAnnouncement());
    if (!Got || !*Got)
      return {};
    for (const wire::TaskCommand &Command : Got->value().Commands_)
      if (Obeys_)
        obey(Command);
    return Got->value();
  }
  /// Time passes while s1 announces itself to To.
  void beat(TestControl &To, Duration Time) {
    for (Duration Done{}; Done < Time; Done += milliseconds(500)) {
      pass(milliseconds(500));
      announce(To);
    }
  }
  void obey(const wire::TaskCommand &Command) {
    const auto Found =
        std::find_if(Held_.begin(), Held_.end(), [&Command](const auto &One) {
          return One.Task_ == Command.Task_ && One.Attempt_ == Command.Attempt_;
        });
    if (Command.Kind_ == wire::TaskCommandKind::Start && Found == Held_.end()) {
      wire::AttemptReport Report;
      Report.Task_ = Command.Task_;
      Report.Attempt_ = Command.Attempt_;
      Report.Token_ = Command.Token_;
      Held_.push_back(Report);
      ++Starts_[Command.Task_];
      Resumed_ = Command.Checkpoint_;
    }
    if (Command.Kind_ == wire::TaskCommandKind::Stop && Found != Held_.end())
      Held_.erase(Found);
    if (Command.Kind_ == wire::TaskCommandKind::Checkpoint &&
        Found != Held_.end()) {
      Found->State_ = wire::AttemptState::Checkpointed;
      Found->Checkpoint_ = "half";
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
    const datacentre::TaskRecord *Found = nullptr;
    At.Machine_.withState([&](const auto &State) {
      Found = State.findTask({JobId(Job), 0});
    });
    return Found;
  }

  ManualClock Time_;
  FakeLog Own_;
  FakeLog All_;
  TestControl A_{"c1", Time_, Own_, All_};
  TestControl B_{"c2", Time_, Own_, All_};
  std::vector<wire::AttemptReport> Held_; ///< What s1 runs.
  std::map<TaskId, int> Starts_;
  bool Obeys_ = true;   ///< s1 does what it is commanded.
  std::string Resumed_; ///< Where the latest start was to resume.
  std::uint64_t Sequence_ = 0;
};

} // namespace tulipweir::control::test

#endif // TULIPWEIR_TESTS_CONTROL_CONTROLWORLD_H
