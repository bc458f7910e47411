//===- PlannerPropertyTest.cpp ------------------------------------------===//
//
// Sends seeded random events to the planner, late and in any order, and
// compares its sums with a ledger that recomputes them.
//
//===----------------------------------------------------------------------===//

#include "decide/NaiveLedger.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <set>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

namespace {
/// A planner, the reference ledger, and a channel that delays and reorders the
/// events between them.
class PlannerFuzzer {
public:
  explicit PlannerFuzzer(std::uint64_t Seed)
      : Random_(Seed), Planner_(makePolicy(), Seed) {}

  static Policy makePolicy() {
    Policy Settings;
    Settings.AgeingStep_ = 2s;
    Settings.QuarantineTime_ = 5s;
    Settings.Quotas_ = {{TeamId("small"), Resources::makeFor(6000, 6000, 2)}};
    Settings.Targets_ = {{ServiceId("booking"), 100ms}};
    return Settings;
  }

  void step() {
    Now_ += std::chrono::milliseconds(draw(400));
    using Event = void (PlannerFuzzer::*)();
    static constexpr Event Events[] = {
        &PlannerFuzzer::addTasks,     &PlannerFuzzer::addTasks,
        &PlannerFuzzer::changeServer, &PlannerFuzzer::endTask,
        &PlannerFuzzer::endTask,      &PlannerFuzzer::cancelTasks,
        &PlannerFuzzer::reportUsage,  &PlannerFuzzer::reportTail,
        &PlannerFuzzer::removeServer};
    (this->*Events[draw(std::size(Events))])();
    deliver();
    for (const Decision &D : Planner_.decide(Now_, 1 + draw(16)))
      apply(D);
    checkSums();
  }

  /// Ends all tasks, delivers all events, and checks that nothing is reserved.
  void finish() {
    // Placements in flight are committed first, then ended too.
    while (!Events_.empty() || !Ledger_.Placed_.empty()) {
      while (!Ledger_.Placed_.empty())
        end(Ledger_.Placed_.begin()->first, EndReason::Cancelled);
      Now_ += 1min;
      deliver();
    }
    for (const TaskId &Task : Tasks_)
      Planner_.removeWaiting(Task);
    for (const ServerView &View : Planner_.listServers())
      EXPECT_EQ(View.Reserved_, Resources()) << View.Server_.value();
  }

  int PlacementCount_ = 0;
  int RefusedCount_ = 0;

private:
  struct DelayedEvent {
    TimePoint At_;
    std::function<void()> Deliver_;
  };
  struct Outstanding {
    BackendServerId Server_;
    Resources Amount_;
    TimePoint Until_;
  };

  std::size_t draw(std::size_t Below) { return Random_() % Below; }

  void scheduleEvent(std::function<void()> Deliver) {
    const auto Lag = std::chrono::milliseconds(draw(2) ? 0 : draw(4000));
    Events_.push_back({Now_ + Lag, std::move(Deliver)});
  }

  /// Delivers the due events in random order.
  void deliver() {
    std::shuffle(Events_.begin(), Events_.end(), Random_);
    auto Due = std::move(Events_);
    Events_.clear();
    for (DelayedEvent &Item : Due) {
      if (Item.At_ <= Now_)
        Item.Deliver_();
      else
        Events_.push_back(std::move(Item));
    }
  }

  void addTasks() {
    const auto Job = "job-" + std::to_string(draw(40));
    for (std::size_t I = 0; I <= draw(6); ++I) {
      auto Task =
          makeTask(Job, static_cast<std::uint32_t>(draw(8)),
                   Resources::makeFor(static_cast<std::int64_t>(draw(5000)),
                                      static_cast<std::int64_t>(draw(5000)),
                                      static_cast<std::int64_t>(draw(8) == 0)),
                   draw(5) == 0 ? 100 : static_cast<std::uint32_t>(draw(10)));
      Task.Team_ = TeamId(draw(3) == 0 ? "small" : "large");
      Task.NextAttempt_ = AttemptNumber(Attempts_[Task.Task_] + 1);
      Tasks_.insert(Task.Task_);
      TaskInfos_[Task.Task_] = Task;
      Planner_.addWaiting(Task, Now_);
    }
  }

  void changeServer() {
    auto Server = makeServer(
        static_cast<int>(draw(10)),
        Resources::makeFor(8000, 8000, static_cast<std::int64_t>(draw(2))), 3);
    Server.Draining_ = draw(6) == 0;
    const auto It = Ledger_.Servers_.find(Server.Server_);
    if (It != Ledger_.Servers_.end())
      Server.Capacity_ = It->second.Capacity_;
    Ledger_.Servers_[Server.Server_] = Server;
    Planner_.upsertServer(Server);
  }

  void removeServer() {
    if (draw(4) != 0 || Ledger_.Servers_.empty())
      return;
    const auto Server = Ledger_.Servers_.begin()->first;
    std::vector<TaskId> Lost;
    for (const auto &[Id, Entry] : Ledger_.Placed_)
      if (Entry.Server_ == Server)
        Lost.push_back(Id);
    for (const TaskId &Id : Lost)
      end(Id, EndReason::Lost);
    Ledger_.Servers_.erase(Server);
    Planner_.removeServer(Server);
  }

  // Task is passed by value, because the caller may pass a key of the map from
  // which it is erased.
  void end(TaskId Task, EndReason Reason) {
    const auto Attempt = Ledger_.Placed_.at(Task).Attempt_;
    Ledger_.Placed_.erase(Task);
    const TimePoint At = Now_;
    scheduleEvent([=, this] { Planner_.recordEnd(Task, Attempt, Reason, At); });
    if (Reason == EndReason::Finished || Reason == EndReason::Cancelled)
      return;
    auto Next = TaskInfos_[Task];
    Next.NextAttempt_ = AttemptNumber(Attempt.value() + 1);
    scheduleEvent([=, this] { Planner_.addWaiting(Next, At); });
  }

  void endTask() {
    if (Ledger_.Placed_.empty())
      return;
    auto It = Ledger_.Placed_.begin();
    std::advance(It, draw(Ledger_.Placed_.size()));
    end(It->first, static_cast<EndReason>(draw(4)));
  }

  void cancelTasks() {
    const auto Job = JobId("job-" + std::to_string(draw(40)));
    for (std::uint32_t I = 0; I < 8; ++I) {
      Planner_.removeWaiting({Job, I});
      // The log refuses a placement that follows the cancellation.
      Outstanding_.erase({Job, I});
      if (!Ledger_.Placed_.contains({Job, I}))
        ++Attempts_[{Job, I}];
      if (Ledger_.Placed_.contains({Job, I}))
        end({Job, I}, EndReason::Cancelled);
    }
  }

  void reportUsage() {
    for (const auto &[Id, Entry] : Ledger_.Placed_) {
      UsageSample Sample;
      Sample.Task_ = Id;
      Sample.Attempt_ = Entry.Attempt_;
      Sample.Server_ = Entry.Server_;
      const double Part = 0.2 + static_cast<double>(draw(30)) / 10;
      Sample.Usage_ = Resources::makeFor(
          static_cast<std::int64_t>(
              Part * static_cast<double>(Entry.Reservation_.MilliCpus_)),
          static_cast<std::int64_t>(
              Part * static_cast<double>(Entry.Reservation_.MemoryMib_)));
      Sample.SampledAt_ = Now_;
      scheduleEvent([=, this] { Planner_.addUsageSample(Sample); });
    }
  }

  void reportTail() {
    for (const auto &[Id, Info] : Ledger_.Servers_) {
      ServiceSample Sample{Id,
                           ServiceId("booking"),
                           200,
                           std::chrono::milliseconds(40 + draw(200)),
                           static_cast<std::uint32_t>(draw(100)),
                           Now_};
      scheduleEvent([=, this] { Planner_.addServiceSample(Sample); });
    }
  }

  /// Returns the resources of decisions that may still be committed on a
  /// server.
  Resources sumOutstanding(const BackendServerId &Server) const {
    Resources Sum;
    for (const auto &[Task, Pending] : Outstanding_)
      if (Pending.Server_ == Server && Now_ < Pending.Until_)
        Sum = Sum + Pending.Amount_;
    return Sum;
  }

  void checkFits(const BackendServerId &Server) {
    // The planner learns of ended tasks late, so it never counts less than the
    // ledger.
    EXPECT_TRUE(Ledger_.fits(Server, sumOutstanding(Server)))
        << Server.value() << " would be overfilled";
  }

  void apply(const Decision &D) {
    EXPECT_FALSE(D.Text_.empty());
    EXPECT_LE(D.Candidates_.size(), 5U);
    if (D.Kind_ == DecisionKind::Place)
      applyPlace(D);
    else if (D.Kind_ == DecisionKind::Reserve)
      applyReserve(D);
    else if (D.Kind_ == DecisionKind::Evict)
      applyEvict(D);
    else if (D.Kind_ == DecisionKind::Throttle)
      scheduleEvent([=, this] {
        Planner_.updateThrottle(*D.Task_, D.Attempt_, D.ThrottlePercent_, Now_);
      });
  }

  void applyPlace(const Decision &D) {
    ++PlacementCount_;
    const TaskId Task = *D.Task_;
    if (!Ledger_.Servers_.contains(*D.Server_))
      return;
    EXPECT_FALSE(Ledger_.Servers_.at(*D.Server_).Draining_);
    // A placement is not repeated before the effect of the first could arrive.
    const auto Before = DecidedAt_.find({Task, D.Attempt_});
    EXPECT_TRUE(Before == DecidedAt_.end() || Now_ - Before->second >= 5s);
    EXPECT_FALSE(Ledger_.Placed_.contains(Task)) << Task.toString();
    DecidedAt_[{Task, D.Attempt_}] = Now_;
    Outstanding_[Task] = {*D.Server_, D.Reservation_, Now_ + 5s};
    checkFits(*D.Server_);
    const auto Info = TaskInfos_[Task];
    scheduleEvent([=, this] { commitPlace(Info, D); });
  }

  /// Applies the rules of the state machine: only the next attempt is placed,
  /// and no server is overfilled.
  void commitPlace(const TaskInfo &Info, const Decision &D) {
    const TaskId Task = *D.Task_;
    Outstanding_.erase(Task);
    const bool Refused = Ledger_.Placed_.contains(Task) ||
                         D.Attempt_.value() != Attempts_[Task] + 1 ||
                         !Ledger_.fits(*D.Server_, D.Reservation_);
    if (Refused) {
      ++RefusedCount_;
      return;
    }
    Attempts_[Task] = D.Attempt_.value();
    Ledger_.Placed_[Task] = {Info, D.Attempt_, *D.Server_, D.Reservation_};
    // The leader learns of a commit when it is applied.
    Planner_.recordPlacement(Info, D.Attempt_, *D.Server_, D.Reservation_,
                             Now_);
  }

  void applyReserve(const Decision &D) {
    const auto It = Ledger_.Placed_.find(*D.Task_);
    if (It == Ledger_.Placed_.end() || It->second.Attempt_ != D.Attempt_)
      return;
    const Resources Before = It->second.Reservation_;
    if (!Ledger_.fits(*D.Server_, D.Reservation_ - Before))
      return;
    It->second.Reservation_ = D.Reservation_;
    checkFits(*D.Server_);
    Planner_.updateReservation(*D.Task_, D.Attempt_, D.Reservation_);
  }

  void applyEvict(const Decision &D) {
    const auto It = Ledger_.Placed_.find(*D.Task_);
    if (It == Ledger_.Placed_.end() || It->second.Attempt_ != D.Attempt_)
      return;
    end(*D.Task_, EndReason::Evicted);
  }

  void checkSums() {
    for (const auto &[Id, Info] : Ledger_.Servers_) {
      const Resources Limit = Info.Capacity_ - Info.ServiceShare_;
      ASSERT_TRUE(Ledger_.sumReservedOn(Id).fitsIn(Limit)) << Id.value();
    }
  }

  std::mt19937_64 Random_;
  TimePoint Now_{1h};
  Planner Planner_;
  NaiveLedger Ledger_;
  std::vector<DelayedEvent> Events_;
  std::map<TaskId, Outstanding> Outstanding_;
  std::map<TaskId, std::uint64_t> Attempts_;
  std::map<TaskId, TaskInfo> TaskInfos_;
  std::set<TaskId> Tasks_;
  std::map<std::pair<TaskId, AttemptNumber>, TimePoint> DecidedAt_;
};
} // namespace

TEST(PlannerPropertyTest, NoOrderOfEventsOverfillsAServer) {
  int Placements = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    PlannerFuzzer Fuzzer(Seed);
    for (int I = 0; I < 400; ++I)
      Fuzzer.step();
    Fuzzer.finish();
    Placements += Fuzzer.PlacementCount_;
    if (HasFailure())
      FAIL() << "seed " << Seed;
  }
  EXPECT_GT(Placements, 5000);
}
