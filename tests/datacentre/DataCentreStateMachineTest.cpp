//===- DataCentreStateMachineTest.cpp -------------------------------------===//

#include "tulipweir/datacentre/DataCentreStateMachine.h"
#include "tulipweir/datacentre/DataCentreCodec.h"
#include "tulipweir/datacentre/JobOutcomeTracker.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

class DataCentreStateMachineTest : public testing::Test {
protected:
  CommandResult apply(const Command &Value) {
    const std::string Bytes = encodeCommand(Value);
    return decodeResult(Machine_.apply({1, ++Index_, Bytes})).value();
  }
  AdoptJob makeJob(const std::string &Name, std::uint32_t Tasks) {
    return {{JobId(Name), TeamId("t"), JobClassId("c"), 1, Tasks,
             Resources::makeFor(1, 1), "p", 1},
            1,
            ""};
  }
  void registerServer() {
    apply(RegisterServer{BackendServerId("s"),
                         BootId("b"),
                         RackId("r"),
                         "a",
                         Resources::makeFor(9, 9),
                         {},
                         1,
                         1,
                         false});
  }
  CommandResult place(const TaskId &Task) {
    return apply(PlaceTask{Task, AttemptNumber(1), BackendServerId("s"),
                           BootId("b"), Resources::makeFor(1, 1)});
  }

  std::vector<std::uint64_t> Fed_;
  int Restored_ = 0;
  JobOutcomeTracker Outcomes_;
  DataCentreStateMachine Machine_{RecordLimits{},
                                  [this](const AppliedCommand &Value) {
                                    Fed_.push_back(Value.Index_);
                                    for (const Change &Applied : Value.Changes_)
                                      Outcomes_.onChange(Applied);
                                  },
                                  [this] { ++Restored_; }};
  std::uint64_t Index_ = 0;
};

TEST_F(DataCentreStateMachineTest, NotifiesOfEveryCommandInLogOrder) {
  registerServer();
  apply(makeJob("j", 1));
  const CommandResult Placed = place({JobId("j"), 0});
  EXPECT_EQ(Placed.Token_, (FencingToken{1, 3}));
  EXPECT_EQ(apply(CancelJob{JobId("none")}).Error_, "not_found");
  EXPECT_EQ(Fed_, (std::vector<std::uint64_t>{1, 2, 3, 4}));
}

TEST_F(DataCentreStateMachineTest, InvalidBytesAreRefusedWithoutEffect) {
  const std::string Before = Machine_.takeSnapshot();
  const auto Result = decodeResult(Machine_.apply({1, 1, "\xc1"}));
  EXPECT_EQ(Result.value().Error_, "malformed");
  EXPECT_EQ(Machine_.takeSnapshot(), Before);
}

TEST_F(DataCentreStateMachineTest, ASnapshotIsRestoredCompletelyOrNotAtAll) {
  registerServer();
  apply(makeJob("j", 2));
  const std::string Snapshot = Machine_.takeSnapshot();
  apply(CancelJob{JobId("j")});
  const std::string Later = Machine_.takeSnapshot();
  EXPECT_FALSE(Machine_.restoreSnapshot(Snapshot.substr(1)));
  EXPECT_EQ(Machine_.takeSnapshot(), Later);
  EXPECT_EQ(Restored_, 0);
  EXPECT_TRUE(Machine_.restoreSnapshot(Snapshot));
  EXPECT_EQ(Machine_.takeSnapshot(), Snapshot);
  EXPECT_EQ(Restored_, 1);
}

TEST_F(DataCentreStateMachineTest, EndedJobsAreListedUntilTheyAreDropped) {
  registerServer();
  apply(makeJob("done", 1));
  apply(makeJob("failed", 2));
  apply(makeJob("open", 1));
  place({JobId("done"), 0});
  apply(EndAttempt{
      {JobId("done"), 0}, AttemptNumber(1), AttemptEnd::Finished, "", ""});
  place({JobId("failed"), 0});
  apply(EndAttempt{
      {JobId("failed"), 0}, AttemptNumber(1), AttemptEnd::Failed, "", "why"});
  apply(CancelJob{JobId("failed")});
  const auto List = [this] {
    std::vector<JobOutcome> Ended;
    Machine_.withState([&](const DataCentreState &State) {
      Ended = Outcomes_.listEnded(State, 9);
    });
    return Ended;
  };
  EXPECT_EQ(List(), (std::vector<JobOutcome>{
                        {JobId("done"), 1, JobEnd::Finished, ""},
                        {JobId("failed"), 1, JobEnd::Failed, "why"}}));
  apply(DropJob{JobId("done")});
  EXPECT_EQ(List().size(), 1u);
}

TEST_F(DataCentreStateMachineTest,
       AReleasedJobResumesElsewhereFromItsCheckpoints) {
  registerServer();
  apply(makeJob("j", 2));
  place({JobId("j"), 0});
  apply(ReleaseJob{JobId("j"), 1});
  EXPECT_EQ(place({JobId("j"), 1}).Error_, "conflict");
  const auto List = [this] {
    std::vector<JobId> Released;
    Machine_.withState([&](const DataCentreState &State) {
      Released = Outcomes_.listReleased(State, 9);
    });
    return Released;
  };
  EXPECT_TRUE(List().empty()) << "one attempt is still placed";
  apply(EndAttempt{
      {JobId("j"), 0}, AttemptNumber(1), AttemptEnd::Evicted, "c", ""});
  EXPECT_EQ(List(), std::vector<JobId>{JobId("j")});
  AdoptJob Next = makeJob("j", 2);
  Machine_.withState([&](const DataCentreState &State) {
    Next.Progress_ = encodeProgress(*State.findJob(JobId("j")));
  });
  apply(DropJob{JobId("j")});
  Next.Assignment_ = 2;
  EXPECT_EQ(apply(Next).Error_, "");
  Machine_.withState([](const DataCentreState &State) {
    const TaskRecord &Task = *State.findTask({JobId("j"), 0});
    EXPECT_EQ(Task.Attempt_, AttemptNumber(1));
    EXPECT_EQ(Task.Checkpoint_, "c");
  });
}
