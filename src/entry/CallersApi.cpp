//===- CallersApi.cpp -----------------------------------------------------===//

#include "tulipweir/entry/CallersApi.h"

#include "tulipweir/entry/Ticket.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <variant>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

static constexpr Duration NotServingRetryAfter = milliseconds(1000);
static constexpr unsigned MethodNotAllowed = 405;
static constexpr unsigned ServiceUnavailable = 503;

CallersApi::CallersApi(CallersApiDependencies Deps)
    : Deps_(std::move(Deps)),
      IdPrefix_(Deps_.Identity_.Entry_.value() + "-" +
                std::to_string(Deps_.Identity_.Incarnation_) + "-") {}

std::string CallersApi::makeRequestId() {
  return IdPrefix_ + std::to_string(++Requests_);
}

std::optional<FinalResult>
CallersApi::refuseWithoutBundle(const Configuration *Config) const {
  if (Config)
    return std::nullopt;
  return FinalResult::makeNotRun(RequestReason::NotServing,
                                 "this entry has no bundle yet",
                                 NotServingRetryAfter);
}

std::optional<FinalResult>
CallersApi::refuseOverLimit(const ServiceRequest &Request,
                            const Configuration &Config) const {
  const std::optional<Duration> Wait =
      Deps_.Limits_.tryTake(Request.Caller_, Config, Request.ArrivedAt_);
  if (!Wait)
    return std::nullopt;
  return FinalResult::makeNotRun(RequestReason::CallerLimit,
                                 "the caller exceeded its rate limit", *Wait);
}

static bool hasKey(const net::HttpRequest &Request) {
  return !Request.findHeader(header::IdempotencyKey).empty() ||
         !Request.findHeader(header::Ticket).empty();
}

// Until the record has been read, earlier attempts with the key are unknown, so
// "not run" could be false. A malformed request has no valid key.
static FinalResult makeUnknownForKey(FinalResult Refusal) {
  if (Refusal.Reason_ == RequestReason::BadRequest)
    return Refusal;
  Refusal.Outcome_ = RequestOutcome::Unknown;
  Refusal.Message_ +=
      "; this attempt did not run, but an earlier one with this key may have";
  return Refusal;
}

void CallersApi::handleService(net::HttpRequest Request,
                               net::HttpRespond Respond) {
  const TimePoint Now = Deps_.Clock_.now();
  std::string Id = makeRequestId();
  const bool Keyed = hasKey(Request);
  ++InProgress_;
  ResultCallback Done = [this, Now, Id,
                         Respond = std::move(Respond)](FinalResult Result) {
    Deps_.Metrics_.countResult(Result, Deps_.Clock_.now() - Now);
    Respond(renderResult(Result, Id));
    --InProgress_;
  };
  const auto Refuse = [&](FinalResult Refusal) {
    Done(Keyed ? makeUnknownForKey(std::move(Refusal)) : std::move(Refusal));
  };
  const std::shared_ptr<const Configuration> Config =
      Deps_.Configuration_.get();
  if (std::optional<FinalResult> Refusal = refuseWithoutBundle(Config.get()))
    return Refuse(std::move(*Refusal));
  ReadResult Read = readServiceRequest(std::move(Request), *Config,
                                       std::move(Id), Now, Deps_.MaxRequest_);
  if (auto *Refusal = std::get_if<FinalResult>(&Read))
    return Refuse(std::move(*Refusal));
  const auto Parsed = std::make_shared<const ServiceRequest>(
      std::move(std::get<ServiceRequest>(Read)));
  if (std::optional<FinalResult> Refusal = refuseOverLimit(*Parsed, *Config))
    return Refuse(std::move(*Refusal));
  Sender &To = Parsed->Key_ ? Deps_.Keyed_ : Deps_.Plain_;
  To.send(Parsed, std::move(Done));
}

void CallersApi::handleTicket(const net::HttpRequest &Request,
                              const net::HttpRespond &Respond) {
  if (Request.Method_ != "POST")
    return Respond(net::HttpResponse::makeJson(
        MethodNotAllowed,
        R"({"error":"bad-request","message":"use POST to get a ticket"})"));
  const std::shared_ptr<const Configuration> Config =
      Deps_.Configuration_.get();
  if (!Config) {
    net::HttpResponse Refusal = net::HttpResponse::makeJson(
        ServiceUnavailable,
        R"({"error":"not-serving","message":"no bundle yet"})");
    Refusal.Headers_.push_back({"Retry-After", "1"});
    return Respond(std::move(Refusal));
  }
  const Ticket Issued =
      Ticket::makeFor(Deps_.Identity_.DataCentre_, Deps_.Clock_.wallNow(),
                      Deps_.Random_(), Deps_.Random_());
  const auto Retention = std::chrono::duration_cast<milliseconds>(
      Config->Bundle_.RequestRetention_);
  const nlohmann::json Body = {{"ticket", Issued.toString()},
                               {"expiresInMs", Retention.count()}};
  Respond(net::HttpResponse::makeJson(200, Body.dump()));
}
