//===- PlannerTest.cpp --------------------------------------------------===//

#include "tulipweir/decide/Planner.h"

#include "decide/NaiveLedger.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

static constexpr std::size_t Budget = 64;
static constexpr Resources Small{1000, 1000, 0};
static constexpr Resources FullServer{8000, 8000, 0};

namespace {
class PlannerTest : public testing::Test {
protected:
  void addServers(int Count, const Resources &Capacity = FullServer) {
    for (int I = 0; I < Count; ++I)
      Planner_.upsertServer(makeServer(I, Capacity));
  }
  void addJob(const std::string &Job, std::uint32_t Tasks,
              const Resources &Declared = Small, std::uint32_t Priority = 0) {
    for (std::uint32_t I = 0; I < Tasks; ++I)
      add(makeTask(Job, I, Declared, Priority));
  }
  void add(const TaskInfo &Task) {
    TaskInfos_[Task.Task_] = Task;
    Planner_.addWaiting(Task, Now_);
  }
  std::vector<Decision> decide() { return Planner_.decide(Now_, Budget); }
  /// Decides, reports every effect at once, and ends evicted tasks.
  std::vector<Decision> decideAndCommit() {
    auto Decisions = decide();
    for (const Decision &D : Decisions)
      commit(D);
    return Decisions;
  }
  void commit(const Decision &D) {
    if (D.Kind_ == DecisionKind::Place) {
      Planner_.recordPlacement(TaskInfos_[*D.Task_], D.Attempt_, *D.Server_,
                               D.Reservation_, Now_);
      Placed_[*D.Task_] = D;
    } else if (D.Kind_ == DecisionKind::Evict) {
      end(*D.Task_, EndReason::Evicted);
    }
  }
  // Task is passed by value, because the caller may pass a key of the map from
  // which it is erased.
  void end(TaskId Task, EndReason Reason) {
    const auto Attempt = Placed_.at(Task).Attempt_;
    Placed_.erase(Task);
    Planner_.recordEnd(Task, Attempt, Reason, Now_);
    TaskInfos_[Task].NextAttempt_ = AttemptNumber(Attempt.value() + 1);
  }
  Resources sumReserved() const {
    Resources Sum;
    for (const ServerView &View : Planner_.listServers())
      Sum = Sum + View.Reserved_;
    return Sum;
  }

  Policy Settings_;
  Planner Planner_{Settings_, 7};
  TimePoint Now_{1h};
  std::map<TaskId, TaskInfo> TaskInfos_;
  std::map<TaskId, Decision> Placed_;
};
} // namespace

TEST_F(PlannerTest, DecisionShowsCandidatesChoiceAndReason) {
  addServers(4);
  addJob("a", 1);
  const auto Decisions = decide();
  ASSERT_EQ(Decisions.size(), 1U);
  const Decision &D = Decisions[0];
  EXPECT_EQ(D.Kind_, DecisionKind::Place);
  EXPECT_EQ(D.Reservation_, Small);
  ASSERT_FALSE(D.Candidates_.empty());
  EXPECT_EQ(D.Candidates_[0].Server_, *D.Server_);
  EXPECT_NE(D.Text_.find("a/0"), std::string::npos);
  EXPECT_NE(D.Text_.find(D.Server_->value()), std::string::npos);
}

TEST_F(PlannerTest, SameDecisionIsNotRepeatedBeforeItsRetryTime) {
  addServers(1);
  addJob("a", 1);
  EXPECT_EQ(decide().size(), 1U);
  Now_ += 4s;
  EXPECT_TRUE(decide().empty());
  Now_ += 2s;
  EXPECT_EQ(decide().size(), 1U);
}

TEST_F(PlannerTest, FindsTheOnlyServerWithRoom) {
  addServers(200, {500, 500, 0});
  Planner_.upsertServer(makeServer(777, FullServer));
  addJob("a", 8);
  for (const Decision &D : decideAndCommit())
    EXPECT_EQ(D.Server_, makeServerId(777));
  EXPECT_EQ(Placed_.size(), 8U);
}

TEST_F(PlannerTest, AJobThatNeverFitsIsExplainedAndBlocksNoOther) {
  addServers(2);
  addJob("huge", 1, {9000, 1000, 0});
  addJob("gpu", 1, {1000, 1000, 1});
  addJob("a", 16);
  decideAndCommit();
  EXPECT_EQ(Placed_.size(), 16U);
  const auto Explained = Planner_.explain({JobId("huge"), 0}, Now_);
  ASSERT_TRUE(Explained && Explained->Last_);
  EXPECT_EQ(Explained->Last_->Reason_, ReasonCode::NeverFits);
  EXPECT_NE(Explained->WhatWouldHelp_.find("9 processors"), std::string::npos);
  // The reason is reported once, not on each call.
  Now_ += 1h;
  EXPECT_TRUE(decide().empty());
  Planner_.upsertServer(makeServer(9, {16000, 8000, 1}));
  EXPECT_EQ(filterByKind(decideAndCommit(), DecisionKind::Place).size(), 2U);
}

TEST_F(PlannerTest, JobsThatNeverFitDoNotDelayOneThatFits) {
  addServers(1);
  for (int I = 0; I < 1000; ++I)
    addJob("huge-" + std::to_string(I), 1, {9000, 1, 0}, 50);
  addJob("a", 1);
  for (int Calls = 0; Calls < 1000 / int(Budget) + 2; ++Calls)
    decideAndCommit();
  EXPECT_TRUE(Placed_.contains({JobId("a"), 0}));
}

TEST_F(PlannerTest, AFullQuotaDoesNotBlockOtherTeams) {
  Settings_.Quotas_ = {{TeamId("team"), Resources::makeFor(3000, 99999)}};
  Planner_.setPolicy(Settings_);
  addServers(2);
  addJob("a", 5);
  auto Other = makeTask("b", 0, Small);
  Other.Team_ = TeamId("other");
  add(Other);
  decideAndCommit();
  EXPECT_EQ(Placed_.size(), 4U);
  EXPECT_TRUE(Placed_.contains(Other.Task_));
  const auto Explained = Planner_.explain({JobId("a"), 4}, Now_);
  EXPECT_NE(Explained->WhatWouldHelp_.find("quota"), std::string::npos);
  end({JobId("a"), 0}, EndReason::Finished);
  EXPECT_EQ(filterByKind(decideAndCommit(), DecisionKind::Place).size(), 1U);
}

TEST_F(PlannerTest, UrgentTasksEvictTheTaskThatLosesLeastWork) {
  addServers(3);
  addJob("batch", 24);
  decideAndCommit();
  ASSERT_EQ(Placed_.size(), 24U);
  // All tasks but one have much work since their last checkpoint.
  const TaskId Cheap{JobId("batch"), 11};
  Now_ += 10s;
  for (const auto &[Id, D] : Placed_)
    Planner_.addUsageSample({Id, D.Attempt_, *D.Server_, Small,
                             Id == Cheap ? Duration(1s) : Duration(100s),
                             Now_});
  addJob("urgent", 1, Small, 100);
  const auto Evictions = filterByKind(decide(), DecisionKind::Evict);
  ASSERT_EQ(Evictions.size(), 1U);
  EXPECT_EQ(Evictions[0].Task_, Cheap);
  EXPECT_EQ(Evictions[0].Reason_, ReasonCode::UrgentWork);
  // No other task is evicted while the effect of the eviction is awaited.
  Now_ += 2s;
  EXPECT_TRUE(decide().empty());
  commit(Evictions[0]);
  // The room stays reserved for the urgent task, although others wait too.
  addJob("more", 3);
  Now_ += 100ms;
  decideAndCommit();
  EXPECT_TRUE(Placed_.contains({JobId("urgent"), 0}));
  EXPECT_FALSE(Placed_.contains({JobId("more"), 0}));
}

TEST_F(PlannerTest, UrgentTasksNeverEvictUrgentTasks) {
  addServers(1);
  addJob("urgent", 8, Small, 100);
  decideAndCommit();
  addJob("higher", 1, Small, 200);
  EXPECT_TRUE(filterByKind(decide(), DecisionKind::Evict).empty());
}

TEST_F(PlannerTest, AHigherPriorityGoesFirstWithinTheAgeingBound) {
  Settings_.AgeingStep_ = 30s;
  Planner_.setPolicy(Settings_);
  addJob("low", 1, Small, 1);
  Now_ += 119s; // Four steps of priority outweigh 120 s of waiting.
  addJob("high", 1, Small, 5);
  addServers(1, Small);
  EXPECT_EQ(decide()[0].Task_->Job_, JobId("high"));
}

TEST_F(PlannerTest, ALongWaitOutweighsAHigherPriority) {
  Settings_.AgeingStep_ = 30s;
  Planner_.setPolicy(Settings_);
  addJob("low", 1, Small, 1);
  Now_ += 121s;
  addJob("high", 1, Small, 5);
  addServers(1, Small);
  EXPECT_EQ(decide()[0].Task_->Job_, JobId("low"));
}

TEST_F(PlannerTest, LargeTaskIsNotStarvedByAStreamOfSmallOnes) {
  Settings_.AgeingStep_ = 10s;
  Planner_.setPolicy(Settings_);
  addServers(4);
  addJob("filler", 32);
  decideAndCommit();
  addJob("large", 1, FullServer, 5);
  // Each second one running task ends and a new small one arrives.
  std::uint32_t Next = 0;
  int Seconds = 0;
  while (!Placed_.contains({JobId("large"), 0}) && ++Seconds < 300) {
    Now_ += 1s;
    add(makeTask("stream", Next++, Small));
    end(Placed_.begin()->first, EndReason::Finished);
    decideAndCommit();
  }
  // The bound is two ageing steps, the longest back-off, and the end of every
  // task on the claimed server.
  EXPECT_LE(Seconds, 20 + 8 + 32);
}

TEST_F(PlannerTest, CancellationReleasesExactlyTheReservedResources) {
  addServers(10);
  addJob("keep", 20);
  addJob("drop", 60);
  while (Placed_.size() < 70)
    decideAndCommit();
  decide(); // The remaining tasks are proposed and not committed.
  for (std::uint32_t I = 0; I < 60; ++I) {
    const TaskId Task{JobId("drop"), I};
    Planner_.removeWaiting(Task);
    if (Placed_.contains(Task))
      end(Task, EndReason::Cancelled);
  }
  EXPECT_EQ(sumReserved(), Resources::makeFor(20000, 20000));
  // Later tasks can use all of the freed resources.
  addJob("next", 60);
  decideAndCommit();
  EXPECT_EQ(Placed_.size(), 80U);
}

TEST_F(PlannerTest, AnEvictedTaskIsPlacedOnceAsItsNextAttempt) {
  addServers(2);
  addJob("a", 1);
  decideAndCommit();
  const TaskId Task{JobId("a"), 0};
  const Decision First = Placed_.at(Task);
  end(Task, EndReason::Evicted);
  Planner_.addWaiting(TaskInfos_[Task], Now_);
  Planner_.addWaiting(TaskInfos_[Task], Now_); // The event is repeated.
  const auto Again = filterByKind(decideAndCommit(), DecisionKind::Place);
  ASSERT_EQ(Again.size(), 1U);
  EXPECT_EQ(Again[0].Attempt_, AttemptNumber(2));
  // Late repetitions of the first attempt's events change nothing.
  Planner_.recordPlacement(TaskInfos_[Task], First.Attempt_, *First.Server_,
                           Small, Now_);
  Planner_.recordEnd(Task, First.Attempt_, EndReason::Evicted, Now_);
  auto Old = TaskInfos_[Task];
  Old.NextAttempt_ = AttemptNumber(1);
  Planner_.addWaiting(Old, Now_);
  Now_ += 1h;
  EXPECT_TRUE(decide().empty());
  EXPECT_EQ(sumReserved(), Small);
}

TEST_F(PlannerTest, ADrainingServerGetsNoTasksAndItsTasksAreEvicted) {
  addServers(2);
  addJob("a", 8);
  decideAndCommit();
  auto Leaving = makeServer(0, FullServer);
  Leaving.Draining_ = true;
  Planner_.upsertServer(Leaving);
  addJob("b", 4);
  for (const Decision &D : decideAndCommit()) {
    if (D.Kind_ == DecisionKind::Place) {
      EXPECT_EQ(D.Server_, makeServerId(1));
    } else if (D.Kind_ == DecisionKind::Evict) {
      EXPECT_EQ(D.Reason_, ReasonCode::ServerLeaving);
    }
  }
  EXPECT_EQ(Planner_.listServers()[0].Tasks_, 0U);
}

TEST_F(PlannerTest, SpreadsAJobOverRacks) {
  Settings_.SpreadWeight_ = 100;
  Planner_.setPolicy(Settings_);
  for (int I = 0; I < 8; ++I)
    Planner_.upsertServer(makeServer(I, FullServer, 2));
  for (std::uint32_t I = 0; I < 4; ++I) {
    add(makeTask("a", I, Small));
    decideAndCommit();
  }
  std::map<int, int> Counts;
  for (const auto &[Id, D] : Placed_)
    ++Counts[std::stoi(D.Server_->value().substr(3)) / 2];
  EXPECT_EQ(Counts.size(), 4U);
}

TEST_F(PlannerTest, ReservationsFollowTheUsageOfUnthrottledTasks) {
  addServers(4);
  addJob("a", 8, {1000, 2000, 0});
  decideAndCommit();
  std::vector<Decision> Resized;
  for (int I = 0; I < 6; ++I) {
    Now_ += 2s;
    for (const auto &[Id, D] : Placed_)
      Planner_.addUsageSample(
          {Id, D.Attempt_, *D.Server_, Resources::makeFor(400, 900), 1s, Now_});
    for (const Decision &D : filterByKind(decide(), DecisionKind::Reserve)) {
      Planner_.updateReservation(*D.Task_, D.Attempt_, D.Reservation_);
      Resized.push_back(D);
    }
  }
  ASSERT_EQ(Resized.size(), 8U);
  EXPECT_NEAR(Resized[0].Reservation_.MilliCpus_, 400, 25);
  EXPECT_GE(Resized[0].Reservation_.MemoryMib_, 1000);
  // The usage of a throttled task does not show how much it needs.
  for (int I = 0; I < 80; ++I) {
    Now_ += 2s;
    for (const auto &[Id, D] : Placed_) {
      Planner_.updateThrottle(Id, D.Attempt_, 40, Now_ - 1s);
      Planner_.addUsageSample(
          {Id, D.Attempt_, *D.Server_, Resources::makeFor(160, 900), 1s, Now_});
    }
    EXPECT_TRUE(filterByKind(decide(), DecisionKind::Reserve).empty());
  }
  // The next task of the class starts with the learned reservation.
  add(makeTask("a", 99, {1000, 2000, 0}));
  EXPECT_NEAR(
      filterByKind(decide(), DecisionKind::Place)[0].Reservation_.MilliCpus_,
      400, 25);
}

TEST_F(PlannerTest, OnlyATaskOverItsReservationIsThrottledThenEvicted) {
  Planner_.upsertServer(makeServer(0, Resources::makeFor(4000, 8000)));
  addJob("modest", 3);
  addJob("greedy", 1);
  decideAndCommit();
  ASSERT_EQ(Placed_.size(), 4U);
  const TaskId Greedy{JobId("greedy"), 0};
  std::vector<Decision> Decisions;
  for (int I = 0; I < 10 && Placed_.contains(Greedy); ++I) {
    Now_ += 2s;
    for (const auto &[Id, D] : Placed_)
      Planner_.addUsageSample(
          {Id, D.Attempt_, *D.Server_,
           Resources::makeFor(Id == Greedy ? 1800 : 950, 900), 1s, Now_});
    for (const Decision &D : decide()) {
      Decisions.push_back(D);
      commit(D);
      if (D.Kind_ == DecisionKind::Throttle)
        Planner_.updateThrottle(*D.Task_, D.Attempt_, D.ThrottlePercent_, Now_);
    }
  }
  ASSERT_EQ(Decisions.size(), 2U);
  EXPECT_EQ(Decisions[0].Kind_, DecisionKind::Throttle);
  EXPECT_EQ(Decisions[1].Kind_, DecisionKind::Evict);
  for (const Decision &D : Decisions) {
    EXPECT_EQ(D.Task_, Greedy);
    EXPECT_EQ(D.Reason_, ReasonCode::UsageOverReserved);
  }
}
