//===- RecordWriter.cpp ---------------------------------------------------===//

#include "entry/RecordWriter.h"

#include <memory>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration CallTimeout = seconds(1);
static constexpr Duration RetryPause = milliseconds(100);
// Afterwards the record stays begun; the home ends it when this process does.
static constexpr Duration Patience = seconds(20);

namespace {

/// Repeats one idempotent call until it is answered.
template <class Request>
class Repeated : public std::enable_shared_from_this<Repeated<Request>> {
public:
  using Method = void (ControlClient::*)(const Request &, Duration,
                                         ControlDone<Request>);
  using Done = std::function<void(Outcome<typename Request::Reply>)>;

  Repeated(const RecordWriterParts &Parts, Method Call, Request Value,
           Done OnEnd)
      : Parts_(Parts), Call_(Call), Value_(std::move(Value)),
        OnEnd_(std::move(OnEnd)), Until_(Parts.Clock_.now() + Patience) {
    ++*Parts_.Pending_;
  }
  ~Repeated() { --*Parts_.Pending_; }

  void ask() {
    (Parts_.Home_.*Call_)(Value_, CallTimeout,
                          [Self = this->shared_from_this()](
                              Outcome<typename Request::Reply> Reply) {
                            Self->onReply(std::move(Reply));
                          });
  }

private:
  void onReply(Outcome<typename Request::Reply> Reply) {
    if (!Reply && Parts_.Clock_.now() < Until_) {
      Parts_.Timers_.runAfter(
          RetryPause, [Self = this->shared_from_this()] { Self->ask(); });
      return;
    }
    if (!Reply)
      Parts_.Metrics_.RecordsFailed_.add();
    OnEnd_(std::move(Reply));
  }

  const RecordWriterParts Parts_;
  const Method Call_;
  const Request Value_;
  const Done OnEnd_;
  const TimePoint Until_;
};

} // namespace

template <class Request, class Method, class Done>
static void repeat(const RecordWriterParts &Parts, Method Call, Request Value,
                   Done OnEnd) {
  std::make_shared<Repeated<Request>>(Parts, Call, std::move(Value),
                                      std::move(OnEnd))
      ->ask();
}

void entry::writeFinish(const RecordWriterParts &Parts,
                        wire::FinishRequest Finish, RecordDone Done) {
  repeat<wire::FinishRequest>(
      Parts, &ControlClient::finish, std::move(Finish),
      [Done = std::move(Done)](const Outcome<wire::RecordReply> &Reply) {
        Done(Reply && Reply.value().Recorded_);
      });
}

void entry::writeAbandon(const RecordWriterParts &Parts,
                         wire::AbandonRequest Abandon) {
  repeat<wire::AbandonRequest>(Parts, &ControlClient::abandon,
                               std::move(Abandon),
                               [](const Outcome<wire::RecordReply> &) {});
}

void entry::settleBegin(const RecordWriterParts &Parts,
                        wire::BeginRequest Begin) {
  const RequestKey Key = Begin.Key_;
  repeat<wire::BeginRequest>(
      Parts, &ControlClient::begin, std::move(Begin),
      [Parts, Key](const Outcome<wire::BeginRequestReply> &Reply) {
        const bool Begun = Reply && Reply.value().Disposition_ ==
                                        wire::RequestDisposition::Run;
        if (Begun)
          writeAbandon(Parts, {Key, Reply.value().Attempt_});
      });
}
