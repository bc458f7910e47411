//===- ServiceRequest.cpp -------------------------------------------------===//

#include "tulipweir/entry/ServiceRequest.h"

#include "entry/HeaderFilter.h"
#include "tulipweir/entry/Ticket.h"

#include <algorithm>
#include <charconv>
#include <string_view>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

static constexpr std::size_t MaxKeyBytes = 200;
static constexpr std::size_t MaxCallerBytes = 128;

static bool isRepeatableMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

static bool isPlainText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Byte) { return Byte > ' ' && Byte <= '~'; });
}

static FinalResult refuse(RequestReason Reason, std::string Message) {
  return FinalResult::makeNotRun(Reason, std::move(Message));
}

static FinalResult refuseBadRequest(std::string Message) {
  return refuse(RequestReason::BadRequest, std::move(Message));
}

// Each part is prefixed with its length, so that moving bytes between adjacent
// parts changes the digest.
static Digest computeRequestDigest(const ServiceId &Service,
                                   const net::HttpRequest &Request) {
  std::string Text;
  for (const std::string *Part :
       {&Service.value(), &Request.Method_, &Request.Path_, &Request.Query_,
        &Request.Body_}) {
    Text += std::to_string(Part->size());
    Text += ':';
    Text += *Part;
  }
  return fleet::computeDigest(Text);
}

namespace {

/// Reads a request step by step. Each step returns the rejection or nullopt.
class Reader {
public:
  Reader(net::HttpRequest Request, const Configuration &Config, std::string Id,
         TimePoint Now, Duration MaxRequest)
      : Request_(std::move(Request)), Config_(Config), Now_(Now),
        MaxRequest_(MaxRequest) {
    Result_.Id_ = std::move(Id);
    Result_.ArrivedAt_ = Now;
  }

  ReadResult read() {
    using Step = std::optional<FinalResult> (Reader::*)();
    static constexpr Step Steps[] = {
        &Reader::readPath, &Reader::readCaller,     &Reader::readDeadline,
        &Reader::readKey,  &Reader::readRepeatable, &Reader::readBody};
    for (const Step CurrentStep : Steps)
      if (std::optional<FinalResult> Refusal = (this->*CurrentStep)())
        return std::move(*Refusal);
    fillForward();
    return std::move(Result_);
  }

private:
  std::optional<FinalResult> readPath() {
    std::string_view Rest = Request_.Path_;
    Rest.remove_prefix(std::string_view(ServicePrefix).size());
    const std::size_t Slash = Rest.find('/');
    Result_.Service_ = ServiceId(std::string(Rest.substr(0, Slash)));
    Path_ = Slash == std::string_view::npos ? "/" : Rest.substr(Slash);
    Service_ = Config_.findService(Result_.Service_);
    if (!Service_)
      return refuse(RequestReason::UnknownService,
                    "the bundle in force has no such service");
    return std::nullopt;
  }

  std::optional<FinalResult> readCaller() {
    const std::string_view Caller = Request_.findHeader(header::Caller);
    if (Caller.size() > MaxCallerBytes || !isPlainText(Caller))
      return refuseBadRequest(
          "X-Tulipweir-Caller must be at most 128 printable "
          "characters without spaces");
    Result_.Caller_ = CallerId(std::string(Caller));
    return std::nullopt;
  }

  std::optional<FinalResult> readDeadline() {
    Duration Remaining = Service_->DefaultDeadline_;
    const std::string_view Text = Request_.findHeader(header::Deadline);
    if (!Text.empty()) {
      std::int64_t Ms = 0;
      const auto [End, Problem] =
          std::from_chars(Text.data(), Text.data() + Text.size(), Ms);
      if (Problem != std::errc() || End != Text.data() + Text.size())
        return refuseBadRequest(
            "X-Tulipweir-Deadline-Ms must be a whole number of "
            "milliseconds");
      if (Ms <= 0)
        return refuse(RequestReason::DeadlinePassed,
                      "the deadline had passed when the request arrived");
      const auto MaxMs =
          std::chrono::ceil<milliseconds>(Service_->MaxDeadline_).count();
      Remaining = milliseconds(std::min<std::int64_t>(Ms, MaxMs));
    }
    Remaining = std::min({Remaining, Service_->MaxDeadline_, MaxRequest_});
    Result_.Deadline_ = Now_ + Remaining;
    return std::nullopt;
  }

  std::optional<FinalResult> readKey() {
    const std::string_view Key = Request_.findHeader(header::IdempotencyKey);
    const std::string_view Ticket = Request_.findHeader(header::Ticket);
    if (!Key.empty() && !Ticket.empty())
      return refuseBadRequest(
          "give Idempotency-Key or X-Tulipweir-Ticket, not both");
    const std::string_view Text = Key.empty() ? Ticket : Key;
    if (Text.empty())
      return std::nullopt;
    if (Text.size() > MaxKeyBytes || !isPlainText(Text))
      return refuseBadRequest("a key must be at most 200 printable characters "
                              "without spaces");
    if (!Ticket.empty()) {
      const Outcome<entry::Ticket> Read = entry::Ticket::parse(Ticket);
      if (!Read)
        return refuseBadRequest(Read.error().Message_);
      Result_.TicketHome_ = Read.value().Home_;
    }
    // The prefixes prevent a caller's own key from being taken for a ticket.
    Result_.Key_ = makeRecordKey(Text, /*IsTicket=*/!Ticket.empty());
    KeyText_ = Text;
    Result_.Digest_ = computeRequestDigest(Result_.Service_, Request_);
    return std::nullopt;
  }

  std::optional<FinalResult> readRepeatable() {
    const std::string_view Text = Request_.findHeader(header::Repeatable);
    const bool Valid = Text.empty() || Text == "true" || Text == "false";
    if (!Valid)
      return refuseBadRequest("X-Tulipweir-Repeatable must be true or false");
    const bool Requested =
        Text.empty() ? isRepeatableMethod(Request_.Method_) : Text == "true";
    if (Result_.Key_ && Text == "true")
      return refuseBadRequest(
          "a request with a key runs at most once; leave out "
          "X-Tulipweir-Repeatable: true");
    Result_.Repeatable_ = Requested && !Result_.Key_;
    Result_.Hedged_ = Result_.Repeatable_ && Service_->HedgingAllowed_;
    return std::nullopt;
  }

  std::optional<FinalResult> readBody() {
    if (Request_.Body_.size() <= Service_->MaxBodyBytes_)
      return std::nullopt;
    return refuse(RequestReason::BodyTooLarge,
                  "the body is over the service's limit of " +
                      std::to_string(Service_->MaxBodyBytes_) + " bytes");
  }

  void fillForward() {
    net::HttpRequest &Forward = Result_.Forward_;
    Forward.Path_ = std::string(Path_);
    Forward.Method_ = std::move(Request_.Method_);
    Forward.Query_ = std::move(Request_.Query_);
    Forward.Body_ = std::move(Request_.Body_);
    Forward.Headers_ = filterHeaders(Request_.Headers_);
    Forward.Headers_.push_back({header::Service, Result_.Service_.value()});
    Forward.Headers_.push_back({header::RequestId, Result_.Id_});
    if (!Result_.Caller_.value().empty())
      Forward.Headers_.push_back({header::Caller, Result_.Caller_.value()});
    if (Result_.Key_)
      Forward.Headers_.push_back({header::RequestKey, std::string(KeyText_)});
  }

  net::HttpRequest Request_;
  const Configuration &Config_;
  TimePoint Now_;
  Duration MaxRequest_;
  ServiceRequest Result_;
  std::string_view Path_;
  std::string_view KeyText_;
  const fleet::ServiceConfig *Service_ = nullptr;
};

} // namespace

RequestKey entry::makeRecordKey(std::string_view Text, bool IsTicket) {
  return RequestKey((IsTicket ? "ticket:" : "key:") + std::string(Text));
}

ReadResult entry::readServiceRequest(net::HttpRequest Request,
                                     const Configuration &Config,
                                     std::string Id, TimePoint Now,
                                     Duration MaxRequest) {
  return Reader(std::move(Request), Config, std::move(Id), Now, MaxRequest)
      .read();
}
