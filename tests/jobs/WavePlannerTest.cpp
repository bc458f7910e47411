//===- WavePlannerTest.cpp - Which VM goes into maintenance next -----------===//

#include "jobs/WavePlanner.h"

#include "jobs/JobFixture.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// VMs v1 to v3 with the servers s1 to s3.
class WaveKeeperTest : public JobBookTest {
protected:
  WaveKeeperTest() { apply(AddServer{makeServer("s3")}); }

  void startWave(std::uint64_t MostAtOnce) {
    apply(StartWave{{7, {"v1", "v2", "v3"}, 20'000, MostAtOnce}});
  }
  void list(bool IsWhole = true) {
    std::vector<VmInfo> Vms;
    for (const auto &[Vm, State] : States_)
      Vms.push_back({Vm, "booking", State, "s" + Vm.substr(1)});
    Keeper_.noteList({Vms, IsWhole}, Now_);
  }
  std::optional<MaintenanceOrder> order() {
    auto Order = Keeper_.plan(Book_, Now_);
    if (Order)
      Keeper_.noteOrdered(*Order, Now_);
    return Order;
  }
  void answer(const MaintenanceOrder &Order,
              const Outcome<MaintenanceReply> &Reply) {
    if (Keeper_.noteReply(Order, Reply, Now_))
      apply(NoteMaintenance{Order.Wave_, Order.Vm_});
  }

  TimePoint Now_{1h};
  std::map<std::string, VmState> States_ = {
      {"v1", VmState::Up}, {"v2", VmState::Up}, {"v3", VmState::Up}};
  WaveKeeper Keeper_;
};

} // namespace

TEST_F(WaveKeeperTest, NothingIsOrderedBeforeVmsAreListed) {
  EXPECT_FALSE(Keeper_.isListDue(Book_, Now_)) << "there is no wave";
  startWave(1);
  EXPECT_TRUE(Keeper_.isListDue(Book_, Now_));
  EXPECT_FALSE(order());
  list();
  EXPECT_FALSE(Keeper_.isListDue(Book_, Now_));
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(*Order, (MaintenanceOrder{7, "v1", "s1"}));
}

TEST_F(WaveKeeperTest, NeverMoreAreDownThanAllowed) {
  startWave(1);
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  EXPECT_FALSE(order()) << "the first has no answer yet";
  answer(*First, MaintenanceReply::Begun);
  Now_ += 100ms;
  EXPECT_FALSE(order()) << "it is down";
  States_["v1"] = VmState::Maintenance;
  list();
  EXPECT_FALSE(order());
  EXPECT_TRUE(Keeper_.isEmptying("s2")) << "the next one is made ready";
  Now_ += 2s;
  States_["v1"] = VmState::Up;
  list();
  const auto Second = order();
  ASSERT_TRUE(Second);
  EXPECT_EQ(Second->Vm_, "v2");
}

TEST_F(WaveKeeperTest, AListAskedForBeforeTheOrderSaysNothingOfIt) {
  startWave(1);
  list();
  const TimePoint Before = Now_;
  Now_ += 10ms;
  const auto First = order();
  answer(*First, MaintenanceReply::Begun);
  Keeper_.noteList({{{"v1", "booking", VmState::Up, "s1"},
                     {"v2", "booking", VmState::Up, "s2"}},
                    true},
                   Before);
  EXPECT_FALSE(order());
}

TEST_F(WaveKeeperTest, AVmThatOnlyAListWithBadRowsLeavesOutIsNotOrdered) {
  startWave(1);
  States_.erase("v1");
  list(/*IsWhole=*/false);
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->Vm_, "v2") << "v1 may be there, with work on it";
}

TEST_F(WaveKeeperTest, AVmThatIsDownStaysSoWhileListsHaveBadRows) {
  startWave(1);
  list();
  const auto First = order();
  ASSERT_TRUE(First);
  answer(*First, MaintenanceReply::Begun);
  States_.erase("v1");
  Now_ += 10s;
  list(/*IsWhole=*/false);
  EXPECT_FALSE(order()) << "one is down, as far as anybody knows";
  Now_ += 10s;
  list();
  EXPECT_TRUE(order()) << "a whole list says that it is no more";
}

TEST_F(WaveKeeperTest, AMaintenanceSeenBeforeCountsWhileListsHaveBadRows) {
  startWave(1);
  States_["v1"] = VmState::Maintenance;
  list();
  States_.erase("v1");
  Now_ += 1s;
  list(/*IsWhole=*/false);
  EXPECT_FALSE(order());
}

TEST_F(WaveKeeperTest, AnOrderWithoutAClearAnswerIsSentAgainAndCountsAsDown) {
  startWave(1);
  list();
  const auto First = order();
  answer(*First, fail(ErrorCode::Timeout, "no answer"));
  EXPECT_FALSE(order()) << "not at once";
  Now_ += 1s;
  const auto Again = order();
  ASSERT_TRUE(Again);
  EXPECT_EQ(Again->Vm_, "v1");
  // A refusal of the second order says nothing of the first.
  answer(*Again, fail(ErrorCode::Overfull, "too many"));
  Now_ += 1s;
  const auto Third = order();
  ASSERT_TRUE(Third);
  EXPECT_EQ(Third->Vm_, "v1");
  answer(*Third, MaintenanceReply::Begun);
  EXPECT_TRUE(Book_.waves().find(7)->hasBegun("v1"));
}

TEST_F(WaveKeeperTest, WhatAnEarlierLeaderOrderedIsSeenInTheList) {
  startWave(1);
  States_["v2"] = VmState::Maintenance;
  list();
  EXPECT_FALSE(order());
}

TEST_F(WaveKeeperTest, AVmThatIsDownForAnotherReasonBlocksNobody) {
  startWave(1);
  States_["v1"] = VmState::Down;
  list();
  const auto Order = order();
  ASSERT_TRUE(Order);
  EXPECT_EQ(Order->Vm_, "v2");
  EXPECT_FALSE(Book_.waves().find(7)->isCompleted());
}

TEST_F(WaveKeeperTest, AWaveIsCompletedOnceAllHaveBegunOrAreNoMore) {
  startWave(3);
  States_.erase("v3");
  list();
  answer(*order(), MaintenanceReply::Begun);
  answer(*order(), MaintenanceReply::Begun);
  const auto Gone = order();
  ASSERT_TRUE(Gone);
  EXPECT_EQ(Gone->Vm_, "v3");
  EXPECT_FALSE(Book_.waves().find(7)->isCompleted());
  answer(*Gone, MaintenanceReply::NoSuchVm);
  EXPECT_TRUE(Book_.waves().find(7)->isCompleted());
  EXPECT_FALSE(order());
}

TEST_F(WaveKeeperTest, OnceFencedNothingIsOrderedInThatTerm) {
  startWave(3);
  list();
  answer(*order(), MaintenanceReply::Fenced);
  Now_ += 1min;
  list();
  EXPECT_FALSE(order());
  Keeper_.reset();
  list();
  EXPECT_TRUE(order()) << "a later term may";
}

TEST_F(WaveKeeperTest, ABusyVmIsAskedAgainLater) {
  startWave(1);
  list();
  answer(*order(), MaintenanceReply::Busy);
  const auto Other = order();
  ASSERT_TRUE(Other);
  EXPECT_EQ(Other->Vm_, "v2");
}

TEST_F(WaveKeeperTest, WorkEndsByItselfBeforeItsServerGoes) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  EXPECT_TRUE(Keeper_.isEmptying("s1"));
  apply(makeEnd(makeStart("j", 0, "s1"), RunEnd::Done));
  EXPECT_TRUE(order());
}

TEST_F(WaveKeeperTest, WorkThatTakesTooLongIsCutOff) {
  submit(makeJob("j", {makeStep(1, 1000)}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  Now_ += 7s;
  list();
  EXPECT_TRUE(order());
}

TEST_F(WaveKeeperTest, WhatLastsIsNeverCutOff) {
  StepSpec Lasting = makeStep(1, 1000);
  Lasting.LongRunning_ = true;
  submit(makeJob("j", {Lasting}));
  start(makeStart("j", 0, "s1"));
  apply(StartWave{{7, {"v1"}, 20'000, 1}});
  list();
  EXPECT_FALSE(order());
  Now_ += 1min;
  list();
  EXPECT_FALSE(order());
}

TEST_F(WaveKeeperTest, AWaveIsKeptOnce) {
  startWave(1);
  apply(NoteMaintenance{7, "v1"});
  EXPECT_EQ(apply(StartWave{{7, {"v9"}, 1, 1}}).Verdict_, Verdict::AlreadyDone);
  EXPECT_EQ(apply(NoteMaintenance{7, "v1"}).Verdict_, Verdict::AlreadyDone);
  EXPECT_EQ(apply(NoteMaintenance{7, "v9"}).Verdict_, Verdict::AlreadyDone);
  const auto Copy = JobBook::decode(Book_.encode());
  ASSERT_TRUE(Copy);
  ASSERT_NE(Copy.value().waves().find(7), nullptr);
  EXPECT_EQ(*Copy.value().waves().find(7), *Book_.waves().find(7));
  EXPECT_EQ(Copy.value().encode(), Book_.encode());
}

TEST_F(WaveKeeperTest, AVmNamedTwiceCountsOnce) {
  apply(StartWave{{7, {"v1", "v1"}, 20'000, 1}});
  apply(NoteMaintenance{7, "v1"});
  EXPECT_TRUE(Book_.waves().find(7)->isCompleted());
}
