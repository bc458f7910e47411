//===- FaultMatrixTest.cpp - Every fault at every step --------------------===//
//
// For each kind of request and each fault of the backend servers, the control
// side and the entry: one answer; a served one is whole and to the caller's
// own request; "not run" was not run; what may not be repeated ran once at
// most. Afterwards everything is healthy again, and resends with the same key
// must keep all of that.
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

std::vector<net::HttpHeader> headersOf(Kind Which, const std::string &Key) {
  if (Which == Kind::Repeatable)
    return {{header::Repeatable, "true"}};
  if (Which == Kind::Keyed)
    return {{header::IdempotencyKey, Key}};
  return {};
}

/// Checks all that was promised about one answered call.
void check(const World &Around, const World::Call &Call, Kind Which) {
  ASSERT_EQ(Call.Answers_.size(), 1U);
  const unsigned Runs = Around.Backend_.getRuns(Call.Body_);
  if (Call.outcome() == "served") {
    EXPECT_EQ(Call.response().Body_, makeAnswerBody(Call.Body_));
    EXPECT_GE(Runs, 1U);
  } else {
    EXPECT_GE(Call.response().Status_, 400U);
  }
  if (Call.outcome() == "not-run") {
    EXPECT_EQ(Runs, 0U);
  }
  if (Which != Kind::Repeatable) {
    EXPECT_LE(Runs, 1U);
  }
}

/// Ends all faults, then resends a keyed request twice.
void resend(World &Around, const std::string &Body, const std::string &Key) {
  Around.Backend_.Script_.clear();
  Around.Control_->BeginFaults_.clear();
  Around.Control_->FinishFaults_.clear();
  Around.Control_->AbandonFaults_.clear();
  for (int Time = 0; Time < 2; ++Time) {
    const auto Again = Around.call(Body, headersOf(Kind::Keyed, Key));
    Around.advance(seconds(3));
    check(Around, *Again, Kind::Keyed);
  }
}

std::string nameOf(Kind Which, int First, int Second) {
  return "kind " + std::to_string(static_cast<int>(Which)) + " faults " +
         std::to_string(First) + "," + std::to_string(Second);
}

} // namespace

TEST(FaultMatrixTest, BackendFaultsOverTwoTries) {
  for (const Kind Which : AllKinds)
    for (const TryFault First : AllTryFaults)
      for (const TryFault Second : AllTryFaults) {
        SCOPED_TRACE(
            nameOf(Which, static_cast<int>(First), static_cast<int>(Second)));
        World Around;
        Around.Backend_.Script_ = {First, Second};
        const auto Call = Around.call("m", headersOf(Which, "k"));
        Around.advance(seconds(3));
        check(Around, *Call, Which);
        if (First == TryFault::None) {
          EXPECT_EQ(Call->outcome(), "served");
        }
        if (Which == Kind::Keyed)
          resend(Around, "m", "k");
      }
}

TEST(FaultMatrixTest, ControlFaultsAtBeginAndEnd) {
  for (const TryFault Try :
       {TryFault::None, TryFault::Refused, TryFault::Busy, TryFault::KilledRun,
        TryFault::KilledUnrun, TryFault::RunFrozen})
    for (const CallFault Begin : AllCallFaults)
      for (const CallFault End : AllCallFaults) {
        SCOPED_TRACE(
            nameOf(Kind::Keyed, static_cast<int>(Try),
                   static_cast<int>(Begin) * 10 + static_cast<int>(End)));
        World Around;
        Around.Backend_.Script_.assign(4, Try);
        Around.Control_->BeginFaults_ = {Begin};
        Around.Control_->FinishFaults_ = {End, End};
        Around.Control_->AbandonFaults_ = {End, End};
        const auto Call = Around.call("m", headersOf(Kind::Keyed, "k"));
        Around.advance(seconds(4));
        check(Around, *Call, Kind::Keyed);
        resend(Around, "m", "k");
      }
}

// The earlier process is not even dead here: like a frozen one that wakes, it
// goes on with what it had begun.
TEST(FaultMatrixTest, EntryKilledAtAnyMomentNeverRunsAKeyTwice) {
  for (int AfterMs = 0; AfterMs <= 14; ++AfterMs) {
    SCOPED_TRACE(AfterMs);
    World Around;
    const auto Lost = Around.call("m", headersOf(Kind::Keyed, "k"));
    Around.advance(milliseconds(AfterMs));
    const bool Answered = !Lost->Answers_.empty();
    Around.restartEntry();
    Around.Control_->endEntry();
    const auto Again = Around.call("m", headersOf(Kind::Keyed, "k"));
    Around.advance(seconds(3));
    check(Around, *Again, Kind::Keyed);
    if (Answered) {
      EXPECT_EQ(Again->outcome(), "served");
    }
  }
}

TEST(FaultMatrixTest, AnswersOutOfOrderReachTheirOwnCallers) {
  World Around;
  Around.Backend_.Script_ = {TryFault::Slow, TryFault::None, TryFault::Slow,
                             TryFault::None};
  std::vector<std::shared_ptr<World::Call>> Calls;
  for (const char *Body : {"a", "b", "c", "d"})
    Calls.push_back(Around.call(Body));
  Around.advance(seconds(1));
  for (const auto &Call : Calls)
    EXPECT_EQ(Call->response().Body_, makeAnswerBody(Call->Body_));
  EXPECT_GT(Calls[0]->Answers_[0].At_, Calls[1]->Answers_[0].At_);
}

TEST(FaultMatrixTest, RandomSchedulesKeepEveryPromise) {
  for (unsigned Seed = 1; Seed <= 60; ++Seed) {
    SCOPED_TRACE(Seed);
    std::mt19937 Random(Seed);
    const auto Draw = [&Random](std::size_t Below) { return Random() % Below; };
    World Around(3, 2);
    Around.setBundle(2, R"(,"hedgingAllowed":true,"queueLimit":4)");
    Around.advance(seconds(1));
    std::vector<std::pair<std::shared_ptr<World::Call>, Kind>> Calls;
    for (int Step = 0; Step < 120; ++Step) {
      Around.Backend_.Script_ = {AllTryFaults[Draw(13)], AllTryFaults[Draw(13)],
                                 TryFault::None};
      Around.Control_->BeginFaults_ = {AllCallFaults[Draw(4)]};
      Around.Control_->FinishFaults_ = {AllCallFaults[Draw(4)]};
      Around.Control_->AbandonFaults_ = {AllCallFaults[Draw(4)]};
      const Kind Which = AllKinds[Draw(3)];
      // Few keys, so that resends meet their originals in every state.
      const std::string Body = Which == Kind::Keyed
                                   ? "k" + std::to_string(Draw(8))
                                   : "b" + std::to_string(Step);
      auto Headers = headersOf(Which, Body);
      Headers.push_back({header::Deadline, std::to_string(20 + Draw(400))});
      Calls.emplace_back(Around.call(Body, std::move(Headers)), Which);
      if (Draw(40) == 0) {
        Around.restartEntry();
        Around.Control_->endEntry();
      }
      Around.advance(milliseconds(Draw(30)));
      // "Not run" must hold at the moment it is said.
      for (const auto &[Call, Kind] : Calls)
        if (!Call->Answers_.empty() &&
            Call->Answers_[0].At_ == Around.Clock_.now())
          check(Around, *Call, Kind);
    }
    Around.advance(seconds(5));
    for (const auto &[Call, Which] : Calls) {
      if (Which != Kind::Repeatable) {
        EXPECT_LE(Around.Backend_.getRuns(Call->Body_), 1U) << Call->Body_;
      }
      ASSERT_LE(Call->Answers_.size(), 1U);
      if (!Call->Answers_.empty() && Call->outcome() == "served") {
        EXPECT_EQ(Call->response().Body_, makeAnswerBody(Call->Body_));
      }
    }
  }
}
