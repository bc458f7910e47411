#include "tulipweir/wire/Codec.h"

#include "wire/Fields.h"

#include <gtest/gtest.h>
#include <random>

using namespace tulipweir;
using namespace tulipweir::wire;

namespace {

/// Fills any message with seeded random values.
class Filler {
public:
  explicit Filler(unsigned Seed) : Random_(Seed) {}

  void fill(bool &Value) { Value = draw(1) == 1; }
  void fill(std::string &Value) {
    Value.resize(draw(20));
    for (char &Byte : Value)
      Byte = static_cast<char>(draw(255));
  }
  void fill(std::integral auto &Value) {
    // All widths, so that each of the format's integer forms is met.
    const auto Bits = Random_() >> draw(63);
    Value = static_cast<std::remove_reference_t<decltype(Value)>>(Bits);
  }
  template <class Tag, class Rep> void fill(Id<Tag, Rep> &Value) {
    Rep Inner{};
    fill(Inner);
    Value = Id<Tag, Rep>(Inner);
  }
  template <class T>
  requires std::is_enum_v<T>
  void fill(T &Value) {
    Value = static_cast<T>(draw(static_cast<unsigned>(getLast(T()))));
  }
  template <class T> void fill(std::optional<T> &Value) {
    if (draw(1) == 1)
      fill(Value.emplace());
  }
  template <class T> void fill(std::vector<T> &Values) {
    Values.resize(draw(4));
    for (T &Value : Values)
      fill(Value);
  }
  void fill(Described auto &Value) {
    std::apply([this](auto &...Field) { (this->fill(Field), ...); },
               listFields(Value));
  }
  std::uint64_t draw(std::uint64_t Most) { return Random_() % (Most + 1); }

private:
  std::mt19937_64 Random_;
};

template <class Message> Message makeRandom(unsigned Seed) {
  Message Value;
  Filler(Seed).fill(Value);
  return Value;
}

template <class Message> ErrorCode decodeCode(std::string_view Bytes) {
  return decode<Message>(Bytes).error().Code_;
}

} // namespace

template <class Message> class CodecTest : public testing::Test {};
using Messages =
    testing::Types<AttemptReport, ServiceReport, TaskCommand, LeaseRenewal,
                   AnnouncementReply, Announcement, GrantHeld, Route,
                   SignedBundle, EntryReportReply, EntryReport, StoredAnswer,
                   BeginRequestReply, BeginRequest, RecordReply, FinishRequest,
                   AbandonRequest, OperatorAnswer, OperatorCall,
                   FleetCommandReply, FleetCommand, ReplicationMessage>;
TYPED_TEST_SUITE(CodecTest, Messages);

TYPED_TEST(CodecTest, comesBackAsItWasSent) {
  for (unsigned Seed = 0; Seed < 200; ++Seed) {
    const auto Value = makeRandom<TypeParam>(Seed);
    const auto Back = decode<TypeParam>(encode(Value));
    ASSERT_TRUE(Back) << Back.error().Message_;
    EXPECT_EQ(Back.value(), Value);
  }
}

TYPED_TEST(CodecTest, refusesEveryTruncation) {
  const std::string Bytes = encode(makeRandom<TypeParam>(7));
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_EQ(decodeCode<TypeParam>(std::string_view(Bytes).substr(0, Size)),
              ErrorCode::Malformed);
}

TYPED_TEST(CodecTest, refusesBytesLeftOver) {
  const std::string Bytes = encode(makeRandom<TypeParam>(7));
  EXPECT_EQ(decodeCode<TypeParam>(Bytes + '\0'), ErrorCode::Malformed);
}

TYPED_TEST(CodecTest, survivesRandomAndMutatedBytes) {
  Filler Random(11);
  for (unsigned Round = 0; Round < 2000; ++Round) {
    std::string Bytes = encode(makeRandom<TypeParam>(Round % 50));
    if (Round % 2 == 0)
      Random.fill(Bytes);
    else
      Bytes[Random.draw(Bytes.size() - 1)] =
          static_cast<char>(Random.draw(255));
    const auto Value = decode<TypeParam>(Bytes);
    // What is taken must be a value like any other.
    if (Value) {
      EXPECT_EQ(decode<TypeParam>(encode(Value.value())).value(),
                Value.value());
    }
  }
}

TEST(CodecLimitsTest, refusesAbsurdLengthsByTheirHeader) {
  const std::string Array("\xdd\xff\xff\xff\xff\xc0", 6);
  EXPECT_NE(decode<Announcement>(Array).error().Message_.find("array size"),
            std::string::npos);
  const std::string Text("\x91\xdb\xff\xff\xff\xff", 6);
  EXPECT_EQ(decodeCode<FleetCommand>(Text), ErrorCode::Malformed);
  const std::string Map("\xdf\xff\xff\xff\xff\xc0", 6);
  EXPECT_NE(decode<Announcement>(Map).error().Message_.find("map size"),
            std::string::npos);
}

TEST(CodecLimitsTest, refusesDeepNesting) {
  const std::string Deep(100'000, '\x91');
  EXPECT_NE(decode<Announcement>(Deep).error().Message_.find("depth"),
            std::string::npos);
}

TEST(CodecLimitsTest, refusesUnknownEnumerationValues) {
  std::string Bytes = encode(BeginRequestReply{});
  ASSERT_EQ(Bytes[1], static_cast<char>(RequestDisposition::Unknown));
  Bytes[1] = static_cast<char>(RequestDisposition::Expired) + 1;
  EXPECT_EQ(decodeCode<BeginRequestReply>(Bytes), ErrorCode::Malformed);
}

TEST(CodecLimitsTest, refusesNumbersThatDoNotFit) {
  const std::string TooWide("\x92\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa0", 11);
  EXPECT_EQ(decodeCode<OperatorAnswer>(TooWide), ErrorCode::Malformed);
}

TEST(CodecLimitsTest, refusesAnotherNumberOfFields) {
  EXPECT_EQ(decodeCode<RecordReply>(encode(AbandonRequest{})),
            ErrorCode::Malformed);
  const std::string OneMore("\x92\xc3\xc3", 3);
  EXPECT_EQ(decodeCode<RecordReply>(OneMore), ErrorCode::Malformed);
}

TEST(CodecLimitsTest, staysCompact) {
  EXPECT_EQ(encode(RecordReply{}).size(), 2U);
  EXPECT_LE(encode(Announcement{}).size(), 20U);
}
