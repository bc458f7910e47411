//===- AnswerCheck.cpp ----------------------------------------------------===//

#include "entry/AnswerCheck.h"

#include "tulipweir/entry/ServiceRequest.h"

using namespace tulipweir;
using namespace tulipweir::entry;

static constexpr unsigned ServiceUnavailableStatus = 503;
static constexpr unsigned FirstFailedStatus = 500;

static TryResult checkFailure(const net::HttpResult &Result) {
  TryResult Classification;
  if (Result.Stage_ == net::HttpStage::NothingSent) {
    Classification.End_ = TryEnd::NotRun;
    Classification.Reason_ = RequestReason::ServersRefused;
    return Classification;
  }
  const ErrorCode Code = Result.Response_.error().Code_;
  if (Code == ErrorCode::Timeout)
    Classification.Reason_ = RequestReason::AnswerLate;
  else if (Code == ErrorCode::Malformed || Code == ErrorCode::TooLarge)
    Classification.Reason_ = RequestReason::AnswerInvalid;
  return Classification;
}

TryResult entry::checkAnswer(const net::HttpResult &Result,
                             std::string_view RequestId) {
  if (!Result.Response_)
    return checkFailure(Result);
  const net::HttpResponse &Response = Result.Response_.value();
  TryResult Classification;
  // The id is checked first: a busy response to another request says nothing
  // about this one.
  if (Response.findHeader(header::RequestId) != RequestId) {
    Classification.Reason_ = RequestReason::AnswerInvalid;
    Classification.WrongId_ = true;
    return Classification;
  }
  const bool Busy = Response.Status_ == ServiceUnavailableStatus &&
                    Response.findHeader(header::NotRun) == "1";
  if (Busy) {
    Classification.End_ = TryEnd::NotRun;
    Classification.Reason_ = RequestReason::ServersRefused;
    Classification.ServerResult_ = decide::RequestResult::Busy;
    return Classification;
  }
  Classification.End_ = TryEnd::Complete;
  Classification.Reason_ = RequestReason::Answered;
  if (Response.Status_ < FirstFailedStatus)
    Classification.ServerResult_ = decide::RequestResult::Served;
  return Classification;
}
