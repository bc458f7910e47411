//===- AskedAgainTest.cpp - The same asker asks again ---------------------===//

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

static RequestDisposition ask(RequestRecords &Records, std::uint64_t Nonce) {
  return Records.begin(makeBegin(Nonce), 1000).value().Disposition_;
}

TEST(AskedAgainTest, OnlyTheSameAskerIsToldRunAgain) {
  RequestRecords Records{RecordLimits()};
  EXPECT_EQ(ask(Records, 1), RequestDisposition::Run);
  EXPECT_EQ(ask(Records, 1), RequestDisposition::Run);
  EXPECT_EQ(ask(Records, 2), RequestDisposition::Running);
  EXPECT_EQ(Records.records().begin()->second.Attempt_, 1U);
}

TEST(AskedAgainTest, WithoutANonceNobodyIsToldRunAgain) {
  RequestRecords Records{RecordLimits()};
  EXPECT_EQ(ask(Records, 0), RequestDisposition::Run);
  EXPECT_EQ(ask(Records, 0), RequestDisposition::Running);
}

TEST(AskedAgainTest, ALateCopyBeginsNothingAfterTheAskerGaveItBack) {
  RequestRecords Records{RecordLimits()};
  ask(Records, 1);
  EXPECT_TRUE(Records.abandon({RequestKey("k"), 1}, 1000));
  EXPECT_EQ(ask(Records, 1), RequestDisposition::Unknown);
  EXPECT_EQ(ask(Records, 2), RequestDisposition::Run);
  EXPECT_EQ(Records.records().begin()->second.Attempt_, 2U);
}

TEST(AskedAgainTest, ALateCopyAfterTheEndIsToldTheEnd) {
  RequestRecords Records{RecordLimits()};
  ask(Records, 1);
  Records.finish({RequestKey("k"), 1, wire::StoredAnswer{200, "", "x"}}, 1000);
  EXPECT_EQ(ask(Records, 1), RequestDisposition::Replay);
}
