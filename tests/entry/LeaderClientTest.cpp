//===- LeaderClientTest.cpp -----------------------------------------------===//

#include "tulipweir/entry/LeaderClient.h"

#include "entry/support/Fakes.h"
#include "tulipweir/wire/Codec.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::entry;
using namespace tulipweir::entry::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Peer {
  std::optional<Error> Fault_;
  bool Silent_ = false;
  int Calls_ = 0;
};

class FakeLink final : public ControlLink {
public:
  FakeLink(std::string Name, Peer &To, FakeTimers &Timers)
      : Name_(std::move(Name)), To_(To), Timers_(Timers) {}
  const std::string &name() const override { return Name_; }
  void call(wire::MessageKind, std::string, Duration Timeout,
            std::function<void(Outcome<std::string>)> Done) override {
    ++To_.Calls_;
    if (To_.Silent_)
      return Timers_.runAfter(
          Timeout, [Done] { Done(fail(ErrorCode::Timeout, "silent")); });
    if (To_.Fault_)
      return Done(fail(To_.Fault_->Code_, To_.Fault_->Message_));
    Done(wire::encode(wire::OperatorAnswer{200, Name_}));
  }

private:
  const std::string Name_;
  Peer &To_;
  FakeTimers &Timers_;
};

class LeaderClientTest : public testing::Test {
protected:
  LeaderClientTest() {
    std::vector<std::unique_ptr<ControlLink>> Links;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Links.push_back(std::make_unique<FakeLink>("c" + std::to_string(Index),
                                                 Peers_[Index], Timers_));
    Client_ = std::make_unique<LeaderClient>(std::move(Links), Timers_, Clock_);
  }
  /// Sends an operator call and returns the name of the process that answered,
  /// or the name of the error.
  std::string ask(Duration Timeout = seconds(2)) {
    std::string Result = "none";
    Client_->callOperator({}, Timeout, [&](Outcome<wire::OperatorAnswer> Got) {
      Result = Got ? Got.value().Body_
                   : std::string(getErrorName(Got.error().Code_));
    });
    Timers_.advance(seconds(5));
    return Result;
  }
  /// Sends an idempotent call and returns "answered" or the name of the error.
  std::string finishRequest() {
    std::string Result = "none";
    Client_->finish({}, seconds(2), [&](const Outcome<wire::RecordReply> &Got) {
      Result = Got ? "answered" : std::string(getErrorName(Got.error().Code_));
    });
    Timers_.advance(seconds(5));
    return Result;
  }

  ManualClock Clock_;
  FakeTimers Timers_{Clock_};
  Peer Peers_[3];
  std::unique_ptr<LeaderClient> Client_;
};

} // namespace

TEST_F(LeaderClientTest, FollowsAndCachesTheNamedLeader) {
  Peers_[0].Fault_ = Error::make(ErrorCode::NotLeader, "c2");
  EXPECT_EQ(ask(), "c2");
  EXPECT_EQ(ask(), "c2");
  EXPECT_EQ(Peers_[0].Calls_, 1);
  EXPECT_EQ(Peers_[1].Calls_, 0);
  EXPECT_EQ(Client_->getLeaderName(), "c2");
}

TEST_F(LeaderClientTest, TriesOtherProcessesWhenOneIsUnreachable) {
  Peers_[0].Fault_ = Error::make(ErrorCode::Unavailable, "");
  Peers_[1].Fault_ = Error::make(ErrorCode::NotLeader, "");
  EXPECT_EQ(ask(), "c2");
}

TEST_F(LeaderClientTest, ReturnsUnavailableWhenNoLeaderIsFound) {
  for (Peer &Process : Peers_)
    Process.Fault_ = Error::make(ErrorCode::NotLeader, "");
  EXPECT_EQ(ask(), "unavailable");
  EXPECT_GT(Peers_[2].Calls_, 3);
}

TEST_F(LeaderClientTest, OperatorCallIsNotRetriedAfterATimeout) {
  Peers_[0].Silent_ = true;
  EXPECT_EQ(ask(), "timeout");
  EXPECT_EQ(Peers_[1].Calls_ + Peers_[2].Calls_, 0);
  EXPECT_EQ(ask(), "c1") << "the next call starts elsewhere";
}

TEST_F(LeaderClientTest, IdempotentCallSkipsAnUnresponsiveProcess) {
  Peers_[0].Silent_ = true;
  finishRequest();
  EXPECT_EQ(Peers_[0].Calls_, 1);
  EXPECT_EQ(Peers_[1].Calls_, 1);
}

TEST_F(LeaderClientTest, TimeoutIsReportedDespiteLaterRefusals) {
  Peers_[0].Silent_ = true;
  Peers_[1].Fault_ = Error::make(ErrorCode::NotLeader, "");
  Peers_[2].Fault_ = Error::make(ErrorCode::Unavailable, "");
  EXPECT_EQ(finishRequest(), "timeout");
}

TEST_F(LeaderClientTest, LeaderErrorsAreReturned) {
  Peers_[0].Fault_ = Error::make(ErrorCode::Conflict, "no");
  EXPECT_EQ(ask(), "conflict");
  EXPECT_EQ(Peers_[1].Calls_, 0);
}
