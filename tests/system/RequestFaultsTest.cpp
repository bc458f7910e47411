// One request, one fault: what its caller is told must be true. The stand-ins
// go wrong on command, entries are killed in mid-request.

#include "system/support/Cluster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <algorithm>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::system_test;
using testing::IsEmpty;

static ClusterShape makeShape() {
  ClusterShape Shape;
  Shape.EntriesEach_ = 2;
  Shape.ServersEach_ = 3;
  return Shape;
}

class RequestFaults : public testing::Test {
protected:
  static void SetUpTestSuite() {
    Whole_ = std::make_unique<Cluster>(makeShape());
    Started_ = Whole_->start();
  }
  static void TearDownTestSuite() { Whole_.reset(); }
  void SetUp() override {
    ASSERT_TRUE(Started_) << Whole_->whatFailed();
    // An earlier test's fault may have ejected servers for a while.
    ASSERT_TRUE(waitFor(LongEnough, [] {
      return get(Whole_->entryPort(), "/v1/services/booking/warm").outcome() ==
             "served";
    }));
  }

  /// One request that may not be repeated, without a key, under that fault.
  HttpAnswer chargeUnder(const std::string &Fault, std::int64_t Value,
                         const std::string &Path, const std::string &Ticket,
                         Milliseconds Deadline = Milliseconds(1000)) {
    EXPECT_TRUE(Whole_->setFault(0, "*", Fault, Value));
    HttpAnswer Answer =
        Whole_->charge(Whole_->entryPort(), Path, Ticket, Deadline);
    EXPECT_TRUE(Whole_->setFault(0, "*", Fault, 0));
    return Answer;
  }
  std::size_t countRuns(const std::string &Path) {
    return Whole_->readAudit().countRuns("/" + Path);
  }

  static inline std::unique_ptr<Cluster> Whole_;
  static inline bool Started_ = false;
};

struct AnswerFaultCase {
  const char *Fault_;
  std::int64_t Value_;
};

class AnswerFaults : public RequestFaults,
                     public testing::WithParamInterface<AnswerFaultCase> {};

TEST_P(AnswerFaults, LeaveAChargeUnknownAndRunOnce) {
  std::string Path = std::string("once-") + GetParam().Fault_;
  HttpAnswer Answer =
      chargeUnder(GetParam().Fault_, GetParam().Value_, Path, "");
  EXPECT_EQ(Answer.outcome(), "unknown") << Answer.Body_;
  EXPECT_EQ(Answer.Status_, 504);
  EXPECT_EQ(countRuns(Path), 1U);
}

TEST_P(AnswerFaults, AreNotRunAgainUnderTheSameTicket) {
  std::string Path = std::string("keyed-") + GetParam().Fault_;
  std::string Ticket = Whole_->takeTicket(Whole_->entryPort());
  chargeUnder(GetParam().Fault_, GetParam().Value_, Path, Ticket);
  HttpAnswer Again =
      Whole_->charge(Whole_->entryPort(0, 1), Path, Ticket, Milliseconds(1000));
  EXPECT_NE(Again.outcome(), "not-run") << Again.Body_;
  EXPECT_EQ(countRuns(Path), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All, AnswerFaults,
    testing::Values(AnswerFaultCase{"drop", 1}, AnswerFaultCase{"truncate", 1},
                    AnswerFaultCase{"wrong-id", 1},
                    AnswerFaultCase{"late-ms", 3000}),
    [](const testing::TestParamInfo<AnswerFaultCase> &Info) {
      std::string Name = Info.param.Fault_;
      Name.erase(std::remove(Name.begin(), Name.end(), '-'), Name.end());
      return Name;
    });

TEST_F(RequestFaults, ABusyServersRefusalIsNotRun) {
  HttpAnswer Answer = chargeUnder("busy", 1, "busy", "");
  EXPECT_EQ(Answer.outcome(), "not-run") << Answer.Body_;
  EXPECT_EQ(Answer.Status_, 503);
  EXPECT_FALSE(Answer.header("retry-after").empty());
  EXPECT_EQ(countRuns("busy"), 0U);
}

TEST_F(RequestFaults, AServersOwnErrorIsPassedOnAsServed) {
  HttpAnswer Answer = chargeUnder("errors", 1, "error", "");
  EXPECT_EQ(Answer.outcome(), "served") << Answer.Body_;
  EXPECT_EQ(Answer.Status_, 500);
  EXPECT_EQ(countRuns("error"), 1U);
}

TEST_F(RequestFaults, AReadIsServedWholeAlthoughOneServerTruncates) {
  ASSERT_TRUE(Whole_->setFault(0, Whole_->serverName(0, 0), "truncate"));
  std::size_t Served = 0;
  for (int Number = 0; Number < 30; ++Number) {
    HttpAnswer Answer =
        get(Whole_->entryPort(), "/v1/services/booking/read?bytes=50000");
    if (Answer.outcome() != "served")
      continue;
    ++Served;
    ASSERT_EQ(Answer.Body_.size(), 50000U);
    for (std::size_t Index = 0; Index < Answer.Body_.size(); ++Index)
      ASSERT_EQ(Answer.Body_[Index], static_cast<char>('a' + Index % 26));
  }
  Whole_->setFault(0, Whole_->serverName(0, 0), "truncate", 0);
  EXPECT_GE(Served, 20U);
}

TEST_F(RequestFaults, AnEntryKilledInMidRequestRunsNothingTwice) {
  std::string Ticket = Whole_->takeTicket(Whole_->entryPort(0, 0));
  HttpAnswer First;
  std::thread Caller([&] {
    First = Whole_->charge(Whole_->entryPort(0, 0), "killed", Ticket,
                           Milliseconds(10000), "serviceUs=1500000");
  });
  EXPECT_TRUE(waitFor(LongEnough, [&] { return countRuns("killed") == 1; }));
  Whole_->entry(0, 0).Child_->kill();
  Caller.join();
  EXPECT_EQ(First.Status_, 0);
  HttpAnswer Again = Whole_->charge(Whole_->entryPort(0, 1), "killed", Ticket,
                                    Milliseconds(4000), "serviceUs=1500000");
  EXPECT_EQ(Again.outcome(), "unknown") << Again.Body_;
  EXPECT_EQ(countRuns("killed"), 1U);
  Whole_->entry(0, 0).Child_->start();
  EXPECT_TRUE(waitFor(LongEnough, [&] {
    return get(Whole_->entryPort(0, 0), "/v1/services/booking/warm")
               .outcome() == "served";
  }));
  EXPECT_THAT(Whole_->readAudit().listBrokenPromises(), IsEmpty());
}

TEST_F(RequestFaults, AServerThatRestartsInMidRequestLeavesItUnknown) {
  HttpAnswer Answer;
  std::thread Caller([&] {
    Answer = Whole_->charge(Whole_->entryPort(0, 1), "restart", "",
                            Milliseconds(10000), "serviceUs=2000000");
  });
  EXPECT_TRUE(waitFor(LongEnough, [&] { return countRuns("restart") == 1; }));
  EXPECT_EQ(
      post(Whole_->standIn(0).AdminPort_, "/admin/servers/*/crash").Status_,
      200);
  Caller.join();
  EXPECT_EQ(Answer.outcome(), "unknown") << Answer.Body_;
  EXPECT_EQ(countRuns("restart"), 1U);
}
