//===- PlannerPropertyTest.cpp ------------------------------------------===//
//
// Random events from seeds, told late and in any order, against a ledger that
// checks everything by scanning.
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
/// A planner, the ledger, and a channel between them that delays.
class Fuzz {
public:
  explicit Fuzz(std::uint64_t Seed)
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
    using Event = void (Fuzz::*)();
    static constexpr Event Events[] = {
        &Fuzz::addTasks,  &Fuzz::addTasks,   &Fuzz::changeServer,
        &Fuzz::endTask,   &Fuzz::endTask,    &Fuzz::cancelTasks,
        &Fuzz::reportUse, &Fuzz::reportTail, &Fuzz::loseServer};
    (this->*Events[draw(std::size(Events))])();
    deliver();
    for (const Decision &Value : Planner_.decide(Now_, 1 + draw(16)))
      take(Value);
    checkSums();
  }

  /// Ends all, delivers all, and checks that nothing is held any more.
  void finish() {
    // Placements that are on their way are committed, then ended too.
    while (!Channel_.empty() || !Ledger_.Placed_.empty()) {
      while (!Ledger_.Placed_.empty())
        end(Ledger_.Placed_.begin()->first, EndReason::Cancelled);
      Now_ += 1min;
      deliver();
    }
    for (const TaskId &Task : Known_)
      Planner_.removeWaiting(Task);
    for (const ServerView &View : Planner_.listServers())
      EXPECT_EQ(View.Reserved_, Resources()) << View.Server_.value();
  }

  int Places_ = 0;
  int Refused_ = 0;

private:
  struct Delayed {
    TimePoint At_;
    std::function<void()> Tell_;
  };
  struct Outstanding {
    BackendServerId Server_;
    Resources Amount_;
    TimePoint Until_;
  };

  std::size_t draw(std::size_t Below) { return Random_() % Below; }

  void tellLater(std::function<void()> Tell) {
    const auto Lag = std::chrono::milliseconds(draw(2) ? 0 : draw(4000));
    Channel_.push_back({Now_ + Lag, std::move(Tell)});
  }

  /// Tells what is due, in any order.
  void deliver() {
    std::shuffle(Channel_.begin(), Channel_.end(), Random_);
    auto Due = std::move(Channel_);
    Channel_.clear();
    for (Delayed &Each : Due) {
      if (Each.At_ <= Now_)
        Each.Tell_();
      else
        Channel_.push_back(std::move(Each));
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
      Known_.insert(Task.Task_);
      Infos_[Task.Task_] = Task;
      Planner_.addWaiting(Task, Now_);
    }
  }

  void changeServer() {
    auto Server = makeServer(
        static_cast<int>(draw(10)),
        Resources::makeFor(8000, 8000, static_cast<std::int64_t>(draw(2))), 3);
    Server.Draining_ = draw(6) == 0;
    const auto Known = Ledger_.Servers_.find(Server.Server_);
    if (Known != Ledger_.Servers_.end())
      Server.Capacity_ = Known->second.Capacity_;
    Ledger_.Servers_[Server.Server_] = Server;
    Planner_.upsertServer(Server);
  }

  void loseServer() {
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

  // By value: the caller may pass a key of the map that is erased from.
  void end(TaskId Task, EndReason Reason) {
    const auto Attempt = Ledger_.Placed_.at(Task).Attempt_;
    Ledger_.Placed_.erase(Task);
    const TimePoint At = Now_;
    tellLater([=, this] { Planner_.noteEnded(Task, Attempt, Reason, At); });
    if (Reason == EndReason::Finished || Reason == EndReason::Cancelled)
      return;
    auto Next = Infos_[Task];
    Next.NextAttempt_ = AttemptNumber(Attempt.value() + 1);
    tellLater([=, this] { Planner_.addWaiting(Next, At); });
  }

  void endTask() {
    if (Ledger_.Placed_.empty())
      return;
    auto Some = Ledger_.Placed_.begin();
    std::advance(Some, draw(Ledger_.Placed_.size()));
    end(Some->first, static_cast<EndReason>(draw(4)));
  }

  void cancelTasks() {
    const auto Job = JobId("job-" + std::to_string(draw(40)));
    for (std::uint32_t I = 0; I < 8; ++I) {
      Planner_.removeWaiting({Job, I});
      // The log refuses a placement that comes after the cancellation.
      Outstanding_.erase({Job, I});
      if (!Ledger_.Placed_.contains({Job, I}))
        ++Attempts_[{Job, I}];
      if (Ledger_.Placed_.contains({Job, I}))
        end({Job, I}, EndReason::Cancelled);
    }
  }

  void reportUse() {
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
      tellLater([=, this] { Planner_.noteUsage(Sample); });
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
      tellLater([=, this] { Planner_.noteService(Sample); });
    }
  }

  /// What was handed out and may still be committed, per server.
  Resources outstandingOn(const BackendServerId &Server) const {
    Resources Sum;
    for (const auto &[Task, Value] : Outstanding_)
      if (Value.Server_ == Server && Now_ < Value.Until_)
        Sum = Sum + Value.Amount_;
    return Sum;
  }

  void checkFits(const BackendServerId &Server) {
    // The planner hears of ends late, so it never counts less than we do.
    EXPECT_TRUE(Ledger_.fits(Server, outstandingOn(Server)))
        << Server.value() << " would be overfilled";
  }

  void take(const Decision &Value) {
    EXPECT_FALSE(Value.Text_.empty());
    EXPECT_LE(Value.Candidates_.size(), 5U);
    if (Value.Kind_ == DecisionKind::Place)
      takePlace(Value);
    else if (Value.Kind_ == DecisionKind::Reserve)
      takeReserve(Value);
    else if (Value.Kind_ == DecisionKind::Evict)
      takeEvict(Value);
    else if (Value.Kind_ == DecisionKind::Throttle)
      tellLater([=, this] {
        Planner_.noteThrottle(*Value.Task_, Value.Attempt_,
                              Value.ThrottlePercent_, Now_);
      });
  }

  void takePlace(const Decision &Value) {
    ++Places_;
    const TaskId Task = *Value.Task_;
    if (!Ledger_.Servers_.contains(*Value.Server_))
      return;
    EXPECT_FALSE(Ledger_.Servers_.at(*Value.Server_).Draining_);
    // Not decided twice before the first one's effect could be told.
    const auto Before = Emitted_.find({Task, Value.Attempt_});
    EXPECT_TRUE(Before == Emitted_.end() || Now_ - Before->second >= 5s);
    EXPECT_FALSE(Ledger_.Placed_.contains(Task)) << Task.toString();
    Emitted_[{Task, Value.Attempt_}] = Now_;
    Outstanding_[Task] = {*Value.Server_, Value.Reservation_, Now_ + 5s};
    checkFits(*Value.Server_);
    const auto Info = Infos_[Task];
    tellLater([=, this] { commitPlace(Info, Value); });
  }

  /// The state machine's rules: next attempt only, never overfull.
  void commitPlace(const TaskInfo &Info, const Decision &Value) {
    const TaskId Task = *Value.Task_;
    Outstanding_.erase(Task);
    const bool Refused = Ledger_.Placed_.contains(Task) ||
                         Value.Attempt_.value() != Attempts_[Task] + 1 ||
                         !Ledger_.fits(*Value.Server_, Value.Reservation_);
    if (Refused) {
      ++Refused_;
      return;
    }
    Attempts_[Task] = Value.Attempt_.value();
    Ledger_.Placed_[Task] = {Info, Value.Attempt_, *Value.Server_,
                             Value.Reservation_};
    // The leader is told of a commit when it is applied.
    Planner_.notePlaced(Info, Value.Attempt_, *Value.Server_,
                        Value.Reservation_, Now_);
  }

  void takeReserve(const Decision &Value) {
    const auto Found = Ledger_.Placed_.find(*Value.Task_);
    if (Found == Ledger_.Placed_.end() ||
        Found->second.Attempt_ != Value.Attempt_)
      return;
    const Resources Before = Found->second.Reservation_;
    if (!Ledger_.fits(*Value.Server_, Value.Reservation_ - Before))
      return;
    Found->second.Reservation_ = Value.Reservation_;
    checkFits(*Value.Server_);
    Planner_.noteReservation(*Value.Task_, Value.Attempt_, Value.Reservation_);
  }

  void takeEvict(const Decision &Value) {
    const auto Found = Ledger_.Placed_.find(*Value.Task_);
    if (Found == Ledger_.Placed_.end() ||
        Found->second.Attempt_ != Value.Attempt_)
      return;
    end(*Value.Task_, EndReason::Evicted);
  }

  void checkSums() {
    for (const auto &[Id, Info] : Ledger_.Servers_) {
      const Resources Limit = Info.Capacity_ - Info.ServiceShare_;
      ASSERT_TRUE(Ledger_.usedOn(Id).fitsIn(Limit)) << Id.value();
    }
  }

  std::mt19937_64 Random_;
  TimePoint Now_{1h};
  Planner Planner_;
  NaiveLedger Ledger_;
  std::vector<Delayed> Channel_;
  std::map<TaskId, Outstanding> Outstanding_;
  std::map<TaskId, std::uint64_t> Attempts_;
  std::map<TaskId, TaskInfo> Infos_;
  std::set<TaskId> Known_;
  std::map<std::pair<TaskId, AttemptNumber>, TimePoint> Emitted_;
};
} // namespace

TEST(PlannerPropertyTest, NoEventsInAnyOrderOverfillAServer) {
  int Places = 0;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    Fuzz Run(Seed);
    for (int I = 0; I < 400; ++I)
      Run.step();
    Run.finish();
    Places += Run.Places_;
    if (HasFailure())
      FAIL() << "seed " << Seed;
  }
  EXPECT_GT(Places, 5000);
}
