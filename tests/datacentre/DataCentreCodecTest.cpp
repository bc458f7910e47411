//===- DataCentreCodecTest.cpp --------------------------------------------===//

#include "tulipweir/datacentre/DataCentreCodec.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;

static JobSpec makeSpec() {
  return JobSpec{JobId("j"), TeamId("t"),        JobClassId("c"), 3,
                 2,          Resources{4, 5, 6}, "payload",       7};
}

static std::vector<Command> makeCommands() {
  const TaskId Task{JobId("j"), 3};
  const wire::BeginRequest Begin{RequestKey("k"), Digest("d"), EntryId("e"), 7,
                                 ServiceId("s"),  99};
  const wire::StoredAnswer Answer{200, "text/plain", std::string("\0x", 2)};
  return {RegisterServer{BackendServerId("b"),
                         BootId("1"),
                         RackId("r"),
                         "a:1",
                         Resources::makeFor(1, 2, 3),
                         {ServiceId("s")},
                         8,
                         64},
          ForgetServer{BackendServerId("b")},
          AdoptJob{makeSpec(), 4, "p"},
          PlaceTask{Task, AttemptNumber(1), BackendServerId("b"), BootId("1"),
                    Resources{4, 5, 6}},
          ChangeReservation{Task, AttemptNumber(1), Resources{-1, 2, 3}},
          EndAttempt{Task, AttemptNumber(1), AttemptEnd::Evicted, "c", "m"},
          CancelJob{JobId("j")},
          DropJob{JobId("j")},
          BeginRecord{Begin, 5},
          FinishRecord{{RequestKey("k"), 1, Answer}, 6},
          AbandonRecord{{RequestKey("k"), 1}, 7},
          EndEntry{EntryId("e"), 7},
          ReleaseJob{JobId("j"), 4}};
}

TEST(DataCentreCodecTest, EveryCommandRoundTrips) {
  const auto Commands = makeCommands();
  ASSERT_EQ(Commands.size(), std::variant_size_v<Command>);
  for (std::size_t I = 0; I < Commands.size(); ++I) {
    EXPECT_EQ(Commands[I].index(), I);
    const auto Decoded = decodeCommand(encodeCommand(Commands[I]));
    ASSERT_TRUE(Decoded.has_value()) << I << " " << Decoded.error().Message_;
    EXPECT_EQ(Decoded.value(), Commands[I]) << I;
  }
}

TEST(DataCentreCodecTest, TruncatedOrExtendedBytesAreMalformed) {
  for (const Command &Value : makeCommands()) {
    const std::string Bytes = encodeCommand(Value);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      EXPECT_FALSE(decodeCommand(Bytes.substr(0, Size)).has_value());
    EXPECT_FALSE(decodeCommand(Bytes + "x").has_value());
  }
}

TEST(DataCentreCodecTest, UnknownCommandsAndForgedSizesAreMalformed) {
  EXPECT_FALSE(decodeCommand("\x92\x7f\x90").has_value());
  EXPECT_FALSE(decodeCommand("\xdd\xff\xff\xff\xff").has_value());
  EXPECT_FALSE(decodeResult("\xdb\xff\xff\xff\xff").has_value());
}

TEST(DataCentreCodecTest, ResultsAndJobsRoundTrip) {
  CommandResult Result{"conflict", "why", FencingToken{2, 3}, {}};
  Result.Begin_.Answer_ = wire::StoredAnswer{200, "a", "b"};
  EXPECT_EQ(decodeResult(encodeResult(Result)).value(), Result);
  EXPECT_EQ(decodeJobSpec(encodeJobSpec(makeSpec())).value(), makeSpec());
}
