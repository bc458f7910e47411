//===- RequestRecordsTest.cpp ---------------------------------------------===//

#include "tulipweir/datacentre/RequestRecords.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::RequestDisposition;

static constexpr RecordLimits SmallLimits{1000, 15, 8};

/// Implements the rules independently with a flat list.
class ReferenceRecords {
public:
  struct Entry {
    RequestKey Key_;
    RequestRecord Record_;
  };
  std::vector<Entry> List_;
  std::uint64_t Wall_ = 0;

  void advanceClock(std::uint64_t Wall) {
    Wall_ = std::max(Wall_, Wall);
    for (Entry &E : List_)
      if (E.Record_.State_ == RecordState::Begun && isExpired(E)) {
        E.Record_.State_ = RecordState::Unknown;
        E.Record_.RetentionStartMs_ = Wall_;
      }
    std::erase_if(List_, [this](const Entry &E) { return isExpired(E); });
  }
  /// Returns nullopt if the request is refused.
  std::optional<wire::BeginRequestReply> begin(const wire::BeginRequest &R,
                                               std::uint64_t Wall) {
    advanceClock(Wall);
    const bool IsTicket = R.Key_.value().starts_with(TicketPrefix);
    const std::uint64_t Issued = parseTicketTime(R.Key_).value_or(0);
    if (IsTicket && Issued > Wall_ + 1000)
      return std::nullopt;
    Entry *E = find(R.Key_);
    if (!E && IsTicket && Issued + 1000 < Wall_)
      return wire::BeginRequestReply{RequestDisposition::Expired, 0, {}};
    if (!E && List_.size() >= SmallLimits.MaxRecords_)
      return std::nullopt;
    if (E && E->Record_.Digest_ != R.Digest_)
      return wire::BeginRequestReply{
          RequestDisposition::Conflict, E->Record_.Attempt_, {}};
    if (E && E->Record_.State_ == RecordState::Begun)
      return wire::BeginRequestReply{
          RequestDisposition::Running, E->Record_.Attempt_, {}};
    if (E && E->Record_.State_ == RecordState::Served && E->Record_.Answer_)
      return wire::BeginRequestReply{RequestDisposition::Replay,
                                     E->Record_.Attempt_, E->Record_.Answer_};
    if (E && E->Record_.State_ != RecordState::Abandoned)
      return wire::BeginRequestReply{
          RequestDisposition::Unknown, E->Record_.Attempt_, {}};
    const std::uint64_t Attempt = E ? E->Record_.Attempt_ + 1 : 1;
    std::erase_if(List_,
                  [&](const Entry &Other) { return Other.Key_ == R.Key_; });
    const std::uint64_t Deadline = std::min(R.DeadlineWallMs_, Wall_ + 1000);
    List_.push_back({R.Key_,
                     {R.Digest_,
                      RecordState::Begun,
                      Attempt,
                      R.Entry_,
                      R.EntryIncarnation_,
                      R.Nonce_,
                      Wall_,
                      std::max({Wall_, Deadline, IsTicket ? Issued : 0}),
                      {}}});
    return wire::BeginRequestReply{RequestDisposition::Run, Attempt, {}};
  }
  bool finish(const wire::FinishRequest &R, std::uint64_t Wall) {
    advanceClock(Wall);
    Entry *E = find(R.Key_);
    if (!E || E->Record_.Attempt_ != R.Attempt_ ||
        E->Record_.State_ == RecordState::Abandoned)
      return false;
    std::optional<wire::StoredAnswer> Kept;
    if (R.Answer_ && R.Answer_->Body_.size() <= 8)
      Kept = R.Answer_;
    if (E->Record_.State_ == RecordState::Served)
      return R.Answer_ && E->Record_.Answer_ == Kept;
    E->Record_.State_ = R.Answer_ ? RecordState::Served : RecordState::Unknown;
    E->Record_.Answer_ = Kept;
    return true;
  }
  bool abandon(const wire::AbandonRequest &R, std::uint64_t Wall) {
    advanceClock(Wall);
    Entry *E = find(R.Key_);
    if (!E || E->Record_.Attempt_ != R.Attempt_)
      return false;
    if (E->Record_.State_ == RecordState::Begun)
      E->Record_.State_ = RecordState::Abandoned;
    return E->Record_.State_ == RecordState::Abandoned;
  }
  void endEntry(const EntryId &Id, std::uint64_t Incarnation) {
    for (Entry &E : List_)
      if (E.Record_.State_ == RecordState::Begun && E.Record_.Entry_ == Id &&
          (Incarnation == 0 || E.Record_.EntryIncarnation_ == Incarnation))
        E.Record_.State_ = RecordState::Unknown;
  }

private:
  bool isExpired(const Entry &E) const {
    return E.Record_.RetentionStartMs_ + 1000 < Wall_;
  }
  Entry *find(const RequestKey &Key) {
    for (Entry &E : List_)
      if (E.Key_ == Key)
        return &E;
    return nullptr;
  }
};

class RequestRecordsSeeds : public testing::TestWithParam<unsigned> {};

TEST_P(RequestRecordsSeeds, MatchReferenceModelAndRunEachTicketAtMostOnce) {
  std::mt19937 Random(GetParam());
  const auto Pick = [&Random](int Count) {
    return static_cast<int>(Random() % Count);
  };
  RequestRecords Records(SmallLimits);
  ReferenceRecords Reference;
  std::uint64_t Wall = 10'000;
  std::vector<RequestKey> Keys;
  std::map<RequestKey, int> Runs;
  std::map<RequestDisposition, int> Dispositions;
  int Refused = 0;
  for (int Step = 0; Step < 8000; ++Step) {
    Wall += Pick(40) == 0 ? Pick(1500) : Pick(12);
    // The clock of a proposer may be behind.
    const std::uint64_t ProposerTime = Wall - Pick(30);
    if (Keys.size() < 60 || Pick(6) == 0)
      Keys.push_back(Pick(3) == 0
                         ? RequestKey("own" + std::to_string(Pick(30)))
                         : RequestKey("ticket:dc." +
                                      std::to_string(Wall + 500 - Pick(1400)) +
                                      "." + std::to_string(Step)));
    const RequestKey Key =
        Keys[Keys.size() - 1 -
             Random() % std::min<std::size_t>(Keys.size(), 60)];
    const auto It = Records.records().find(Key);
    const std::uint64_t Attempt =
        (It == Records.records().end() ? 0 : It->second.Attempt_) -
        (Pick(8) == 0);
    const EntryId Entry("e" + std::to_string(Pick(3)));
    const std::uint64_t Incarnation = 1 + Pick(2);
    std::optional<wire::StoredAnswer> Answer;
    if (Pick(4) != 0)
      Answer = wire::StoredAnswer{200, "", std::string(Pick(12), 'x')};
    switch (Pick(8)) {
    case 0: {
      const std::uint64_t EndedIncarnation = Incarnation * Pick(2);
      Records.endEntry(Entry, EndedIncarnation);
      Reference.endEntry(Entry, EndedIncarnation);
      break;
    }
    case 1:
    case 2: {
      const wire::FinishRequest Finish{Key, Attempt, Answer};
      ASSERT_EQ(Records.finish(Finish, ProposerTime),
                Reference.finish(Finish, ProposerTime));
      break;
    }
    case 3: {
      const wire::AbandonRequest Abandon{Key, Attempt};
      const bool WasBegun = It != Records.records().end() &&
                            It->second.State_ == RecordState::Begun;
      const bool Accepted = Records.abandon(Abandon, ProposerTime);
      ASSERT_EQ(Accepted, Reference.abandon(Abandon, ProposerTime));
      Runs[Key] -= Accepted && WasBegun;
      break;
    }
    default: {
      const wire::BeginRequest Begin{Key,
                                     Digest(Pick(9) == 0 ? "other" : "same"),
                                     Entry,
                                     Incarnation,
                                     ServiceId("s"),
                                     ProposerTime + Pick(400)};
      const auto Reply = Records.begin(Begin, ProposerTime);
      const auto Expected = Reference.begin(Begin, ProposerTime);
      ASSERT_EQ(Reply.has_value(), Expected.has_value());
      Refused += !Expected;
      if (!Expected)
        break;
      ASSERT_EQ(Reply.value(), *Expected) << Key.value();
      ++Dispositions[Expected->Disposition_];
      Runs[Key] += Expected->Disposition_ == RequestDisposition::Run;
      const bool IsTicket = Key.value().starts_with(TicketPrefix);
      ASSERT_TRUE(!IsTicket || Runs[Key] <= 1) << Key.value() << " ran twice";
    }
    }
    ASSERT_EQ(Records.records().size(), Reference.List_.size());
    for (const auto &E : Reference.List_)
      ASSERT_EQ(Records.records().at(E.Key_), E.Record_) << E.Key_.value();
    if (Pick(40) != 0)
      continue;
    const auto Decoded = RequestRecords::decode(Records.encode(), SmallLimits);
    ASSERT_TRUE(Decoded.has_value());
    ASSERT_EQ(Decoded.value(), Records);
    Records = Decoded.value();
  }
  EXPECT_EQ(Dispositions.size(), 6u) << "a disposition was never reached";
  EXPECT_GT(Refused, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RequestRecordsSeeds, testing::Range(0u, 12u));

TEST(RequestRecordsTest, ParsesOnlyWellFormedTickets) {
  EXPECT_EQ(parseTicketTime(RequestKey("ticket:a.b.12.r")), 12u);
  for (const char *Malformed :
       {"a.12.r", "ticket:12.r", "ticket:a.x.r", "ticket:a..r", "ticket:a.12.",
        "ticket:a.-1.r", "ticket:"})
    EXPECT_FALSE(parseTicketTime(RequestKey(Malformed))) << Malformed;
}

TEST(RequestRecordsTest, MalformedTicketsAreRefused) {
  RequestRecords Records(SmallLimits);
  const auto Reply = Records.begin({RequestKey("ticket:a.x.r"), Digest("d"),
                                    EntryId("e"), 1, ServiceId("s"), 0},
                                   5);
  ASSERT_FALSE(Reply.has_value());
  EXPECT_EQ(Reply.error().Code_, ErrorCode::InvalidArgument);
}

TEST(RequestRecordsTest, OneCommandExpiresABoundedNumberOfRecords) {
  RequestRecords Records(RecordLimits{10, 1000, 8});
  for (int I = 0; I < 500; ++I)
    ASSERT_TRUE(Records.begin({RequestKey(std::to_string(I)), Digest("d"),
                               EntryId("e"), 1, ServiceId("s"), 0},
                              5));
  Records.endEntry(EntryId("e"), 0);
  Records.finish({RequestKey("none"), 1, {}}, 1000);
  EXPECT_GE(Records.records().size(), 400u);
  for (int I = 0; I < 500; ++I)
    Records.finish({RequestKey("none"), 1, {}}, 1000);
  EXPECT_TRUE(Records.records().empty());
}
