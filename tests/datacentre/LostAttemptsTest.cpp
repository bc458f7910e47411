//===- LostAttemptsTest.cpp - Tasks whose servers restart -----------------===//
//
// Guards against endless placement of a task that restarts every VM it runs
// on: its attempts end as lost, and only failed attempts count towards the
// limit.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/datacentre/DataCentreState.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Three restarts identify such a task, and at most two more attempts may
/// follow.
static constexpr std::uint64_t MostAttempts = 5;

TEST(LostAttemptsTest, ATaskThatRestartsItsServersIsNotPlacedWithoutEnd) {
  DataCentreState State{RecordLimits{}};
  const BackendServerId Server("s");
  const Resources One = Resources::makeFor(1, 1);
  const JobSpec Spec{JobId("j"), TeamId("t"), JobClassId("c"), 1, 1, One, "p",
                     2};
  const TaskId Task{Spec.Job_, 0};
  std::uint64_t Index = 0;
  ASSERT_EQ(State.apply(AdoptJob{Spec, 1, ""}, 1, ++Index).Error_, "");
  std::uint64_t Placed = 0;
  for (std::uint64_t Attempt = 1; Attempt <= 2 * MostAttempts; ++Attempt) {
    const BootId Boot("b" + std::to_string(Attempt));
    const RegisterServer Restarted{Server, Boot, RackId("r"), "a",  One,
                                   {},     1,    1,           false};
    State.apply(Restarted, 1, ++Index);
    const PlaceTask Place{Task, AttemptNumber(Attempt), Server, Boot, One};
    Placed += State.apply(Place, 1, ++Index).Error_.empty() ? 1 : 0;
  }
  EXPECT_GE(Placed, 3U);
  EXPECT_LE(Placed, MostAttempts);
}
