//===- AnswerCheck.cpp ----------------------------------------------------===//

#include "entry/AnswerCheck.h"

#include "tulipweir/entry/ServiceRequest.h"

using namespace tulipweir;
using namespace tulipweir::entry;

static constexpr unsigned BusyStatus = 503;
static constexpr unsigned FirstFailedStatus = 500;

static TryResult checkFailure(const net::HttpResult &Result) {
  TryResult Verdict;
  if (Result.Stage_ == net::HttpStage::NothingSent) {
    Verdict.End_ = TryEnd::NotRun;
    Verdict.Reason_ = RequestReason::ServersRefused;
    return Verdict;
  }
  const ErrorCode Code = Result.Response_.error().Code_;
  if (Code == ErrorCode::Timeout)
    Verdict.Reason_ = RequestReason::AnswerLate;
  else if (Code == ErrorCode::Malformed || Code == ErrorCode::TooLarge)
    Verdict.Reason_ = RequestReason::AnswerInvalid;
  return Verdict;
}

TryResult entry::checkAnswer(const net::HttpResult &Result,
                             std::string_view RequestId) {
  if (!Result.Response_)
    return checkFailure(Result);
  const net::HttpResponse &Response = Result.Response_.value();
  TryResult Verdict;
  // The id comes first: a refusal of another request says nothing of ours.
  if (Response.findHeader(header::RequestId) != RequestId) {
    Verdict.Reason_ = RequestReason::AnswerInvalid;
    Verdict.WrongId_ = true;
    return Verdict;
  }
  const bool Busy = Response.Status_ == BusyStatus &&
                    Response.findHeader(header::NotRun) == "1";
  if (Busy) {
    Verdict.End_ = TryEnd::NotRun;
    Verdict.Reason_ = RequestReason::ServersRefused;
    Verdict.ServerResult_ = decide::RequestResult::Busy;
    return Verdict;
  }
  Verdict.End_ = TryEnd::Whole;
  Verdict.Reason_ = RequestReason::Answered;
  if (Response.Status_ < FirstFailedStatus)
    Verdict.ServerResult_ = decide::RequestResult::Served;
  return Verdict;
}
