//===- WavePlannerTest.cpp - Order of VMs in maintenance -----------------===//

#include "jobs/WavePlanner.h"

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// VMs v1 to v3 with the servers s1 to s3.
class WavePlannerTest : public JobRegistryTest {
protected:
  WavePlannerTest() { apply(AddServer{makeServer("s3")}); }

  void startWave(std::uint64_t MaxConcurrent) {
    apply(StartWave{{7, {"v1", "v2", "v3"}, 20'000, MaxConcurrent}});
  }
  void list(bool IsComplete = true) {
    std::vector<VmInfo> Vms;
    for (const auto &[Vm, State] : States_)
      Vms.push_back({Vm, "booking", State, "s" + Vm.substr(1)});
    Planner_.updateVms({Vms, IsComplete}, Now_);
  }
  std::optional<MaintenanceOrder> order() {
    auto Order = Planner_.plan(Registry_, Now_);
    if (Order)
      Planner_.recordOrder(*Order, Now_);
    return Order;
  }
  void answer(const MaintenanceOrder &Order,
              const Outcome<MaintenanceReply> &Reply) {
    if (Planner_.handleReply(Order, Reply, Now_))
      apply(RecordMaintenanceStart{Order.Wave_, Order.Vm_});
  }

  TimePoint Now_{1h};
  std::map<std::string, VmState> States_ = {
      {"v1", VmState::Up}, {"v2", VmState::Up}, {"v3", VmState::Up}};
  WavePlanner Planner_;
};

} // namespace

TEST_F(WavePlannerTest, NoOrderBeforeVmsAreListed) {
  EXPECT_FALSE(Planner_.isVmListRefreshDue(Registry_, Now_))
      << "there is no wave";
  startWave(1);
  EXPECT_TRUE(Planner_.isVmListRefreshDue(Registry_, Now_));
  EXPECT_FALSE(order());
  list();
  EXPECT_FALSE(Planner_.isVmListRefreshDue(Registry_, Now_));
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(*Order, (MaintenanceOrder{7, "v1", "s1"}));
}

TEST_F(WavePlannerTest, ConcurrencyLimitIsNeverExceeded) {
  startWave(1);
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  EXPECT_FALSE(order()) << "the first order is not answered yet";
  answer(*First, MaintenanceReply::Begun);
  Now_ += 100ms;
  EXPECT_FALSE(order()) << "it is down";
  States_["v1"] = VmState::Maintenance;
  list();
  EXPECT_FALSE(order());
  EXPECT_TRUE(Planner_.isDraining("s2")) << "the next server is drained";
  Now_ += 2s;
  States_["v1"] = VmState::Up;
  list();
  const auto Second = order();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->Vm_, "v2");
}

TEST_F(WavePlannerTest, ListRequestedBeforeOrderDoesNotConfirmIt) {
  startWave(1);
  list();
  const TimePoint Before = Now_;
  Now_ += 10ms;
  const auto First = order();
  answer(*First, MaintenanceReply::Begun);
  Planner_.updateVms({{{"v1", "booking", VmState::Up, "s1"},
                       {"v2", "booking", VmState::Up, "s2"}},
                      true},
                     Before);
  EXPECT_FALSE(order());
}

TEST_F(WavePlannerTest, VmMissingFromIncompleteListIsNotOrdered) {
  startWave(1);
  States_.erase("v1");
  list(/*IsComplete=*/false);
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->Vm_, "v2") << "v1 may still exist and run tasks";
}

TEST_F(WavePlannerTest, DownVmStaysDownWhileListsAreIncomplete) {
  startWave(1);
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  answer(*First, MaintenanceReply::Begun);
  States_.erase("v1");
  Now_ += 10s;
  list(/*IsComplete=*/false);
  EXPECT_FALSE(order()) << "v1 still counts as down";
  Now_ += 10s;
  list();
  EXPECT_TRUE(order()) << "a complete list shows that v1 is gone";
}

TEST_F(WavePlannerTest, EarlierMaintenanceCountsWhileListsAreIncomplete) {
  startWave(1);
  States_["v1"] = VmState::Maintenance;
  list();
  States_.erase("v1");
  Now_ += 1s;
  list(/*IsComplete=*/false);
  EXPECT_FALSE(order());
}

TEST_F(WavePlannerTest, OrderWithUnknownOutcomeIsRetriedAndCountsAsDown) {
  startWave(1);
  list();
  const auto First = order();
  answer(*First, fail(ErrorCode::Timeout, "no answer"));
  EXPECT_FALSE(order()) << "not before the retry delay";
  Now_ += 1s;
  const auto Again = order();
  ASSERT_TRUE(Again);
  EXPECT_EQ(Again->Vm_, "v1");
  // A refusal of the second order says nothing about the first.
  answer(*Again, fail(ErrorCode::Overfull, "too many"));
  Now_ += 1s;
  const auto Third = order();
  ASSERT_TRUE(Third);
  EXPECT_EQ(Third->Vm_, "v1");
  answer(*Third, MaintenanceReply::Begun);
  EXPECT_TRUE(Registry_.waves().find(7)->hasBegun("v1"));
}

TEST_F(WavePlannerTest, OrderOfEarlierLeaderIsSeenInTheList) {
  startWave(1);
  States_["v2"] = VmState::Maintenance;
  list();
  EXPECT_FALSE(order());
}

TEST_F(WavePlannerTest, VmDownForAnotherReasonDoesNotBlockTheWave) {
  startWave(1);
  States_["v1"] = VmState::Down;
  list();
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->Vm_, "v2");
  EXPECT_FALSE(Registry_.waves().find(7)->isCompleted());
}

TEST_F(WavePlannerTest, WaveCompletesOnceAllVmsHaveBegunOrAreGone) {
  startWave(3);
  States_.erase("v3");
  list();
  answer(*order(), MaintenanceReply::Begun);
  answer(*order(), MaintenanceReply::Begun);
  const auto Gone = order();
  ASSERT_TRUE(Gone);
  EXPECT_EQ(Gone->Vm_, "v3");
  EXPECT_FALSE(Registry_.waves().find(7)->isCompleted());
  answer(*Gone, MaintenanceReply::NoSuchVm);
  EXPECT_TRUE(Registry_.waves().find(7)->isCompleted());
  EXPECT_FALSE(order());
}

TEST_F(WavePlannerTest, FencedTermSendsNoMoreOrders) {
  startWave(3);
  list();
  answer(*order(), MaintenanceReply::Fenced);
  Now_ += 1min;
  list();
  EXPECT_FALSE(order());
  Planner_.reset();
  list();
  EXPECT_TRUE(order()) << "a later term may send orders";
}

TEST_F(WavePlannerTest, BusyVmIsRetriedLater) {
  startWave(1);
  list();
  answer(*order(), MaintenanceReply::Busy);
  const auto Other = order();
  ASSERT_TRUE(Other);
  EXPECT_EQ(Other->Vm_, "v2");
}

TEST_F(WavePlannerTest, TasksEndBeforeMaintenance) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  EXPECT_TRUE(Planner_.isDraining("s1"));
  apply(makeEnd(makeStart("j", 0, "s1"), RunOutcome::Done));
  EXPECT_TRUE(order());
}

TEST_F(WavePlannerTest, MaintenanceStopsTasksAfterMaxDrainTime) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  Now_ += 7s;
  list();
  EXPECT_TRUE(order());
}

TEST_F(WavePlannerTest, MaintenanceNeverStopsLongRunningTasks) {
  StepSpec LongRunning = makeStep(1, 1000);
  LongRunning.LongRunning_ = true;
  submit(makeJob("j", {LongRunning}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  Now_ += 1min;
  list();
  EXPECT_FALSE(order());
}

TEST_F(WavePlannerTest, DuplicateWaveIsIgnored) {
  startWave(1);
  apply(RecordMaintenanceStart{7, "v1"});
  EXPECT_EQ(apply(StartWave{{7, {"v9"}, 1, 1}}).Status_,
            CommandStatus::AlreadyDone);
  EXPECT_EQ(apply(RecordMaintenanceStart{7, "v1"}).Status_,
            CommandStatus::AlreadyDone);
  EXPECT_EQ(apply(RecordMaintenanceStart{7, "v9"}).Status_,
            CommandStatus::AlreadyDone);
  const auto Copy = JobRegistry::decode(Registry_.encode());
  ASSERT_TRUE(Copy);
  ASSERT_NE(Copy.value().waves().find(7), nullptr);
  EXPECT_EQ(*Copy.value().waves().find(7), *Registry_.waves().find(7));
  EXPECT_EQ(Copy.value().encode(), Registry_.encode());
}

TEST_F(WavePlannerTest, DuplicateVmCountsOnce) {
  apply(StartWave{{7, {"v1", "v1"}, 20'000, 1}});
  apply(RecordMaintenanceStart{7, "v1"});
  EXPECT_TRUE(Registry_.waves().find(7)->isCompleted());
}

// Guards against the removal of a running server on the answer to a repeated
// order, which speaks of the server before it.
TEST_F(WavePlannerTest, RepeatedOrderNamesTheServerOfTheFirst) {
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  answer(*First, fail(ErrorCode::Timeout, "no answer"));
  Now_ += 2s;
  Planner_.updateVms({{{"v1", "booking", VmState::Up, "s9"}}, true}, Now_);
  const auto Again = order();
  ASSERT_TRUE(Again);
  EXPECT_EQ(*Again, *First);
  // The provider may check first whether the VM is up.
  answer(*Again, MaintenanceReply::Busy);
  Now_ += 2s;
  Planner_.updateVms({{{"v1", "booking", VmState::Up, "s9"}}, true}, Now_);
  const auto Third = order();
  ASSERT_TRUE(Third);
  EXPECT_EQ(*Third, *First);
}

// Guards against a second wave's order that hides an unclear one of the first,
// whose answer would then name a running server.
TEST_F(WavePlannerTest, VmWithAnUnclearOrderGetsNoOrderOfAnotherWave) {
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  apply(StartWave{{8, {"v1"}, 20'000, 1}});
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  EXPECT_FALSE(order()) << "its order is in flight";
  answer(*First, fail(ErrorCode::Timeout, "no answer"));
  for (int I = 0; I < 5; ++I) {
    Now_ += 1s;
    list();
    const auto Again = order();
    ASSERT_TRUE(Again);
    EXPECT_EQ(*Again, *First);
    EXPECT_FALSE(order());
    answer(*Again, fail(ErrorCode::Timeout, "no answer"));
  }
}

// Guards against the removal of a running server after the beginning of the
// maintenance could not be recorded.
TEST_F(WavePlannerTest, OrderAfterAnUnrecordedBeginningNamesTheFirstServer) {
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  EXPECT_TRUE(Planner_.handleReply(*First, MaintenanceReply::Begun, Now_));
  Now_ += 2s;
  Planner_.updateVms({{{"v1", "booking", VmState::Up, "s9"}}, true}, Now_);
  const auto Again = order();
  ASSERT_TRUE(Again);
  EXPECT_EQ(*Again, *First);
}

// Guards against a wave that stands still because a VM that waits for a slot
// takes the one of an unclear order.
TEST_F(WavePlannerTest, UnclearOrderIsRepeatedBehindAVmThatWaits) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  startWave(1);
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  EXPECT_EQ(First->Vm_, "v2") << "v1 still has a task";
  answer(*First, fail(ErrorCode::Timeout, "no answer"));
  Now_ += 1s;
  list();
  const auto Again = order();
  ASSERT_TRUE(Again);
  EXPECT_EQ(*Again, *First);
}

// Guards against several unclear orders of which one is never repeated.
TEST_F(WavePlannerTest, UnclearOrdersAreRepeatedInTurns) {
  startWave(3);
  list();
  std::map<std::string, int> Orders;
  for (int I = 0; I < 12; ++I) {
    const auto Next = order();
    ASSERT_TRUE(Next);
    ++Orders[Next->Vm_];
    Now_ += 2s;
    answer(*Next, fail(ErrorCode::Timeout, "no answer"));
    list();
  }
  EXPECT_EQ(Orders,
            (std::map<std::string, int>{{"v1", 4}, {"v2", 4}, {"v3", 4}}));
}

// Guards against a sound server that gets no work while the order that ended
// the server before it is unclear.
TEST_F(WavePlannerTest, ServerAfterAnUnclearOrderTakesWork) {
  startWave(1);
  list();
  answer(*order(), fail(ErrorCode::Timeout, "no answer"));
  Now_ += 1s;
  Planner_.updateVms({{{"v1", "booking", VmState::Up, "s9"}}, true}, Now_);
  EXPECT_TRUE(order());
  EXPECT_FALSE(Planner_.isDraining("s9"));
}

// Guards against a drained server that stays without work because another VM
// of its wave does not come back.
TEST_F(WavePlannerTest, DrainedServerTakesWorkAgainIfItsTurnDoesNotCome) {
  startWave(1);
  list();
  answer(*order(), MaintenanceReply::Begun);
  States_["v1"] = VmState::Maintenance;
  for (int I = 0; I < 30; ++I) {
    Now_ += 1s;
    list();
    EXPECT_FALSE(order());
    EXPECT_EQ(Planner_.isDraining("s2"), I < 9) << "after " << I + 1 << " s";
    EXPECT_FALSE(Planner_.isDraining("s3"));
  }
  States_["v1"] = VmState::Up;
  list();
  EXPECT_TRUE(order()) << "its turn has come";
  EXPECT_TRUE(Planner_.isDraining("s2"));
}

// Guards against servers that stay without work while the provider is silent.
TEST_F(WavePlannerTest, NothingIsDrainedByAnOldList) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  EXPECT_TRUE(Planner_.isDraining("s1"));
  Now_ += 6s;
  EXPECT_FALSE(order());
  EXPECT_FALSE(Planner_.isDraining("s1"));
  list();
  EXPECT_FALSE(order()) << "its task has time to end again";
  EXPECT_TRUE(Planner_.isDraining("s1"));
}

// Guards against a wave that never ends because one VM failed in maintenance.
TEST_F(WavePlannerTest, VmThatDoesNotComeBackReleasesItsSlot) {
  startWave(1);
  list();
  answer(*order(), MaintenanceReply::Begun);
  States_["v1"] = VmState::Down;
  Now_ += 9s;
  list();
  EXPECT_FALSE(order());
  Now_ += 1s;
  list();
  const auto Next = order();
  ASSERT_TRUE(Next);
  EXPECT_EQ(Next->Vm_, "v2");
}

// Guards against more VMs in maintenance than allowed: a busy VM may be in the
// maintenance of an unclear order.
TEST_F(WavePlannerTest, BusyVmOfAnUnclearOrderCountsUntilItIsListed) {
  startWave(1);
  list();
  answer(*order(), fail(ErrorCode::Timeout, "no answer"));
  Now_ += 1s;
  answer(*order(), MaintenanceReply::Busy);
  EXPECT_FALSE(order());
  Now_ += 100ms;
  States_["v1"] = VmState::Maintenance;
  list();
  EXPECT_FALSE(order());
}
