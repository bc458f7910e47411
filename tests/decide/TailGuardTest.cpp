//===- TailGuardTest.cpp ------------------------------------------------===//

#include "decide/NaiveLedger.h"
#include "decide/PlacementHistory.h"

#include <gtest/gtest.h>

#include <deque>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

static const ServiceId Booking("booking");

namespace {
/// A server whose service's p99 depends on its tasks: 20 ms without tasks, and
/// 20 ms more for each "loud" task at full speed. Reports may arrive late.
class TailGuardTest : public testing::Test {
protected:
  TailGuardTest() {
    Settings_.Targets_ = {{Booking, 50ms}};
    Planner_.setPolicy(Settings_);
    Planner_.upsertServer(makeServer(0, Resources::makeFor(16000, 16000)));
  }

  void place(const std::string &Job, std::uint32_t Tasks) {
    for (std::uint32_t I = 0; I < Tasks; ++I) {
      const auto Task = makeTask(Job, I, Resources::makeFor(1600, 100));
      Speed_[Task.Task_] = 100;
      Planner_.recordPlacement(Task, AttemptNumber(1), makeServerId(0),
                               Task.Declared_, Now_);
    }
  }

  Duration p99() const {
    double Millis = 20;
    for (const auto &[Id, Percent] : Speed_)
      Millis += Id.Job_ == JobId("loud") ? 0.2 * Percent : 0;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Millis));
  }

  /// Simulates one second: reports, delivers due reports, decides and applies.
  void tick(Duration Lag) {
    Now_ += 1s;
    Reports_.push_back({makeServerId(0), Booking, 500, p99(), 50, Now_});
    while (!Reports_.empty() && Reports_.front().SampledAt_ + Lag <= Now_) {
      Planner_.addServiceSample(Reports_.front());
      Reports_.pop_front();
    }
    for (const Decision &D : Planner_.decide(Now_, 64))
      apply(D);
  }

  void apply(const Decision &D) {
    Decisions_.emplace_back(Now_, D);
    if (D.Kind_ == DecisionKind::Throttle) {
      Speed_[*D.Task_] = D.ThrottlePercent_;
      Planner_.updateThrottle(*D.Task_, D.Attempt_, D.ThrottlePercent_, Now_);
    } else if (D.Kind_ == DecisionKind::Evict) {
      Speed_.erase(*D.Task_);
      Planner_.recordEnd(*D.Task_, D.Attempt_, EndReason::Evicted, Now_);
    }
  }

  Policy Settings_;
  Planner Planner_{Settings_, 3};
  TimePoint Now_{1h};
  std::map<TaskId, std::uint32_t> Speed_;
  std::deque<ServiceSample> Reports_;
  std::vector<std::pair<TimePoint, Decision>> Decisions_;
};
} // namespace

TEST_F(TailGuardTest, BringsTheP99UnderItsTargetAndReportsIt) {
  place("loud", 4);
  for (int I = 0; I < 60; ++I)
    tick(0s);
  EXPECT_LE(p99(), 50ms);
  ASSERT_FALSE(Decisions_.empty());
  const Decision &First = Decisions_[0].second;
  EXPECT_EQ(First.Kind_, DecisionKind::Throttle);
  EXPECT_EQ(First.Reason_, ReasonCode::TailOverTarget);
  EXPECT_NE(First.Text_.find("100.0 ms"), std::string::npos) << First.Text_;
}

TEST_F(TailGuardTest, WaitsForSeveralReportsInARow) {
  place("loud", 4);
  tick(0s);
  tick(0s);
  EXPECT_TRUE(Decisions_.empty());
  tick(0s);
  EXPECT_FALSE(Decisions_.empty());
}

TEST_F(TailGuardTest, IgnoresReportsOlderThanItsLastAction) {
  place("loud", 4);
  // Reports that are up to twelve seconds old show the state before the action.
  TimePoint First{};
  for (int I = 0; I < 40; ++I) {
    tick(12s);
    if (First == TimePoint() && !Decisions_.empty())
      First = Now_;
    if (First != TimePoint() && Now_ <= First + 12s) {
      EXPECT_EQ(Decisions_.back().first, First)
          << "acted on reports that precede the last action";
    }
  }
  EXPECT_NE(First, TimePoint());
}

TEST_F(TailGuardTest, DoesNotOscillateUnderALagLongerThanItsPeriod) {
  place("loud", 3);
  place("quiet", 3);
  for (int I = 0; I < 600; ++I)
    tick(10s);
  // A task whose release fails stays throttled for 1, 2, then 4 minutes: at
  // most four releases, each followed by a throttle, in ten minutes. The second
  // half has few changes.
  std::map<TaskId, int> Changes;
  int Late = 0;
  for (const auto &[At, D] : Decisions_) {
    ++Changes[*D.Task_];
    Late += At > TimePoint(1h) + 300s ? 1 : 0;
  }
  for (const auto &[Id, Count] : Changes)
    EXPECT_LE(Count, 1 + 2 * 4) << Id.toString();
  EXPECT_LE(Late, 6);
  EXPECT_LE(p99(), 50ms);
}

TEST_F(TailGuardTest, ThrottlesOnlyTheClassThatSlowsTheService) {
  place("loud", 3);
  for (int I = 0; I < 5; ++I)
    tick(0s);
  place("quiet", 4);
  for (int I = 0; I < 300; ++I)
    tick(0s);
  for (const auto &[Id, Percent] : Speed_)
    if (Id.Job_ == JobId("quiet")) {
      EXPECT_EQ(Percent, 100U) << Id.toString();
    }
}

TEST_F(TailGuardTest, IgnoresOldReportsAndThoseOfFewRequests) {
  place("loud", 4);
  for (int I = 0; I < 20; ++I) {
    Now_ += 1s;
    Planner_.addServiceSample({makeServerId(0), Booking, 3, 900ms, 50, Now_});
    Planner_.addServiceSample(
        {makeServerId(0), Booking, 500, 900ms, 50, TimePoint()});
    EXPECT_TRUE(Planner_.decide(Now_, 64).empty());
  }
}

TEST(PlacementHistoryTest, ReturnsTheLoadsAtAnEarlierTime) {
  PlacementHistory History;
  const TimePoint Start{1h};
  History.recordChange(1, 0.5, Start);
  History.recordChange(2, 0.25, Start + 2s);
  History.recordChange(1, -0.5, Start + 4s);
  EXPECT_EQ(History.getLoadsAt(Start + 1s), (ClassLoads{{1, 0.5}}));
  EXPECT_EQ(History.getLoadsAt(Start + 3s)->size(), 2U);
  EXPECT_EQ(History.getLoadsAt(Start + 5s), (ClassLoads{{2, 0.25}}));
  for (std::size_t I = 0; I < PlacementHistory::MaxChanges; ++I)
    History.recordChange(3, 0.1, Start + 10s);
  EXPECT_FALSE(History.getLoadsAt(Start + 1s))
      << "the changes at that time were dropped";
}
