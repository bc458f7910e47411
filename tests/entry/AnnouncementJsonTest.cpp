//===- AnnouncementJsonTest.cpp -------------------------------------------===//

#include "tulipweir/entry/AnnouncementJson.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::entry;

static wire::Announcement makeAnnouncement() {
  wire::Announcement Announcement;
  Announcement.Server_ = BackendServerId("vm-1");
  Announcement.Boot_ = BootId("b7");
  Announcement.DataCentre_ = DataCentreId("crest-1");
  Announcement.Rack_ = RackId("r2");
  Announcement.Address_ = "127.0.0.1:80";
  Announcement.Capacity_ = Resources::makeFor(32000, 128000, 2);
  Announcement.Services_ = {ServiceId("booking"), ServiceId("search")};
  Announcement.Slots_ = 8;
  Announcement.Connections_ = 64;
  Announcement.Draining_ = true;
  Announcement.Sequence_ = 99;
  wire::AttemptReport Attempt;
  Attempt.Task_ = {JobId("rebill"), 4};
  Attempt.Attempt_ = AttemptNumber(3);
  Attempt.Token_ = {5, 600};
  Attempt.State_ = wire::AttemptState::Checkpointed;
  Attempt.Checkpoint_ = "at 17";
  Attempt.Message_ = "evicted";
  Attempt.Usage_ = Resources::makeFor(1, 2, 3);
  Attempt.UsageAgeMs_ = 1500;
  Attempt.ProgressMs_ = 60;
  Announcement.Attempts_ = {Attempt};
  Announcement.ServiceReports_ = {{ServiceId("booking"), 100, 9, 5, 50, 700}};
  return Announcement;
}

TEST(AnnouncementJsonTest, AnnouncementRoundTrip) {
  const auto Parsed = parseAnnouncement(renderAnnouncement(makeAnnouncement()));
  ASSERT_TRUE(Parsed) << Parsed.error().Message_;
  EXPECT_EQ(Parsed.value(), makeAnnouncement());
}

TEST(AnnouncementJsonTest, ReplyRoundTrip) {
  wire::AnnouncementReply Reply;
  Reply.LeaseTtlMs_ = 6000;
  Reply.HeartbeatMs_ = 500;
  wire::TaskCommand Command;
  Command.Kind_ = wire::TaskCommandKind::Throttle;
  Command.Task_ = {JobId("j"), 1};
  Command.Attempt_ = AttemptNumber(2);
  Command.Token_ = {3, 4};
  Command.Payload_ = "{}";
  Command.Checkpoint_ = "c";
  Command.Reservation_ = Resources::makeFor(5, 6, 7);
  Command.ThrottlePercent_ = 40;
  Reply.Commands_ = {Command};
  Reply.Renewals_ = {{{JobId("k"), 0}, AttemptNumber(1), {8, 9}}};
  const auto Parsed = parseAnnouncementReply(renderAnnouncementReply(Reply));
  ASSERT_TRUE(Parsed) << Parsed.error().Message_;
  EXPECT_EQ(Parsed.value(), Reply);
}

struct BadCase {
  const char *Text_;
  ErrorCode Code_;
  const char *Place_;
};

TEST(AnnouncementJsonTest, InvalidInputFailsWithTheCodeAndPath) {
#define HEAD                                                                   \
  R"({"server":"s","boot":"b","dataCentre":"d","address":"1.2.3.4:5")"
  const BadCase Cases[] = {
      {"", ErrorCode::Malformed, "JSON"},
      {"{\"server\":", ErrorCode::Malformed, "JSON"},
      {"[]", ErrorCode::InvalidArgument, "object"},
      {"{}", ErrorCode::InvalidArgument, "/server is missing"},
      {R"({"server":""})", ErrorCode::InvalidArgument, "/server"},
      {HEAD R"(,"slots":-1})", ErrorCode::InvalidArgument, "/slots"},
      {HEAD R"(,"slots":1.5})", ErrorCode::InvalidArgument, "/slots"},
      {HEAD R"(,"slots":4000000000})", ErrorCode::TooLarge, "/slots"},
      {HEAD R"(,"slotz":1})", ErrorCode::InvalidArgument, "/slotz"},
      {HEAD R"(,"draining":1})", ErrorCode::InvalidArgument, "/draining"},
      {HEAD R"(,"capacity":{"milliCpus":99999999999}})", ErrorCode::TooLarge,
       "/capacity/milliCpus"},
      {HEAD R"(,"services":[7]})", ErrorCode::InvalidArgument, "/services/0"},
      {HEAD R"(,"attempts":[{}]})", ErrorCode::InvalidArgument,
       "/attempts/0/task"},
      {HEAD R"(,"attempts":{}})", ErrorCode::InvalidArgument, "/attempts"},
  };
  for (const BadCase &Case : Cases) {
    const auto Result = parseAnnouncement(Case.Text_);
    ASSERT_FALSE(Result) << Case.Text_;
    EXPECT_EQ(Result.error().Code_, Case.Code_) << Case.Text_;
    EXPECT_NE(Result.error().Message_.find(Case.Place_), std::string::npos)
        << Result.error().Message_;
  }
}

TEST(AnnouncementJsonTest, ExcessiveCountsAndLengthsAreRejected) {
  wire::Announcement TooManyAttempts = makeAnnouncement();
  TooManyAttempts.Attempts_.resize(AnnouncementLimits::MaxAttempts + 1,
                                   TooManyAttempts.Attempts_.front());
  wire::Announcement NameTooLong = makeAnnouncement();
  NameTooLong.Server_ = BackendServerId(std::string(1000, 'x'));
  for (const wire::Announcement &Announcement :
       {TooManyAttempts, NameTooLong}) {
    const auto Result = parseAnnouncement(renderAnnouncement(Announcement));
    ASSERT_FALSE(Result);
    EXPECT_EQ(Result.error().Code_, ErrorCode::TooLarge);
  }
}
