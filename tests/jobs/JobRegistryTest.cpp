//===- JobRegistryTest.cpp ------------------------------------------------===//

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

/// Returns a job of one task, of which a copy may run.
static JobSpec makeSpeculativeJob() {
  StepSpec Step = makeStep(1, 100);
  Step.Speculative_ = true;
  return makeJob("j", {Step});
}

TEST_F(JobRegistryTest, AJobIsAcceptedOnceUnderItsId) {
  EXPECT_EQ(submit(makeJob("j", {makeStep(1, 100)})), CommandStatus::Done);
  EXPECT_EQ(submit(makeJob("j", {makeStep(5, 100)})),
            CommandStatus::AlreadyDone);
  EXPECT_EQ(Registry_.findJob("j")->Spec_.Steps_[0].Count_, 1U);
}

TEST_F(JobRegistryTest, AJobNeedsAQueueThatIsInForce) {
  SubmitJob Elsewhere = makeSubmit(makeJob("j", {makeStep(1, 100)}));
  Elsewhere.PathPrefix_ = "/other/";
  EXPECT_EQ(apply(Elsewhere).Status_, CommandStatus::NotFound);
  EXPECT_EQ(Registry_.findJob("j"), nullptr);
}

TEST_F(JobRegistryTest, AnInvalidJobIsRefusedAndNotKept) {
  StepSpec Step = makeStep(1, 100);
  Step.DependsOn_ = {0};
  EXPECT_EQ(submit(makeJob("j", {Step})), CommandStatus::Refused);
  EXPECT_EQ(Registry_.findJob("j"), nullptr);
}

TEST_F(JobRegistryTest, ATaskIsPlacedOnce) {
  submit(makeJob("j", {makeStep(2, 100)}));
  EXPECT_TRUE(start(makeStart("j", 0, "s1")));
  EXPECT_FALSE(start(makeStart("j", 0, "s2", 2)));
  EXPECT_EQ(getJobState("j"), JobState::Running);
}

TEST_F(JobRegistryTest, ADoneTaskNeverStartsAgain) {
  submit(makeJob("j", {makeStep(2, 100)}));
  const TaskStart Start = makeStart("j", 0, "s1");
  start(Start);
  end(Start, RunOutcome::Done);
  EXPECT_FALSE(start(makeStart("j", 0, "s2", 2)));
}

TEST_F(JobRegistryTest, ARunNumberOnlyIncreases) {
  submit(makeJob("j", {makeStep(1, 100)}));
  const TaskStart Start = makeStart("j", 0, "s1", 3);
  start(Start);
  end(Start, RunOutcome::Refused);
  EXPECT_FALSE(start(makeStart("j", 0, "s2", 3)));
  EXPECT_TRUE(start(makeStart("j", 0, "s2", 4)));
}

TEST_F(JobRegistryTest, AServerIsNeverOverfilled) {
  submit(makeJob("j", {makeStep(3, 2000)}));
  EXPECT_TRUE(start(makeStart("j", 0, "s1")));
  EXPECT_TRUE(start(makeStart("j", 1, "s1")));
  EXPECT_EQ(getRejectionReason(makeStart("j", 2, "s1")),
            "the task exceeds the server's free capacity");
  // A run that is ordered to stop keeps its resources until its end is applied.
  apply(CancelJob{"j"});
  submit(makeJob("k", {makeStep(1, 2000)}));
  EXPECT_FALSE(start(makeStart("k", 0, "s1")));
  end(makeStart("j", 0, "s1"), RunOutcome::Stopped);
  EXPECT_TRUE(start(makeStart("k", 0, "s1")));
}

TEST_F(JobRegistryTest, AFillingTaskTakesMemoryButNoProcessors) {
  StepSpec Step = makeStep(60, 4000);
  Step.Need_.MemoryMib_ = 200;
  Step.Fills_ = true;
  submit(makeJob("j", {Step}));
  for (std::uint64_t I = 0; I < 50; ++I)
    EXPECT_TRUE(start(makeStart("j", I, "s1")));
  EXPECT_EQ(getRejectionReason(makeStart("j", 50, "s1")),
            "the task exceeds the server's free capacity");
}

TEST_F(JobRegistryTest, AStepWaitsForAllTasksOfItsDependencies) {
  StepSpec Second = makeStep(1, 100);
  Second.DependsOn_ = {0};
  submit(makeJob("j", {makeStep(2, 100), Second}));
  const TaskStart After = makeStart("j", 0, "s1", 1, 1);
  start(makeStart("j", 0, "s1"));
  start(makeStart("j", 1, "s2"));
  end(makeStart("j", 0, "s1"), RunOutcome::Done);
  EXPECT_EQ(getRejectionReason(After), "a step it depends on is not done");
  EXPECT_EQ(Registry_.readySteps().size(), 0U);
  end(makeStart("j", 1, "s2"), RunOutcome::Done);
  EXPECT_EQ(Registry_.readySteps().size(), 1U);
  EXPECT_TRUE(start(After));
  end(After, RunOutcome::Done);
  EXPECT_EQ(getJobState("j"), JobState::Completed);
}

TEST_F(JobRegistryTest, AJobFailsOnceATaskHasUsedUpItsAttempts) {
  submit(makeJob("j", {makeStep(2, 100)}));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    EXPECT_TRUE(start(makeStart("j", 0, "s1", Run)));
    end(makeStart("j", 0, "s1", Run), RunOutcome::Failed);
  }
  EXPECT_EQ(getJobState("j"), JobState::Failed);
  EXPECT_FALSE(start(makeStart("j", 1, "s1")));
}

TEST_F(JobRegistryTest, OnlyFailuresCountAsAttempts) {
  submit(makeJob("j", {makeStep(1, 100)}));
  std::uint64_t Run = 0;
  for (const RunOutcome How :
       {RunOutcome::Stopped, RunOutcome::LeaseExpired,
        RunOutcome::GangMemberEnded, RunOutcome::GangTimedOut,
        RunOutcome::Refused, RunOutcome::NeverRan}) {
    EXPECT_TRUE(start(makeStart("j", 0, "s1", ++Run)));
    end(makeStart("j", 0, "s1", Run), How);
  }
  EXPECT_EQ(getJobState("j"), JobState::Running);
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->FailedRuns_, 0U);
}

TEST_F(JobRegistryTest, ALongRunningTaskIsStartedAgainHoweverItEnds) {
  StepSpec Step = makeStep(1, 100);
  Step.LongRunning_ = true;
  submit(makeJob("j", {Step}));
  std::uint64_t Run = 0;
  for (const RunOutcome How : {RunOutcome::Done, RunOutcome::Failed,
                               RunOutcome::Failed, RunOutcome::Failed}) {
    EXPECT_TRUE(start(makeStart("j", 0, "s1", ++Run)));
    end(makeStart("j", 0, "s1", Run), How);
  }
  EXPECT_EQ(getJobState("j"), JobState::Running);
  EXPECT_EQ(Registry_.readySteps().size(), 1U);
}

TEST_F(JobRegistryTest, AnEvictedTaskResumesFromItsCheckpoint) {
  submit(makeJob("j", {makeStep(1, 100)}));
  start(makeStart("j", 0, "s1"));
  end(makeStart("j", 0, "s1"), RunOutcome::Stopped, "at 7");
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->Checkpoint_, "at 7");
  // A later end without a checkpoint keeps the earlier one.
  start(makeStart("j", 0, "s2", 2));
  end(makeStart("j", 0, "s2", 2), RunOutcome::LeaseExpired);
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->Checkpoint_, "at 7");
}

TEST_F(JobRegistryTest, AnEndOfAnotherRunOrServerChangesNothing) {
  submit(makeJob("j", {makeStep(1, 100)}));
  start(makeStart("j", 0, "s1", 2));
  end(makeStart("j", 0, "s1", 1), RunOutcome::Done);
  end(makeStart("j", 0, "s2", 2), RunOutcome::Done);
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->State_, TaskState::Placed);
}

TEST_F(JobRegistryTest, ARemovedServersTasksWaitAgainWithTheirCheckpoints) {
  submit(makeJob("j", {makeStep(2, 100)}));
  start(makeStart("j", 0, "s1"));
  start(makeStart("j", 1, "s2"));
  apply(RemoveServer{"s1", {{{"j", 0, 0, 0}, 1, "at 3"}}, false});
  EXPECT_EQ(Registry_.findServer("s1"), nullptr);
  const TaskRecord &Lost = *Registry_.findTask({"j", 0, 0, 0});
  EXPECT_EQ(Lost.State_, TaskState::Waiting);
  EXPECT_EQ(Lost.Checkpoint_, "at 3");
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 1})->State_, TaskState::Placed);
  EXPECT_EQ(getRejectionReason(makeStart("j", 0, "s1", 2)), "no such server");
}

TEST_F(JobRegistryTest, LabelServiceAndSpreadAreEnforced) {
  StepSpec Labelled = makeStep(1, 100);
  Labelled.Label_ = "gpu";
  submit(makeJob("j", {Labelled}));
  EXPECT_EQ(getRejectionReason(makeStart("j", 0, "s1")),
            "the server lacks the label");
  ServerFacts Other = makeServer("s3");
  Other.Service_ = "pricing";
  Other.Labels_ = {"gpu"};
  apply(AddServer{Other});
  EXPECT_EQ(getRejectionReason(makeStart("j", 0, "s3")),
            "the server belongs to another service than the queue");
  StepSpec Spread = makeStep(3, 100);
  Spread.SpreadLimit_ = 1;
  submit(makeJob("k", {Spread}));
  EXPECT_TRUE(start(makeStart("k", 0, "s1")));
  EXPECT_EQ(getRejectionReason(makeStart("k", 1, "s1")),
            "the step's spread limit is reached on the server");
  EXPECT_TRUE(start(makeStart("k", 1, "s2")));
}

TEST_F(JobRegistryTest, AGangStartsWholeOrNotAtAll) {
  StepSpec Gang = makeStep(3, 2000);
  Gang.Gang_ = true;
  submit(makeJob("j", {Gang}));
  const CommandResult Partial =
      apply(StartTasks{{makeStart("j", 0, "s1"), makeStart("j", 1, "s1")}});
  EXPECT_EQ(Partial.Accepted_, (std::vector<bool>{false, false}));
  const CommandResult Whole =
      apply(StartTasks{{makeStart("j", 0, "s1"), makeStart("j", 1, "s1"),
                        makeStart("j", 2, "s2")}});
  EXPECT_EQ(Whole.Accepted_, (std::vector<bool>{true, true, true}));
}

TEST_F(JobRegistryTest, AGangThatDoesNotFitWholeIsNotStartedInPart) {
  StepSpec Gang = makeStep(3, 2000);
  Gang.Gang_ = true;
  submit(makeJob("j", {Gang}));
  const CommandResult Result =
      apply(StartTasks{{makeStart("j", 0, "s1"), makeStart("j", 1, "s1"),
                        makeStart("j", 2, "s1")}});
  EXPECT_EQ(Result.Accepted_, (std::vector<bool>{false, false, false}));
}

TEST_F(JobRegistryTest, OneDoneMemberEndsItsGang) {
  StepSpec Gang = makeStep(2, 100);
  Gang.Gang_ = true;
  submit(makeJob("j", {Gang}));
  apply(StartTasks{{makeStart("j", 0, "s1"), makeStart("j", 1, "s2")}});
  end(makeStart("j", 0, "s1"), RunOutcome::Done);
  EXPECT_EQ(getJobState("j"), JobState::Completed);
}

TEST_F(JobRegistryTest, AGangsFailureCountsOnce) {
  StepSpec Gang = makeStep(2, 100);
  Gang.Gang_ = true;
  submit(makeJob("j", {Gang}));
  for (std::uint64_t Run = 1; Run <= 2; ++Run) {
    EXPECT_EQ(getJobState("j") == JobState::Failed, false);
    apply(StartTasks{
        {makeStart("j", 0, "s1", Run), makeStart("j", 1, "s2", Run)}});
    const std::uint64_t Failing = Run - 1;
    const char *const Servers[] = {"s1", "s2"};
    end(makeStart("j", Failing, Servers[Failing], Run), RunOutcome::Failed);
    end(makeStart("j", 1 - Failing, Servers[1 - Failing], Run),
        RunOutcome::GangMemberEnded);
  }
  // Two attempts are allowed, and the gang as a whole has used both.
  EXPECT_EQ(getJobState("j"), JobState::Failed);
}

// Guards against members of a gang that resume from checkpoints of their own:
// any one of them is valid, but all must carry the same.
TEST_F(JobRegistryTest, AGangResumesFromOneCheckpoint) {
  StepSpec Gang = makeStep(3, 100);
  Gang.Gang_ = true;
  const auto GetAll = [this] {
    std::vector<std::string> All;
    for (std::uint64_t Index = 0; Index < 3; ++Index)
      All.push_back(Registry_.findTask({"j", 0, 0, Index})->Checkpoint_);
    return All;
  };
  const auto StartAll = [this](std::uint64_t Run) {
    const CommandResult Started = apply(
        StartTasks{{makeStart("j", 0, "s1", Run), makeStart("j", 1, "s2", Run),
                    makeStart("j", 2, "s3", Run)}});
    EXPECT_EQ(Started.Accepted_, (std::vector<bool>{true, true, true}));
  };
  const auto Break = [this](std::uint64_t Index, const std::string &Server,
                            std::uint64_t Run, const std::string &Saved) {
    end(makeStart("j", Index, Server, Run), RunOutcome::GangMemberEnded, Saved);
  };
  using Values = std::vector<std::string>;
  apply(AddServer{makeServer("s3")});
  submit(makeJob("j", {Gang}));
  StartAll(1);
  Break(2, "s3", 1, "at 30");
  // A member that has not begun yet must carry what the others have begun with.
  EXPECT_EQ(GetAll(), (Values{"", "", "at 30"}));
  Break(0, "s1", 1, "at 32");
  Break(1, "s2", 1, "");
  EXPECT_EQ(GetAll(), Values(3, "at 32"));
  // What a removed server reported last is older than what the others saved.
  StartAll(2);
  Break(0, "s1", 2, "at 51");
  Break(1, "s2", 2, "at 52");
  const TaskKey Lost{"j", 0, 0, 2};
  apply(RemoveServer{"s3", {{Lost, 2, "at 44"}}, false});
  EXPECT_EQ(GetAll(), Values(3, "at 52"));
  // It counts if it is all there is.
  apply(AddServer{makeServer("s3")});
  StartAll(3);
  apply(RemoveServer{"s3", {{Lost, 3, "at 60"}}, false});
  Break(0, "s1", 3, "");
  Break(1, "s2", 3, "");
  EXPECT_EQ(GetAll(), Values(3, "at 60"));
}

TEST_F(JobRegistryTest, ACopyMayRunBesideASpeculativeTask) {
  submit(makeSpeculativeJob());
  EXPECT_TRUE(start(makeStart("j", 0, "s1", 1)));
  EXPECT_FALSE(start(makeStart("j", 0, "s1", 2)));
  EXPECT_TRUE(start(makeStart("j", 0, "s2", 2)));
  end(makeStart("j", 0, "s2", 2), RunOutcome::Done);
  EXPECT_EQ(getJobState("j"), JobState::Completed);
  EXPECT_EQ(Registry_.findServer("s1")->Used_.MilliCpus_, 100);
  end(makeStart("j", 0, "s1", 1), RunOutcome::Stopped);
  EXPECT_EQ(Registry_.findServer("s1")->Used_.MilliCpus_, 0);
}

// Guards against a failure that is not counted because a copy that started
// later failed first: the task would get more runs than its queue allows.
TEST_F(JobRegistryTest, FailuresOfCopiesCountInAnyOrder) {
  submit(makeSpeculativeJob());
  EXPECT_TRUE(start(makeStart("j", 0, "s1", 1)));
  EXPECT_TRUE(start(makeStart("j", 0, "s2", 2)));
  end(makeStart("j", 0, "s2", 2), RunOutcome::Failed);
  EXPECT_EQ(getJobState("j"), JobState::Running);
  end(makeStart("j", 0, "s1", 1), RunOutcome::Failed);
  EXPECT_EQ(getJobState("j"), JobState::Failed);
}

TEST_F(JobRegistryTest, OccurrencesOpenInOrderAndAllMustBeDone) {
  JobSpec Spec = makeJob("j", {makeStep(1, 100)});
  Spec.RepeatCount_ = 2;
  submit(Spec);
  EXPECT_EQ(Registry_.readySteps().size(), 0U);
  EXPECT_EQ(apply(OpenOccurrence{"j", 1}).Status_, CommandStatus::Refused);
  EXPECT_EQ(apply(OpenOccurrence{"j", 0}).Status_, CommandStatus::Done);
  EXPECT_EQ(apply(OpenOccurrence{"j", 0}).Status_, CommandStatus::Refused);
  EXPECT_EQ(apply(OpenOccurrence{"j", 1}).Status_, CommandStatus::Done);
  EXPECT_TRUE(Registry_.timedJobs().empty());
  for (std::uint64_t K = 0; K < 2; ++K) {
    EXPECT_EQ(getJobState("j") == JobState::Completed, false);
    const TaskStart Start = makeStart("j", 0, "s1", 1, 0, K);
    EXPECT_TRUE(start(Start));
    end(Start, RunOutcome::Done);
  }
  EXPECT_EQ(getJobState("j"), JobState::Completed);
}

TEST_F(JobRegistryTest, ACancelledJobStartsNothingMore) {
  submit(makeJob("j", {makeStep(2, 100)}));
  start(makeStart("j", 0, "s1"));
  EXPECT_EQ(apply(CancelJob{"j"}).Status_, CommandStatus::Done);
  EXPECT_EQ(apply(CancelJob{"j"}).Status_, CommandStatus::AlreadyDone);
  EXPECT_EQ(apply(CancelJob{"unknown"}).Status_, CommandStatus::NotFound);
  EXPECT_FALSE(start(makeStart("j", 1, "s1")));
  end(makeStart("j", 0, "s1"), RunOutcome::Done);
  EXPECT_EQ(getJobState("j"), JobState::Cancelled);
}

TEST_F(JobRegistryTest, PendingCountsJobsThatHaveNotStarted) {
  const std::string Key = makeConfiguration().Queues_[0].getKey();
  submit(makeJob("j", {makeStep(1, 100)}));
  submit(makeJob("k", {makeStep(1, 100)}));
  EXPECT_EQ(Registry_.countPending(Key), 2U);
  start(makeStart("j", 0, "s1"));
  EXPECT_EQ(Registry_.countPending(Key), 1U);
  apply(CancelJob{"k"});
  EXPECT_EQ(Registry_.countPending(Key), 0U);
}

TEST_F(JobRegistryTest, TheHighestConfigurationStays) {
  Configuration Higher = makeConfiguration(5);
  Higher.Queues_[0].Priority_ = 3;
  submit(makeJob("j", {makeStep(1, 100)}));
  EXPECT_EQ(apply(PutConfiguration{Higher}).Status_, CommandStatus::Done);
  EXPECT_EQ(apply(PutConfiguration{makeConfiguration(4)}).Status_,
            CommandStatus::AlreadyDone);
  Configuration Same = makeConfiguration(5);
  EXPECT_EQ(apply(PutConfiguration{Same}).Status_, CommandStatus::AlreadyDone);
  EXPECT_EQ(Registry_.configuration(), Higher);
  // Waiting steps are reordered by the new priority.
  ASSERT_EQ(Registry_.readySteps().size(), 1U);
  EXPECT_EQ(Registry_.readySteps().begin()->Priority_, 3U);
}

TEST_F(JobRegistryTest, JobsOfADroppedQueueGoOn) {
  submit(makeJob("j", {makeStep(1, 100)}));
  Configuration Without = makeConfiguration(2);
  Without.Queues_.clear();
  apply(PutConfiguration{Without});
  EXPECT_TRUE(start(makeStart("j", 0, "s1")));
}

TEST_F(JobRegistryTest, OnlyEndedJobsAreForgotten) {
  submit(makeJob("j", {makeStep(1, 100)}));
  start(makeStart("j", 0, "s1"));
  apply(ForgetJobs{{"j"}});
  ASSERT_NE(Registry_.findJob("j"), nullptr);
  apply(CancelJob{"j"});
  apply(ForgetJobs{{"j"}});
  ASSERT_NE(Registry_.findJob("j"), nullptr) << "a run of it has not ended";
  end(makeStart("j", 0, "s1"), RunOutcome::Stopped);
  apply(ForgetJobs{{"j"}});
  EXPECT_EQ(Registry_.findJob("j"), nullptr);
}

TEST_F(JobRegistryTest, ASnapshotHoldsEverything) {
  StepSpec Second = makeStep(1, 100);
  Second.DependsOn_ = {0};
  submit(makeJob("j", {makeStep(2, 1500), Second}));
  JobSpec Timed = makeJob("t", {makeStep(1, 100)});
  Timed.RepeatCount_ = 3;
  submit(Timed);
  start(makeStart("j", 0, "s1"));
  end(makeStart("j", 0, "s1"), RunOutcome::Failed);
  start(makeStart("j", 1, "s2"));
  const Outcome<JobRegistry> Decoded = JobRegistry::decode(Registry_.encode());
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded.value().jobs(), Registry_.jobs());
  EXPECT_EQ(Decoded.value().readySteps(), Registry_.readySteps());
  EXPECT_EQ(Decoded.value().timedJobs(), Registry_.timedJobs());
  EXPECT_EQ(Decoded.value().configuration(), Registry_.configuration());
  EXPECT_EQ(Decoded.value().findServer("s2")->Used_,
            Registry_.findServer("s2")->Used_);
  EXPECT_EQ(Decoded.value().findServer("s2")->Placed_,
            Registry_.findServer("s2")->Placed_);
}

TEST_F(JobRegistryTest, ADamagedSnapshotIsRefused) {
  submit(makeJob("j", {makeStep(2, 100)}));
  const std::string Bytes = Registry_.encode();
  for (std::size_t Size = 0; Size < Bytes.size(); Size += 7)
    EXPECT_FALSE(JobRegistry::decode(Bytes.substr(0, Size)));
}

TEST_F(JobRegistryTest, ACompletionCountsAfterItsServerWasRemoved) {
  submit(makeJob("j", {makeStep(2, 100)}));
  const TaskStart First = makeStart("j", 0, "s1");
  start(First);
  apply(RemoveServer{"s1", {}, false});
  end(First, RunOutcome::Done);
  EXPECT_FALSE(start(makeStart("j", 0, "s2", 2))) << "the end was applied";
  // A late completion also counts while a second run, which must then be
  // stopped, is in progress.
  const TaskStart Other = makeStart("j", 1, "s2");
  start(Other);
  apply(RemoveServer{"s2", {}, false});
  apply(AddServer{makeServer("s3")});
  start(makeStart("j", 1, "s3", 2));
  end(Other, RunOutcome::Done);
  EXPECT_EQ(getJobState("j"), JobState::Completed);
  EXPECT_EQ(Registry_.findServer("s3")->Used_.MilliCpus_, 100);
  end(makeStart("j", 1, "s3", 2), RunOutcome::Stopped);
  EXPECT_EQ(Registry_.findServer("s3")->Used_.MilliCpus_, 0);
}

TEST_F(JobRegistryTest, NoOtherLateEndChangesAnything) {
  submit(makeJob("j", {makeStep(1, 100)}));
  const TaskStart First = makeStart("j", 0, "s1");
  start(First);
  apply(RemoveServer{"s1", {}, false});
  end(First, RunOutcome::Failed);
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->FailedRuns_, 0U);
  // A run that was never started cannot have ended.
  end(makeStart("j", 0, "s1", 7), RunOutcome::Done);
  EXPECT_EQ(Registry_.findTask({"j", 0, 0, 0})->State_, TaskState::Waiting);
}

TEST_F(JobRegistryTest, OneIncarnationPerAddressAndNoneThatHasEnded) {
  ServerFacts Again = makeServer("s1-again");
  Again.Address_ = makeServer("s1").Address_;
  EXPECT_EQ(apply(AddServer{Again}).Status_, CommandStatus::Refused);
  apply(RemoveServer{"s1", {}, false});
  EXPECT_EQ(apply(AddServer{makeServer("s1")}).Status_, CommandStatus::Done)
      << "it returned after its lease expired";
  apply(RemoveServer{"s1", {}, false});
  EXPECT_EQ(apply(AddServer{Again}).Status_, CommandStatus::Done);
  EXPECT_EQ(apply(AddServer{makeServer("s1")}).Status_, CommandStatus::Refused)
      << "another incarnation holds its address";
  apply(RemoveServer{"s2", {}, true});
  EXPECT_EQ(apply(AddServer{makeServer("s2")}).Status_, CommandStatus::Refused)
      << "it left for good";
  const Outcome<JobRegistry> Decoded = JobRegistry::decode(Registry_.encode());
  ASSERT_TRUE(Decoded);
  for (const char *Id : {"s1", "s2"})
    EXPECT_TRUE(Decoded.value().isOver(Id)) << Id << " after a restart";
  EXPECT_FALSE(Decoded.value().isOver("s1-again"));
}
