// Planned stops cut nothing off, and what leaves gets nothing new.

#include "system/support/ChargeLoad.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <csignal>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;
using testing::IsEmpty;

/// What the brief allows between leaving and the last new work.
static constexpr std::int64_t LeaveLimitMs = 2000;

static ClusterShape makeShape() {
  ClusterShape Shape;
  Shape.EntriesEach_ = 2;
  Shape.ServersEach_ = 4;
  return Shape;
}

class PlannedStop : public testing::Test {
protected:
  void SetUp() override { ASSERT_TRUE(Whole_.start()) << Whole_.whatFailed(); }

  Cluster Whole_{makeShape()};
};

TEST_F(PlannedStop, AnEntryAnswersAllThatItHasBegun) {
  constexpr std::size_t Callers = 16;
  std::vector<HttpAnswer> Answers(Callers);
  // They join also where the test ends early: what the callers got is said
  // then.
  std::vector<std::jthread> Threads;
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back([&, Caller] {
      Answers[Caller] = get(Whole_.entryPort(), "/v1/services/booking/slow/" +
                                                    std::to_string(Caller) +
                                                    "?serviceUs=1500000");
    });
  std::size_t Running = 0;
  const bool AllRun = waitFor(LongEnough, [&] {
    Running = 0;
    for (const AuditLine &Line : Whole_.readAudit().listEvents("request"))
      Running += Line.Path_.rfind("/slow/", 0) == 0;
    return Running == Callers;
  });
  if (!AllRun) {
    Threads.clear();
    std::string Got;
    for (const HttpAnswer &Each : Answers)
      Got += std::to_string(Each.Status_) + " " + Each.outcome() + " " +
             Each.Body_ + "\n";
    FAIL() << Running << " run\n" << Got << Whole_.showOutputs();
  }
  Child &Stopped = *Whole_.entry(0).Child_;
  Stopped.signal(SIGTERM);
  Threads.clear();
  for (std::size_t Caller = 0; Caller < Callers; ++Caller) {
    EXPECT_EQ(Answers[Caller].outcome(), "served");
    EXPECT_EQ(Answers[Caller].json().value("path", ""),
              "/slow/" + std::to_string(Caller));
  }
  EXPECT_EQ(Stopped.wait(LongEnough), 0) << Stopped.readOutput();
}

TEST_F(PlannedStop, AnEntryUnderLoadLosesNoCharge) {
  ChargeLoadShape Shape;
  Shape.Ports_ = {Whole_.entryPort(0, 0), Whole_.entryPort(0, 1)};
  ChargeLoad Charges(Whole_, Shape);
  ASSERT_TRUE(Charges.waitForServed(10));
  Child &Stopped = *Whole_.entry(0).Child_;
  Stopped.signal(SIGTERM);
  EXPECT_EQ(Stopped.wait(LongEnough), 0) << Stopped.readOutput();
  EXPECT_TRUE(Charges.waitForServed(10)) << Whole_.showOutputs();
  Charges.stop();
  Audit Ran = Whole_.readAudit();
  EXPECT_THAT(Charges.listFaults(Ran), IsEmpty());
  EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
}

TEST_F(PlannedStop, ALeavingServerGetsNothingNewAfterTwoSeconds) {
  ASSERT_TRUE(Whole_.submitJob("rebill", 8,
                               {{"workMs", 6000}, {"checkpointEveryMs", 500}}));
  ASSERT_TRUE(waitFor(LongEnough, [&] {
    return Whole_.readAudit().listEvents("taskStart").size() >= 8;
  }));
  ChargeLoadShape Shape;
  Shape.Ports_ = {Whole_.entryPort(0, 0), Whole_.entryPort(0, 1)};
  ChargeLoad Charges(Whole_, Shape);
  ASSERT_TRUE(Charges.waitForServed(20));
  std::string Leaving = Whole_.serverName(0, 0);
  EXPECT_FALSE(Whole_.readAudit().listNewWork(Leaving, 0).empty());
  std::int64_t LeftAt = nowMs();
  ASSERT_TRUE(Whole_.setFault(0, Leaving, "draining"));
  EXPECT_TRUE(
      waitFor(LongEnough, [&] { return nowMs() - LeftAt > 3 * LeaveLimitMs; }));
  EXPECT_TRUE(Charges.waitForServed(20)) << Whole_.showOutputs();
  Charges.stop();
  EXPECT_TRUE(Whole_.waitForJob("rebill", "finished"))
      << Whole_.operate("GET", "/jobs/rebill").Body_;
  Audit Ran = Whole_.readAudit();
  EXPECT_THAT(Charges.listFaults(Ran), IsEmpty());
  EXPECT_THAT(Ran.listBrokenPromises(), IsEmpty());
  EXPECT_EQ(Ran.listNewWork(Leaving, LeftAt + LeaveLimitMs).size(), 0U);
}

TEST_F(PlannedStop, ASilentServerGetsNothingNewAfterTwoSeconds) {
  ChargeLoadShape Shape;
  Shape.Ports_ = {Whole_.entryPort(0, 0), Whole_.entryPort(0, 1)};
  ChargeLoad Charges(Whole_, Shape);
  ASSERT_TRUE(Charges.waitForServed(20));
  std::string Silent = Whole_.serverName(0, 1);
  std::int64_t SilentAt = nowMs();
  ASSERT_TRUE(Whole_.setFault(0, Silent, "mute"));
  EXPECT_TRUE(waitFor(LongEnough,
                      [&] { return nowMs() - SilentAt > 3 * LeaveLimitMs; }));
  Charges.stop();
  Audit Ran = Whole_.readAudit();
  EXPECT_THAT(Charges.listFaults(Ran), IsEmpty());
  EXPECT_EQ(Ran.listNewWork(Silent, SilentAt + LeaveLimitMs).size(), 0U);
}
