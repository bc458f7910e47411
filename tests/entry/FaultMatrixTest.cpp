//===- FaultMatrixTest.cpp - Tests of all combinations of faults ----------===//
//
// Injects each fault of the backend servers, the control processes and the
// entry for each kind of request. Each request gets exactly one response; a
// served response is complete and belongs to the request; "not run" means that
// it did not run; a request that is not repeatable runs at most once. The same
// holds for repeated requests with the same key after the faults have ended.
//
//===----------------------------------------------------------------------===//

#include "entry/support/Fakes.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class Kind { Repeatable, Once, Keyed };
constexpr Kind AllKinds[] = {Kind::Repeatable, Kind::Once, Kind::Keyed};
constexpr CallFault AllCallFaults[] = {CallFault::None, CallFault::Unavailable,
                                       CallFault::LostBefore,
                                       CallFault::LostAfter};

std::vector<net::HttpHeader> makeHeaders(Kind RequestKind,
                                         const std::string &Key) {
  if (RequestKind == Kind::Repeatable)
    return {{header::Repeatable, "true"}};
  if (RequestKind == Kind::Keyed)
    return {{header::IdempotencyKey, Key}};
  return {};
}

/// Checks all guarantees for one answered call.
void check(const EntryHarness &Harness, const EntryHarness::Call &Call,
           Kind RequestKind) {
  ASSERT_EQ(Call.Answers_.size(), 1U);
  const unsigned Runs = Harness.Backend_.getRuns(Call.Body_);
  if (Call.outcome() == "served") {
    EXPECT_EQ(Call.response().Body_, makeAnswerBody(Call.Body_));
    EXPECT_GE(Runs, 1U);
  } else {
    EXPECT_GE(Call.response().Status_, 400U);
  }
  if (Call.outcome() == "not-run") {
    EXPECT_EQ(Runs, 0U);
  }
  if (RequestKind != Kind::Repeatable) {
    EXPECT_LE(Runs, 1U);
  }
}

/// Ends all faults and repeats a request with a key twice.
void resend(EntryHarness &Harness, const std::string &Body,
            const std::string &Key) {
  Harness.Backend_.Script_.clear();
  Harness.Control_->BeginFaults_.clear();
  Harness.Control_->FinishFaults_.clear();
  Harness.Control_->AbandonFaults_.clear();
  for (int Time = 0; Time < 2; ++Time) {
    const auto Repeated = Harness.call(Body, makeHeaders(Kind::Keyed, Key));
    Harness.advance(seconds(3));
    check(Harness, *Repeated, Kind::Keyed);
  }
}

std::string describeCase(Kind RequestKind, int First, int Second) {
  return "kind " + std::to_string(static_cast<int>(RequestKind)) + " faults " +
         std::to_string(First) + "," + std::to_string(Second);
}

} // namespace

TEST(FaultMatrixTest, BackendFaultsOverTwoTries) {
  for (const Kind RequestKind : AllKinds)
    for (const TryFault First : AllTryFaults)
      for (const TryFault Second : AllTryFaults) {
        SCOPED_TRACE(describeCase(RequestKind, static_cast<int>(First),
                                  static_cast<int>(Second)));
        EntryHarness Harness;
        Harness.Backend_.Script_ = {First, Second};
        const auto Call = Harness.call("m", makeHeaders(RequestKind, "k"));
        Harness.advance(seconds(3));
        check(Harness, *Call, RequestKind);
        if (First == TryFault::None) {
          EXPECT_EQ(Call->outcome(), "served");
        }
        if (RequestKind == Kind::Keyed)
          resend(Harness, "m", "k");
      }
}

TEST(FaultMatrixTest, ControlFaultsAtBeginAndEnd) {
  for (const TryFault Try : {TryFault::None, TryFault::Refused, TryFault::Busy,
                             TryFault::BrokenAfterRun,
                             TryFault::BrokenBeforeRun, TryFault::RunFrozen})
    for (const CallFault Begin : AllCallFaults)
      for (const CallFault End : AllCallFaults) {
        SCOPED_TRACE(
            describeCase(Kind::Keyed, static_cast<int>(Try),
                         static_cast<int>(Begin) * 10 + static_cast<int>(End)));
        EntryHarness Harness;
        Harness.Backend_.Script_.assign(4, Try);
        Harness.Control_->BeginFaults_ = {Begin};
        Harness.Control_->FinishFaults_ = {End, End};
        Harness.Control_->AbandonFaults_ = {End, End};
        const auto Call = Harness.call("m", makeHeaders(Kind::Keyed, "k"));
        Harness.advance(seconds(4));
        check(Harness, *Call, Kind::Keyed);
        resend(Harness, "m", "k");
      }
}

// The previous process stays alive and continues its requests, like a frozen
// process that resumes.
TEST(FaultMatrixTest, EntryRestartAtAnyMomentNeverRunsAKeyTwice) {
  for (int AfterMs = 0; AfterMs <= 14; ++AfterMs) {
    SCOPED_TRACE(AfterMs);
    EntryHarness Harness;
    const auto Lost = Harness.call("m", makeHeaders(Kind::Keyed, "k"));
    Harness.advance(milliseconds(AfterMs));
    const bool Answered = !Lost->Answers_.empty();
    Harness.restartEntry();
    Harness.Control_->markEntryLost();
    const auto Repeated = Harness.call("m", makeHeaders(Kind::Keyed, "k"));
    Harness.advance(seconds(3));
    check(Harness, *Repeated, Kind::Keyed);
    if (Answered) {
      EXPECT_EQ(Repeated->outcome(), "served");
    }
  }
}

TEST(FaultMatrixTest, OutOfOrderResponsesReachTheirCallers) {
  EntryHarness Harness;
  Harness.Backend_.Script_ = {TryFault::Slow, TryFault::None, TryFault::Slow,
                              TryFault::None};
  std::vector<std::shared_ptr<EntryHarness::Call>> Calls;
  for (const char *Body : {"a", "b", "c", "d"})
    Calls.push_back(Harness.call(Body));
  Harness.advance(seconds(1));
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->response().Body_, makeAnswerBody(Call->Body_));
  EXPECT_GT(Calls[0]->Answers_[0].At_, Calls[1]->Answers_[0].At_);
}

TEST(FaultMatrixTest, RandomSchedulesKeepAllInvariants) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    std::mt19937 Random(Seed);
    const auto Draw = [&Random](std::size_t Below) { return Random() % Below; };
    EntryHarness Harness(3, 2);
    Harness.setBundle(2, R"(,"hedgingAllowed":true,"queueLimit":4)");
    Harness.advance(seconds(1));
    std::vector<std::pair<std::shared_ptr<EntryHarness::Call>, Kind>> Calls;
    for (int Step = 0; Step < 120; ++Step) {
      Harness.Backend_.Script_ = {AllTryFaults[Draw(13)],
                                  AllTryFaults[Draw(13)], TryFault::None};
      Harness.Control_->BeginFaults_ = {AllCallFaults[Draw(4)]};
      Harness.Control_->FinishFaults_ = {AllCallFaults[Draw(4)]};
      Harness.Control_->AbandonFaults_ = {AllCallFaults[Draw(4)]};
      const Kind RequestKind = AllKinds[Draw(3)];
      // There are only a few keys, so that repeated requests meet earlier ones
      // in every state.
      const std::string Body = RequestKind == Kind::Keyed
                                   ? "k" + std::to_string(Draw(8))
                                   : "b" + std::to_string(Step);
      auto Headers = makeHeaders(RequestKind, Body);
      Headers.push_back({header::Deadline, std::to_string(20 + Draw(400))});
      Calls.emplace_back(Harness.call(Body, std::move(Headers)), RequestKind);
      if (Draw(40) == 0) {
        Harness.restartEntry();
        Harness.Control_->markEntryLost();
      }
      Harness.advance(milliseconds(Draw(30)));
      // "Not run" must be true at the time of the response.
      for (const auto &[Call, Kind] : Calls)
        if (!Call->Answers_.empty() &&
            Call->Answers_[0].At_ == Harness.Clock_.now())
          check(Harness, *Call, Kind);
    }
    Harness.advance(seconds(5));
    for (const auto &[Call, RequestKind] : Calls) {
      if (RequestKind != Kind::Repeatable) {
        EXPECT_LE(Harness.Backend_.getRuns(Call->Body_), 1U) << Call->Body_;
      }
      ASSERT_LE(Call->Answers_.size(), 1U);
      if (!Call->Answers_.empty() && Call->outcome() == "served") {
        EXPECT_EQ(Call->response().Body_, makeAnswerBody(Call->Body_));
      }
    }
  }
}
