#include "replication/MessageCodec.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::replication;

static std::vector<Message> makeOneOfEach() {
  const std::vector<Member> Members{{{"a", 1}, MemberRole::Voter},
                                    {{"b", 1ULL << 60}, MemberRole::Learner}};
  LogEntry Command{3, 9, EntryKind::Command, std::string("\0\xff", 2), {}};
  LogEntry Change{3, 10, EntryKind::Membership, "", Members};
  std::vector<Message> All;
  auto Add = [&](decltype(Message::Body_) Body) {
    All.push_back({{"a", 1}, {"b", 2}, 7, std::move(Body)});
  };
  Add(VoteRequest{true, true, 4, 5});
  Add(VoteReply{true, true});
  Add(AppendRequest{1, 2, 3, 4, {Command, Change}});
  Add(AppendReply{1, true, 2, 3});
  Add(RoundAck{5});
  Add(SnapshotChunk{1, 2, 3, Members, 4, 5, 6, "state"});
  Add(SnapshotReply{1, 2, 3, true});
  Add(TimeoutNow{});
  Add(JoinProbe{});
  Add(JoinReply{true});
  Add(BootstrapGroup{Members});
  return All;
}

TEST(MessageCodecTest, EachMessageRoundTrips) {
  for (const Message &Msg : makeOneOfEach())
    EXPECT_EQ(decodeMessage("g", encodeMessage("g", Msg)).value(), Msg);
}

TEST(MessageCodecTest, OtherGroupsAndVersionsAreRefused) {
  std::string Bytes = encodeMessage("g", makeOneOfEach().front());
  EXPECT_EQ(decodeMessage("h", Bytes).error().Code_,
            ErrorCode::InvalidArgument);
  ++Bytes[0];
  EXPECT_EQ(decodeMessage("g", Bytes).error().Code_,
            ErrorCode::VersionMismatch);
}

TEST(MessageCodecTest, ValuesOutOfRangeAreRefused) {
  Message Odd = makeOneOfEach().back();
  std::get<BootstrapGroup>(Odd.Body_).Members_[0].Role_ =
      static_cast<MemberRole>(2);
  EXPECT_EQ(decodeMessage("g", encodeMessage("g", Odd)).error().Code_,
            ErrorCode::Malformed);
}

TEST(MessageCodecTest, TruncatedExtendedOrAlteredBytesAreNeverMisread) {
  std::mt19937_64 Random(1);
  for (const Message &Msg : makeOneOfEach()) {
    const std::string Bytes = encodeMessage("g", Msg);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      EXPECT_FALSE(decodeMessage("g", Bytes.substr(0, Size)));
    EXPECT_FALSE(decodeMessage("g", Bytes + "x"));
    for (int Try = 0; Try < 500; ++Try) {
      std::string Changed = Bytes;
      Changed[Random() % Changed.size()] = static_cast<char>(Random());
      auto Decoded = decodeMessage("g", Changed);
      EXPECT_TRUE(!Decoded || encodeMessage("g", Decoded.value()) == Changed);
    }
  }
}
