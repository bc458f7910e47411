//===- ControlProxy.cpp ---------------------------------------------------===//

#include "tulipweir/entry/ControlProxy.h"

#include "tulipweir/entry/AnnouncementJson.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration AnnounceTimeout = milliseconds(1500);
static constexpr Duration OperatorTimeout = seconds(10);
static constexpr std::int64_t MaxWaitMs = 60'000;

static unsigned getHttpStatus(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
  case ErrorCode::Malformed:
    return 400;
  case ErrorCode::PermissionDenied:
    return 403;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::AlreadyExists:
  case ErrorCode::Conflict:
  case ErrorCode::StaleToken:
    return 409;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::Timeout:
    return 504;
  case ErrorCode::NotLeader:
  case ErrorCode::Unavailable:
  case ErrorCode::Overfull:
    return 503;
  case ErrorCode::VersionMismatch:
  case ErrorCode::StorageFailed:
  case ErrorCode::Corrupt:
  case ErrorCode::Internal:
    return 500;
  }
  return 500;
}

static net::HttpResponse renderError(const Error &Problem) {
  const nlohmann::json Body = {{"error", getErrorName(Problem.Code_)},
                               {"message", Problem.Message_}};
  using Handler = nlohmann::json::error_handler_t;
  net::HttpResponse Response =
      net::HttpResponse::makeJson(getHttpStatus(Problem.Code_),
                                  Body.dump(-1, ' ', false, Handler::replace));
  if (Response.Status_ == 503 || Response.Status_ == 504)
    Response.Headers_.push_back({"Retry-After", "1"});
  return Response;
}

void ControlProxy::handleAnnouncement(const net::HttpRequest &Request,
                                      net::HttpRespond Respond) {
  const auto Refuse = [&](ErrorCode Code, std::string Message) {
    Metrics_.AnnouncementsFailed_.add();
    Respond(renderError(Error::make(Code, std::move(Message))));
  };
  if (Request.Method_ != "POST")
    return Refuse(ErrorCode::InvalidArgument,
                  "use POST to send an announcement");
  const Outcome<wire::Announcement> Parsed = parseAnnouncement(Request.Body_);
  if (!Parsed)
    return Refuse(Parsed.error().Code_, Parsed.error().Message_);
  const wire::Announcement &Announcement = Parsed.value();
  if (Announcement.DataCentre_ != Identity_.DataCentre_)
    return Refuse(
        ErrorCode::InvalidArgument,
        "this entry belongs to data centre " + Identity_.DataCentre_.value() +
            "; send the announcement to an entry of your own data centre");
  if (const auto Address = net::Endpoint::parse(Announcement.Address_);
      !Address)
    return Refuse(ErrorCode::InvalidArgument,
                  "/address: " + Address.error().Message_);
  // Draining applies at once, without waiting for the leader's next route
  // table.
  if (Announcement.Draining_)
    Router_.markDraining(Announcement.Server_, Announcement.Boot_);
  Batcher_.announce(Announcement, AnnounceTimeout,
                    [this, Respond = std::move(Respond)](
                        const Outcome<wire::AnnouncementReply> &Reply) {
                      if (!Reply) {
                        Metrics_.AnnouncementsFailed_.add();
                        Error Problem = Reply.error();
                        // The backend server has to announce itself again in
                        // both cases.
                        if (Problem.Code_ == ErrorCode::Timeout)
                          Problem.Code_ = ErrorCode::Unavailable;
                        return Respond(renderError(Problem));
                      }
                      Metrics_.Announcements_.add();
                      Respond(net::HttpResponse::makeJson(
                          200, renderAnnouncementReply(Reply.value())));
                    });
}

// A long poll passes its duration in the query, which is added to the timeout.
static Duration findTimeout(const net::HttpRequest &Request) {
  const std::string Text = Request.findQuery("waitMs");
  std::int64_t WaitMs = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), WaitMs);
  WaitMs = std::clamp<std::int64_t>(WaitMs, 0, MaxWaitMs);
  return OperatorTimeout + milliseconds(WaitMs);
}

void ControlProxy::handleOperator(net::HttpRequest Request,
                                  net::HttpRespond Respond) {
  const Duration Timeout = findTimeout(Request);
  wire::OperatorCall Call;
  Call.Method_ = std::move(Request.Method_);
  Call.Path_ = Request.Path_.substr(std::string_view(OperatorPrefix).size());
  Call.Query_ = std::move(Request.Query_);
  Call.Body_ = std::move(Request.Body_);
  Control_.callOperator(
      Call, Timeout,
      [Respond = std::move(Respond)](Outcome<wire::OperatorAnswer> Reply) {
        if (!Reply)
          return Respond(renderError(Reply.error()));
        Respond(net::HttpResponse::makeJson(Reply.value().Status_,
                                            std::move(Reply.value().Body_)));
      });
}
