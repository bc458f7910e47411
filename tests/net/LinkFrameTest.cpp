#include "net/LinkFrame.h"

#include <gtest/gtest.h>
#include <random>

using namespace tulipweir;
using namespace tulipweir::net;

static constexpr std::uint32_t Limit = 1000;

static LinkFrame makeRandomFrame(std::mt19937 &Random) {
  LinkFrame Frame{static_cast<wire::MessageKind>(Random() % 0x10000),
                  static_cast<FrameType>(Random() % 6), Random(), ""};
  Frame.Call_ <<= Random() % 33;
  Frame.Body_.resize(Random() % (Limit + 1), static_cast<char>(Random()));
  return Frame;
}

static void append(std::string &To, const LinkFrame &Frame) {
  appendFrame(To, Frame.Kind_, Frame.Type_, Frame.Call_, Frame.Body_);
}

TEST(LinkFrameTest, comesBackHoweverTheBytesArrive) {
  for (unsigned Seed = 0; Seed < 50; ++Seed) {
    std::mt19937 Random(Seed);
    std::string Stream;
    std::vector<LinkFrame> Sent;
    for (int I = 0; I < 20; ++I)
      append(Stream, Sent.emplace_back(makeRandomFrame(Random)));
    std::vector<LinkFrame> Got;
    std::string Waiting;
    for (std::size_t At = 0; At < Stream.size();) {
      const std::size_t Size = Random() % 700;
      Waiting += Stream.substr(At, Size);
      At += Size;
      std::string_view Rest = Waiting;
      while (auto Frame = takeFrame(Rest, Limit).value())
        Got.push_back(std::move(*Frame));
      Waiting = std::string(Rest);
    }
    EXPECT_EQ(Got, Sent);
    EXPECT_TRUE(Waiting.empty());
  }
}

TEST(LinkFrameTest, refusesALongBodyByItsHeaderAlone) {
  std::string Bytes;
  appendFrame(Bytes, wire::MessageKind::Replication, FrameType::Call, 1,
              std::string(Limit + 1, 'x'));
  std::string_view Header = std::string_view(Bytes).substr(0, FrameHeaderBytes);
  EXPECT_EQ(takeFrame(Header, Limit).error().Code_, ErrorCode::TooLarge);
  std::string_view Whole = Bytes;
  EXPECT_TRUE(takeFrame(Whole, Limit + 1).value());
}

TEST(LinkFrameTest, refusesUnknownTypes) {
  std::string Bytes;
  appendFrame(Bytes, wire::MessageKind::Replication, FrameType{6}, 1, "");
  std::string_view Input = Bytes;
  EXPECT_EQ(takeFrame(Input, Limit).error().Code_, ErrorCode::Malformed);
}

TEST(LinkFrameTest, takesNothingItWasNotGivenFromRandomBytes) {
  std::mt19937 Random(3);
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes(Random() % 64, '\0');
    for (char &Byte : Bytes)
      Byte = static_cast<char>(Random() % 3 == 0 ? Random() : 0);
    std::string_view Rest = Bytes;
    std::size_t Before = Rest.size();
    for (auto Frame = takeFrame(Rest, Limit); Frame && Frame.value();
         Frame = takeFrame(Rest, Limit)) {
      EXPECT_EQ(Before - Rest.size(),
                FrameHeaderBytes + Frame.value()->Body_.size());
      Before = Rest.size();
    }
    EXPECT_EQ(Rest.size(), Before);
  }
}

TEST(LinkFrameTest, carriesErrors) {
  const Error Sent = Error::make(ErrorCode::NotLeader, "c2");
  EXPECT_EQ(decodeError(encodeError(Sent)), Sent);
  EXPECT_EQ(decodeError("").Code_, ErrorCode::Malformed);
  EXPECT_EQ(decodeError("\x7f no").Code_, ErrorCode::Malformed);
}
