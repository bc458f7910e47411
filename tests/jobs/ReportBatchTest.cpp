//===- ReportBatchTest.cpp ------------------------------------------------===//

#include "tulipweir/jobs/ReportBatch.h"

#include "jobs/JobPacking.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {

/// A report as members without server clocks pack it.
struct EarlierReport {
  ServerFacts Facts_;
  bool IsDraining_ = false;
  std::uint64_t RemainingMs_ = 0;
  std::uint64_t Sequence_ = 0;
  std::vector<std::uint64_t> Running_;
  std::vector<std::uint64_t> Ended_;
  std::uint64_t WaitedMs_ = 0;
};
[[maybe_unused]] auto fields(EarlierReport &X) {
  return std::tie(X.Facts_, X.IsDraining_, X.RemainingMs_, X.Sequence_,
                  X.Running_, X.Ended_, X.WaitedMs_);
}

struct EarlierBatch {
  std::vector<EarlierReport> Reports_;
  bool HasDeferred_ = false;
  std::uint64_t FlushId_ = 0;
  std::vector<std::string> Heard_;
  std::string From_;
  std::uint64_t ProbeTimeNs_ = 0;
};
[[maybe_unused]] auto fields(EarlierBatch &X) {
  return std::tie(X.Reports_, X.HasDeferred_, X.FlushId_, X.Heard_, X.From_,
                  X.ProbeTimeNs_);
}

} // namespace

// Guards against a relay that drops the server's clock.
TEST(ReportBatchPacking, ServerClockIsPacked) {
  ReportBatch Batch;
  Batch.Reports_.resize(1);
  Batch.Reports_[0].Sequence_ = 3;
  Batch.Reports_[0].ServerClockMs_ = 482113;
  EXPECT_EQ(decodeReports(encodeReports(Batch)).value(), Batch);
}

// Guards against a relay that drops the server's start time.
TEST(ReportBatchPacking, StartTimeIsPacked) {
  ReportBatch Batch;
  Batch.Reports_.resize(2);
  Batch.Reports_[0].Facts_.Id_ = "i-1/1764812345678";
  Batch.Reports_[1].Facts_.Id_ = "i-2";
  Batch.FlushId_ = 7;
  EXPECT_EQ(decodeReports(encodeReports(Batch)).value(), Batch);
}

// Guards against a leader of an earlier version that takes an id with a start
// time for another server, or that rejects servers without start times.
TEST(ReportBatchPacking, IdsOnTheWireHaveNoStartTime) {
  ReportBatch Batch;
  Batch.Reports_.resize(1);
  Batch.Reports_[0].Facts_.Id_ = "i-1";
  constexpr char ArrayOfTwo = '\x92';
  EXPECT_NE(encodeReports(Batch).front(), ArrayOfTwo) << "as packed before";
  Batch.Reports_[0].Facts_.Id_ = "i-1/1764812345678";
  EXPECT_EQ(encodeReports(Batch).find("i-1/"), std::string::npos);
}

// Guards against start times that are attributed to other servers.
TEST(ReportBatchPacking, StartTimesOfOtherReportsAreRejected) {
  ReportBatch Batch;
  Batch.Reports_.resize(1);
  Batch.Reports_[0].Facts_.Id_ = "i-1/5";
  std::string Bytes = encodeReports(Batch);
  ASSERT_EQ(Bytes.substr(Bytes.size() - 2), "\x91\x05");
  Bytes.replace(Bytes.size() - 2, 2, "\x92\x05\x05");
  EXPECT_FALSE(decodeReports(Bytes));
}

// Guards against a leader that rejects the batches of members that run an
// earlier version.
TEST(ReportBatchPacking, ServerClockMayBeMissing) {
  EarlierBatch Earlier;
  Earlier.Reports_.resize(1);
  Earlier.Reports_[0].Sequence_ = 3;
  Earlier.Reports_[0].WaitedMs_ = 20;
  const auto Decoded = decodeReports(packing::pack(Earlier));
  ASSERT_TRUE(Decoded) << Decoded.error().Message_;
  ASSERT_EQ(Decoded.value().Reports_.size(), 1U);
  EXPECT_EQ(Decoded.value().Reports_[0].WaitedMs_, 20U);
  EXPECT_EQ(Decoded.value().Reports_[0].ServerClockMs_, 0U);
}
