//===- JobReconcilerTest.cpp - The next action of a job, over all cases --===//

#include "control/JobReconciler.h"
#include "control/JobProgress.h"
#include "tulipweir/datacentre/DataCentreCodec.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;

namespace {
struct Case {
  FleetJobState Fleet_;
  LocalJobState Local_;
  LeaseState Lease_;
};
} // namespace

/// Lists every possible combination, with assignments from 0 to 2.
static std::vector<Case> listCases() {
  std::vector<Case> Cases;
  for (unsigned Bits = 0; Bits < 1U << 11; ++Bits)
    for (std::uint64_t Fleet = 0; Fleet < 3; ++Fleet)
      for (std::uint64_t Local = 0; Local < 3; ++Local) {
        const auto Bit = [Bits](unsigned At) { return (Bits >> At & 1U) != 0; };
        const Case Candidate{{Bit(0), Bit(1), Bit(2), Bit(3), Fleet},
                             {Bit(4), Bit(5), Bit(6), Bit(7), Bit(8), Local},
                             {Bit(9), Bit(10)}};
        const FleetJobState &F = Candidate.Fleet_;
        const bool Possible =
            !(F.Ours_ && (F.Ended_ || !F.Known_)) &&
            !(Candidate.Local_.AllEnded_ && Candidate.Local_.AnyPlaced_);
        if (Possible)
          Cases.push_back(Candidate);
      }
  return Cases;
}

template <class Rule>
static void expectAll(ReconcileAction Step, Rule Predicate) {
  unsigned Matches = 0;
  for (const Case &Candidate : listCases()) {
    if (chooseAction(Candidate.Fleet_, Candidate.Local_, Candidate.Lease_) !=
        Step)
      continue;
    ++Matches;
    EXPECT_TRUE(
        Predicate(Candidate.Fleet_, Candidate.Local_, Candidate.Lease_));
  }
  EXPECT_GT(Matches, 0U);
}

TEST(JobReconcilerTest, AdoptsOnlyNewlyAssignedJobsWithAValidLease) {
  expectAll(ReconcileAction::Adopt,
            [](const auto &F, const auto &L, const auto &S) {
              return F.Ours_ && !F.Cancelling_ &&
                     F.Assignment_ > L.Assignment_ && !L.Known_ && S.Covers_;
            });
}

TEST(JobReconcilerTest, NeverDropsOrReturnsAJobThatMayStillRun) {
  const auto Stopped = [](const auto &, const auto &L, const auto &) {
    return !L.AnyPlaced_ && (L.AllEnded_ || L.Releasing_);
  };
  expectAll(ReconcileAction::Drop, Stopped);
  expectAll(ReconcileAction::ReturnToFleet, Stopped);
}

TEST(JobReconcilerTest, DropsOnlyJobsTheFleetNoLongerAssignsHere) {
  expectAll(ReconcileAction::Drop,
            [](const auto &F, const auto &L, const auto &) {
              return F.Known_ && F.Assignment_ >= L.Assignment_ &&
                     !(F.Ours_ && F.Assignment_ == L.Assignment_);
            });
}

TEST(JobReconcilerTest, LaggingReplicaStopsNothing) {
  for (const Case &Candidate : listCases()) {
    const bool Lags =
        !Candidate.Fleet_.Known_ ||
        Candidate.Fleet_.Assignment_ < Candidate.Local_.Assignment_;
    if (!Lags || !Candidate.Local_.Known_)
      continue;
    const ReconcileAction Step =
        chooseAction(Candidate.Fleet_, Candidate.Local_, Candidate.Lease_);
    EXPECT_TRUE(Step == ReconcileAction::None ||
                Step == ReconcileAction::ReportEnd);
  }
}

TEST(JobReconcilerTest, StopsJobsNoLongerAssignedHere) {
  for (const Case &Candidate : listCases()) {
    const auto &[F, L, S] = Candidate;
    const bool Foreign =
        L.Known_ && F.Known_ && !F.Ours_ && F.Assignment_ >= L.Assignment_;
    if (!Foreign || L.Releasing_ || L.AllEnded_)
      continue;
    EXPECT_EQ(chooseAction(F, L, S), ReconcileAction::Stop);
  }
}

TEST(JobProgressTest, EachAssignmentNumbersItsAttemptsAboveEarlierOnes) {
  datacentre::JobSpec Spec;
  Spec.Tasks_ = 2;
  EXPECT_EQ(makeAdoptedProgress(Spec, "", 1).value(), "");
  datacentre::JobRecord Before;
  Before.Tasks_.resize(2);
  Before.Tasks_[0].State_ = datacentre::TaskState::Finished;
  Before.Tasks_[1].Attempt_ = AttemptNumber(7);
  Before.Tasks_[1].Failures_ = 2;
  Before.Tasks_[1].Checkpoint_ = "half";
  for (const std::string &Passed : {std::string(), encodeProgress(Before)}) {
    const auto Made = makeAdoptedProgress(Spec, Passed, 3);
    const auto Tasks = datacentre::decodeProgress(Made.value(), 2).value();
    EXPECT_EQ(Tasks[1].Attempt_, AttemptNumber(2 * AttemptsPerAssignment));
    EXPECT_EQ(Tasks[0].Finished_, !Passed.empty());
    EXPECT_EQ(Tasks[1].Checkpoint_, Passed.empty() ? "" : "half");
    EXPECT_EQ(Tasks[1].Failures_, Passed.empty() ? 0U : 2U);
  }
  EXPECT_FALSE(makeAdoptedProgress(Spec, "no progress", 2));
}
