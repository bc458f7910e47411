//===- QuarantineTest.cpp -----------------------------------------------===//

#include "decide/Quarantine.h"

#include "decide/NaiveLedger.h"

#include <gtest/gtest.h>

#include <functional>

using namespace tulipweir;
using namespace tulipweir::decide;
using namespace std::chrono_literals;

namespace {
/// Ten servers that are all in use. Each test defines which tasks fail.
class QuarantineTest : public testing::Test {
protected:
  using FailurePredicate =
      std::function<bool(const JobId &, const BackendServerId &)>;

  QuarantineTest() {
    for (int I = 0; I < 10; ++I)
      Planner_.upsertServer(makeServer(I, Resources::makeFor(8000, 8000)));
  }

  /// Submits jobs of four tasks for some seconds; failing tasks end after 1 s,
  /// others after 5 s.
  void run(int Seconds, const FailurePredicate &DoesFail) {
    for (int Second = 0; Second < Seconds; ++Second) {
      Now_ += 1s;
      if (Second % 2 == 0)
        for (std::uint32_t I = 0; I < 4; ++I)
          add(makeTask("job-" + std::to_string(Jobs_), I,
                       Resources::makeFor(8000, 500)));
      Jobs_ += Second % 2 == 0 ? 1 : 0;
      endTasks(DoesFail);
      for (const Decision &D : Planner_.decide(Now_, 64))
        apply(D);
    }
  }

  void add(const TaskInfo &Task) {
    TaskInfos_[Task.Task_] = Task;
    Planner_.addWaiting(Task, Now_);
  }

  void apply(const Decision &D) {
    if (D.Kind_ == DecisionKind::Quarantine)
      Quarantined_.push_back(*D.Server_);
    if (D.Kind_ == DecisionKind::Readmit)
      Readmitted_.push_back(*D.Server_);
    if (D.Kind_ != DecisionKind::Place)
      return;
    ++Starts_[*D.Server_];
    Planner_.recordPlacement(TaskInfos_[*D.Task_], D.Attempt_, *D.Server_,
                             D.Reservation_, Now_);
    Running_[*D.Task_] = {Now_, D};
  }

  void endTasks(const FailurePredicate &DoesFail) {
    for (auto It = Running_.begin(); It != Running_.end();) {
      const auto &[At, D] = It->second;
      const bool Failed = DoesFail(It->first.Job_, *D.Server_);
      if (Now_ - At < (Failed ? 1s : 5s)) {
        ++It;
        continue;
      }
      Planner_.recordEnd(It->first, D.Attempt_,
                         Failed ? EndReason::Failed : EndReason::Finished,
                         Now_);
      auto Next = TaskInfos_[It->first];
      Next.NextAttempt_ = AttemptNumber(D.Attempt_.value() + 1);
      if (Failed && Next.NextAttempt_.value() < 10)
        add(Next);
      It = Running_.erase(It);
    }
  }

  Planner Planner_{Policy(), 5};
  TimePoint Now_{1h};
  int Jobs_ = 0;
  std::map<TaskId, TaskInfo> TaskInfos_;
  std::map<TaskId, std::pair<TimePoint, Decision>> Running_;
  std::map<BackendServerId, int> Starts_;
  std::vector<BackendServerId> Quarantined_;
  std::vector<BackendServerId> Readmitted_;
};
} // namespace

TEST_F(QuarantineTest, ServerThatFailsEveryTaskIsQuarantined) {
  run(60, [](const JobId &, const BackendServerId &Server) {
    return Server == makeServerId(3);
  });
  ASSERT_FALSE(Quarantined_.empty());
  for (const BackendServerId &Server : Quarantined_)
    EXPECT_EQ(Server, makeServerId(3));
  EXPECT_LE(Starts_[makeServerId(3)], 12);
  EXPECT_TRUE(Planner_.listServers()[3].Quarantined_);
}

TEST_F(QuarantineTest, FailingJobsDoNotQuarantineHealthyServers) {
  run(300, [](const JobId &Job, const BackendServerId &) {
    return Job.value().back() == '1' || Job.value().back() == '4' ||
           Job.value().back() == '7';
  });
  EXPECT_TRUE(Quarantined_.empty());
}

TEST_F(QuarantineTest, ARecoveredServerIsReadmittedAfterProbation) {
  run(60, [](const JobId &, const BackendServerId &Server) {
    return Server == makeServerId(3);
  });
  ASSERT_FALSE(Quarantined_.empty());
  run(200, [](const JobId &, const BackendServerId &) { return false; });
  EXPECT_EQ(Readmitted_, std::vector{makeServerId(3)});
  EXPECT_FALSE(Planner_.listServers()[3].Quarantined_);
}

TEST_F(QuarantineTest, EachFurtherQuarantineLastsLonger) {
  run(900, [](const JobId &, const BackendServerId &Server) {
    return Server == makeServerId(3);
  });
  // Quarantines of 60, 120, 240 and 480 s: at most five in fifteen minutes.
  EXPECT_GE(Quarantined_.size(), 2U);
  EXPECT_LE(Quarantined_.size(), 5U);
  EXPECT_TRUE(Readmitted_.empty());
}

TEST(QuarantineRulesTest, AJobThatSucceededNowhereIsNoEvidence) {
  Quarantine Health;
  const Policy Settings;
  const TimePoint Now{1h};
  for (int I = 0; I < 5; ++I)
    Health.recordFailure(JobId("j" + std::to_string(I)), makeServerId(0), Now,
                         Settings);
  EXPECT_EQ(Health.getHealth(makeServerId(0)), ServerHealth::Suspect);
  for (int I = 0; I < 3; ++I)
    Health.recordSuccess(JobId("j" + std::to_string(I)), makeServerId(1), Now,
                         Settings);
  EXPECT_EQ(Health.getHealth(makeServerId(0)), ServerHealth::Quarantined);
}
