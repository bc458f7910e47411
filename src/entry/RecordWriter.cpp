//===- RecordWriter.cpp ---------------------------------------------------===//

#include "entry/RecordWriter.h"

#include <memory>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr Duration CallTimeout = seconds(1);
static constexpr Duration RetryPause = milliseconds(100);
// After this time the record stays in the begun state; the home ends it when
// this process ends.
static constexpr Duration RetryPeriod = seconds(20);

namespace {

/// Retries one idempotent call until it is answered.
template <class Request>
class RetriedCall : public std::enable_shared_from_this<RetriedCall<Request>> {
public:
  using Method = void (ControlClient::*)(const Request &, Duration,
                                         ControlCallback<Request>);
  using Done = std::function<void(Outcome<typename Request::Reply>)>;

  RetriedCall(const RecordWriterDependencies &Deps, Method Call,
              Request Message, Done OnEnd)
      : Deps_(Deps), Call_(Call), Message_(std::move(Message)),
        OnEnd_(std::move(OnEnd)), Deadline_(Deps.Clock_.now() + RetryPeriod) {
    ++*Deps_.Pending_;
  }
  ~RetriedCall() { --*Deps_.Pending_; }

  void send() {
    (Deps_.Home_.*Call_)(Message_, CallTimeout,
                         [Self = this->shared_from_this()](
                             Outcome<typename Request::Reply> Reply) {
                           Self->onReply(std::move(Reply));
                         });
  }

private:
  void onReply(Outcome<typename Request::Reply> Reply) {
    if (!Reply && Deps_.Clock_.now() < Deadline_) {
      Deps_.Timers_.runAfter(
          RetryPause, [Self = this->shared_from_this()] { Self->send(); });
      return;
    }
    if (!Reply)
      Deps_.Metrics_.RecordsFailed_.add();
    OnEnd_(std::move(Reply));
  }

  const RecordWriterDependencies Deps_;
  const Method Call_;
  const Request Message_;
  const Done OnEnd_;
  const TimePoint Deadline_;
};

} // namespace

template <class Request, class Method, class Done>
static void callWithRetries(const RecordWriterDependencies &Deps, Method Call,
                            Request Message, Done OnEnd) {
  std::make_shared<RetriedCall<Request>>(Deps, Call, std::move(Message),
                                         std::move(OnEnd))
      ->send();
}

void entry::writeFinish(const RecordWriterDependencies &Deps,
                        wire::FinishRequest Finish, RecordCallback Done) {
  callWithRetries<wire::FinishRequest>(
      Deps, &ControlClient::finish, std::move(Finish),
      [Done = std::move(Done)](const Outcome<wire::RecordReply> &Reply) {
        Done(Reply && Reply.value().Recorded_);
      });
}

void entry::writeAbandon(const RecordWriterDependencies &Deps,
                         wire::AbandonRequest Abandon) {
  callWithRetries<wire::AbandonRequest>(
      Deps, &ControlClient::abandon, std::move(Abandon),
      [](const Outcome<wire::RecordReply> &) {});
}

void entry::abandonUncertainBegin(const RecordWriterDependencies &Deps,
                                  wire::BeginRequest Begin) {
  const RequestKey Key = Begin.Key_;
  callWithRetries<wire::BeginRequest>(
      Deps, &ControlClient::begin, std::move(Begin),
      [Deps, Key](const Outcome<wire::BeginRequestReply> &Reply) {
        const bool Begun = Reply && Reply.value().Disposition_ ==
                                        wire::RequestDisposition::Run;
        if (Begun)
          writeAbandon(Deps, {Key, Reply.value().Attempt_});
      });
}
