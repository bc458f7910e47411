//===- HttpOperatorApi.cpp - The operators' API over HTTP -----------------===//

#include "tulipweir/ctl/HttpOperatorApi.h"
#include "tulipweir/net/HttpClient.h"
#include "tulipweir/net/IoPool.h"

#include <algorithm>
#include <cassert>
#include <future>
#include <optional>
#include <thread>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::ctl;

static constexpr std::uint64_t MaxAnswerBytes = 64ULL << 20U;
static constexpr const char *Prefix = "/v1/operator";

class HttpOperatorApi::Impl {
public:
  Impl(const ApiSettings &Settings, const Clock &Time)
      : Settings_(Settings), Time_(Time), Pool_(1),
        Client_(Pool_.context(), makeClientSettings()) {
    assert(!Settings_.Entries_.empty() && "no entry to ask");
  }

  Outcome<ApiAnswer> call(const ApiRequest &Request);

private:
  static net::HttpClientSettings makeClientSettings() {
    net::HttpClientSettings Settings;
    Settings.MaxBodyBytes_ = MaxAnswerBytes;
    return Settings;
  }
  net::HttpResult ask(const ApiRequest &Request, TimePoint Deadline);
  bool pauseAfterRound(TimePoint Deadline);

  const ApiSettings Settings_;
  const Clock &Time_;
  net::IoPool Pool_;
  net::HttpClient Client_;
  std::size_t Next_ = 0; ///< The entry to ask; stays while it answers.
};

net::HttpResult HttpOperatorApi::Impl::ask(const ApiRequest &Request,
                                           TimePoint Deadline) {
  net::HttpRequest Message;
  Message.Method_ = Request.Method_;
  Message.Path_ = Prefix + Request.Path_;
  Message.Query_ = Request.Query_;
  Message.Body_ = Request.Body_;
  if (!Request.Body_.empty())
    Message.Headers_.push_back({"Content-Type", "application/json"});
  std::promise<net::HttpResult> Promise;
  auto Result = Promise.get_future();
  Client_.send(Settings_.Entries_[Next_], std::move(Message), Deadline,
               [&Promise](net::HttpResult Value) {
                 Promise.set_value(std::move(Value));
               });
  return Result.get();
}

/// Whether the answer says that nobody could decide, or not in time. Another
/// entry may know better, and the same one a little later.
static bool isUndecided(unsigned Status) {
  static constexpr unsigned BadGateway = 502;
  static constexpr unsigned Unavailable = 503;
  static constexpr unsigned GatewayTimeout = 504;
  return Status == BadGateway || Status == Unavailable ||
         Status == GatewayTimeout;
}

/// False when there is no time left for another round.
bool HttpOperatorApi::Impl::pauseAfterRound(TimePoint Deadline) {
  Next_ = (Next_ + 1) % Settings_.Entries_.size();
  const bool RoundEnded = Next_ == 0;
  if (RoundEnded)
    std::this_thread::sleep_for(Settings_.Pause_);
  return Time_.now() < Deadline;
}

static std::string describeEntries(const std::vector<net::Endpoint> &Entries) {
  std::string Text;
  for (const net::Endpoint &Entry : Entries)
    Text += (Text.empty() ? "" : ", ") + Entry.toString();
  return Text;
}

Outcome<ApiAnswer> HttpOperatorApi::Impl::call(const ApiRequest &Request) {
  const TimePoint Start = Time_.now();
  const TimePoint Deadline = Start + Settings_.Timeout_ + Request.Patience_;
  std::optional<ApiAnswer> Undecided;
  std::optional<Error> Lost;
  do {
    const TimePoint AnswerBy =
        Time_.now() + Settings_.AnswerTimeout_ + Request.Patience_;
    const auto Result = ask(Request, std::min(Deadline, AnswerBy));
    if (!Result.Response_) {
      Lost = Result.Response_.error();
      continue;
    }
    const net::HttpResponse &Response = Result.Response_.value();
    if (!isUndecided(Response.Status_))
      return ApiAnswer{Response.Status_, Response.Body_};
    Undecided = ApiAnswer{Response.Status_, Response.Body_};
  } while (pauseAfterRound(Deadline));
  if (Undecided)
    return *Undecided;
  return fail(Lost->Code_, "no answer from " +
                               describeEntries(Settings_.Entries_) + ": " +
                               Lost->Message_);
}

HttpOperatorApi::HttpOperatorApi(const ApiSettings &Settings, const Clock &Time)
    : Impl_(std::make_unique<Impl>(Settings, Time)) {}
HttpOperatorApi::~HttpOperatorApi() = default;

Outcome<ApiAnswer> HttpOperatorApi::call(const ApiRequest &Request) {
  return Impl_->call(Request);
}

std::string ctl::escapeStep(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  static constexpr std::string_view Plain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  static constexpr unsigned HexBase = 16;
  std::string Escaped;
  for (const char Letter : Text) {
    if (Plain.find(Letter) != std::string_view::npos) {
      Escaped += Letter;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Letter);
    Escaped += {'%', Digits[Byte / HexBase], Digits[Byte % HexBase]};
  }
  return Escaped;
}
