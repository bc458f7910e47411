//===- RequestRetryTest.cpp - Retried begin requests ----------------------===//

#include "tulipweir/datacentre/RequestRecords.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::RequestDisposition;

static wire::BeginRequest makeBegin(std::uint64_t Nonce) {
  wire::BeginRequest Request;
  Request.Key_ = RequestKey("k");
  Request.Digest_ = Digest("d");
  Request.Entry_ = EntryId("e");
  Request.EntryIncarnation_ = 7;
  Request.Nonce_ = Nonce;
  return Request;
}

static RequestDisposition beginRequest(RequestRecords &Records,
                                       std::uint64_t Nonce) {
  return Records.begin(makeBegin(Nonce), 1000).value().Disposition_;
}

TEST(RequestRetryTest, OnlyTheSameCallerIsToldRunAgain) {
  RequestRecords Records{RecordLimits()};
  EXPECT_EQ(beginRequest(Records, 1), RequestDisposition::Run);
  EXPECT_EQ(beginRequest(Records, 1), RequestDisposition::Run);
  EXPECT_EQ(beginRequest(Records, 2), RequestDisposition::Running);
  EXPECT_EQ(Records.records().begin()->second.Attempt_, 1U);
}

TEST(RequestRetryTest, WithoutANonceNoRetryIsToldRunAgain) {
  RequestRecords Records{RecordLimits()};
  EXPECT_EQ(beginRequest(Records, 0), RequestDisposition::Run);
  EXPECT_EQ(beginRequest(Records, 0), RequestDisposition::Running);
}

TEST(RequestRetryTest, ADelayedCopyBeginsNothingAfterTheCallerAbandonedIt) {
  RequestRecords Records{RecordLimits()};
  beginRequest(Records, 1);
  EXPECT_TRUE(Records.abandon({RequestKey("k"), 1}, 1000));
  EXPECT_EQ(beginRequest(Records, 1), RequestDisposition::Unknown);
  EXPECT_EQ(beginRequest(Records, 2), RequestDisposition::Run);
  EXPECT_EQ(Records.records().begin()->second.Attempt_, 2U);
}

TEST(RequestRetryTest, ADelayedCopyAfterTheEndIsReplayed) {
  RequestRecords Records{RecordLimits()};
  beginRequest(Records, 1);
  Records.finish({RequestKey("k"), 1, wire::StoredAnswer{200, "", "x"}}, 1000);
  EXPECT_EQ(beginRequest(Records, 1), RequestDisposition::Replay);
}
