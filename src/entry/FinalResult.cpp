//===- FinalResult.cpp ----------------------------------------------------===//

#include "tulipweir/entry/FinalResult.h"

#include "entry/HeaderFilter.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

using namespace tulipweir;
using namespace tulipweir::entry;

struct ReasonInfo {
  std::string_view Name_;
  unsigned Status_;
};

// Indexed by RequestReason.
static constexpr std::array<ReasonInfo, RequestReasonCount> Reasons{{
    {"answered", 200},         {"replayed", 200},
    {"bad-request", 400},      {"unknown-service", 404},
    {"body-too-large", 413},   {"deadline-passed", 503},
    {"caller-limit", 429},     {"queue-full", 503},
    {"too-late", 503},         {"no-servers", 503},
    {"not-serving", 503},      {"servers-refused", 503},
    {"answer-lost", 504},      {"answer-invalid", 504},
    {"answer-late", 504},      {"key-conflict", 409},
    {"key-expired", 410},      {"record-unavailable", 504},
    {"record-unknown", 504},   {"running-elsewhere", 504},
    {"home-unreachable", 504},
}};

// Indexed by RequestOutcome.
static constexpr std::array<std::string_view, RequestOutcomeCount> Outcomes{
    "served", "not-run", "unknown"};

static const ReasonInfo &findReason(RequestReason Reason) {
  return Reasons[static_cast<std::size_t>(Reason)];
}

std::string_view entry::getOutcomeName(RequestOutcome Outcome) {
  return Outcomes[static_cast<std::size_t>(Outcome)];
}

std::string_view entry::getReasonName(RequestReason Reason) {
  return findReason(Reason).Name_;
}

unsigned entry::getReasonStatus(RequestReason Reason) {
  return findReason(Reason).Status_;
}

FinalResult FinalResult::makeServed(net::HttpResponse Answer) {
  FinalResult Result;
  Result.Outcome_ = RequestOutcome::Served;
  Result.Reason_ = RequestReason::Answered;
  Result.Answer_ = std::move(Answer);
  return Result;
}

static FinalResult makeRefusal(RequestOutcome Outcome, RequestReason Reason,
                               std::string Message, Duration RetryAfter) {
  FinalResult Result;
  Result.Outcome_ = Outcome;
  Result.Reason_ = Reason;
  Result.Message_ = std::move(Message);
  Result.RetryAfter_ = RetryAfter;
  return Result;
}

FinalResult FinalResult::makeNotRun(RequestReason Reason, std::string Message,
                                    Duration RetryAfter) {
  return makeRefusal(RequestOutcome::NotRun, Reason, std::move(Message),
                     RetryAfter);
}

FinalResult FinalResult::makeUnknown(RequestReason Reason, std::string Message,
                                     Duration RetryAfter) {
  return makeRefusal(RequestOutcome::Unknown, Reason, std::move(Message),
                     RetryAfter);
}

// Retry-After is in whole seconds and is rounded up, so that callers do not
// retry too early. Fractions of a millisecond are dropped first, so that 1 s +
// 1 ns does not become 2 s.
static std::string formatRetryAfter(Duration RetryAfter) {
  using std::chrono::seconds;
  const auto Whole = std::chrono::floor<std::chrono::milliseconds>(RetryAfter);
  const auto Rounded = std::chrono::ceil<seconds>(Whole);
  return std::to_string(std::max(seconds(1), Rounded).count());
}

static net::HttpResponse renderError(const FinalResult &Result) {
  using std::chrono::milliseconds;
  const auto RetryMs = std::chrono::ceil<milliseconds>(Result.RetryAfter_);
  const nlohmann::json Body = {
      {"outcome", getOutcomeName(Result.Outcome_)},
      {"error", getReasonName(Result.Reason_)},
      {"message", Result.Message_},
      {"retryAfterMs", RetryMs.count()},
  };
  using Handler = nlohmann::json::error_handler_t;
  return net::HttpResponse::makeJson(
      getReasonStatus(Result.Reason_),
      Body.dump(-1, ' ', false, Handler::replace));
}

net::HttpResponse entry::renderResult(const FinalResult &Result,
                                      const std::string &RequestId) {
  const bool Served = Result.Outcome_ == RequestOutcome::Served;
  net::HttpResponse Response = Served ? Result.Answer_ : renderError(Result);
  if (Served)
    Response.Headers_ = filterHeaders(Response.Headers_);
  Response.Headers_.push_back(
      {"X-Tulipweir-Outcome", std::string(getOutcomeName(Result.Outcome_))});
  Response.Headers_.push_back({"X-Tulipweir-Request-Id", RequestId});
  if (Result.Reason_ == RequestReason::Replayed)
    Response.Headers_.push_back({"X-Tulipweir-Replayed", "true"});
  if (Result.RecordMissing_)
    Response.Headers_.push_back({"X-Tulipweir-Record", "missing"});
  if (Result.RetryAfter_ > Duration::zero())
    Response.Headers_.push_back(
        {"Retry-After", formatRetryAfter(Result.RetryAfter_)});
  return Response;
}
