//===- JobReconcilerTest.cpp - A job's next step, over all cases ----------===//

#include "control/JobReconciler.h"
#include "control/JobProgress.h"
#include "tulipweir/datacentre/DataCentreCodec.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::control;

namespace {
struct Case {
  FleetSide Fleet_;
  LocalSide Local_;
  LeaseSide Lease_;
};
} // namespace

/// Every combination that can be, with assignments from 0 to 2.
static std::vector<Case> listCases() {
  std::vector<Case> Cases;
  for (unsigned Bits = 0; Bits < 1U << 11; ++Bits)
    for (std::uint64_t Fleet = 0; Fleet < 3; ++Fleet)
      for (std::uint64_t Local = 0; Local < 3; ++Local) {
        const auto Bit = [Bits](unsigned At) { return (Bits >> At & 1U) != 0; };
        const Case One{{Bit(0), Bit(1), Bit(2), Bit(3), Fleet},
                       {Bit(4), Bit(5), Bit(6), Bit(7), Bit(8), Local},
                       {Bit(9), Bit(10)}};
        const FleetSide &F = One.Fleet_;
        const bool Possible = !(F.Ours_ && (F.Ended_ || !F.Known_)) &&
                              !(One.Local_.AllEnded_ && One.Local_.AnyPlaced_);
        if (Possible)
          Cases.push_back(One);
      }
  return Cases;
}

template <class Rule> static void expectAll(JobStep Step, Rule Holds) {
  unsigned Seen = 0;
  for (const Case &One : listCases()) {
    if (chooseStep(One.Fleet_, One.Local_, One.Lease_) != Step)
      continue;
    ++Seen;
    EXPECT_TRUE(Holds(One.Fleet_, One.Local_, One.Lease_));
  }
  EXPECT_GT(Seen, 0U);
}

TEST(JobReconcilerTest, AdoptsOnlyWhatIsNewlyOursUnderALease) {
  expectAll(JobStep::Adopt, [](const auto &F, const auto &L, const auto &S) {
    return F.Ours_ && !F.Cancelling_ && F.Assignment_ > L.Assignment_ &&
           !L.Known_ && S.Covers_;
  });
}

TEST(JobReconcilerTest, NeverDropsOrGivesBackWhatMayStillRun) {
  const auto Stopped = [](const auto &, const auto &L, const auto &) {
    return !L.AnyPlaced_ && (L.AllEnded_ || L.Releasing_);
  };
  expectAll(JobStep::Drop, Stopped);
  expectAll(JobStep::GiveBack, Stopped);
}

TEST(JobReconcilerTest, DropsOnlyWhatTheFleetNoLongerHoldsAsOurs) {
  expectAll(JobStep::Drop, [](const auto &F, const auto &L, const auto &) {
    return F.Known_ && F.Assignment_ >= L.Assignment_ &&
           !(F.Ours_ && F.Assignment_ == L.Assignment_);
  });
}

TEST(JobReconcilerTest, AReplicaThatLagsStopsNothing) {
  for (const Case &One : listCases()) {
    const bool Lags =
        !One.Fleet_.Known_ || One.Fleet_.Assignment_ < One.Local_.Assignment_;
    if (!Lags || !One.Local_.Known_)
      continue;
    const JobStep Step = chooseStep(One.Fleet_, One.Local_, One.Lease_);
    EXPECT_TRUE(Step == JobStep::None || Step == JobStep::ReportEnd);
  }
}

TEST(JobReconcilerTest, WhatIsNotOursAnyMoreIsStopped) {
  for (const Case &One : listCases()) {
    const auto &[F, L, S] = One;
    const bool Foreign =
        L.Known_ && F.Known_ && !F.Ours_ && F.Assignment_ >= L.Assignment_;
    if (!Foreign || L.Releasing_ || L.AllEnded_)
      continue;
    EXPECT_EQ(chooseStep(F, L, S), JobStep::Stop);
  }
}

TEST(JobProgressTest, EachAssignmentNumbersItsAttemptsAboveTheOnesBefore) {
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
