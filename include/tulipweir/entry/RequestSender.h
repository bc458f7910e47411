//===- RequestSender.h - One request to backend servers --------*- C++ -*-===//
//
// Takes a request through admission, the choice of a server, sending, retries
// and hedges to its end. Answers are passed on whole and only with the
// request's own id. A request that may not be repeated is never sent again
// once a byte of it may have been acted upon.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_REQUESTSENDER_H
#define TULIPWEIR_ENTRY_REQUESTSENDER_H

#include "tulipweir/entry/BackendClient.h"
#include "tulipweir/entry/EntryMetrics.h"
#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/entry/Router.h"
#include "tulipweir/entry/ServiceRequest.h"
#include "tulipweir/entry/Timers.h"

#include <functional>
#include <memory>

namespace tulipweir::entry {

using ResultCallback = std::function<void(FinalResult)>;
using SharedRequest = std::shared_ptr<const ServiceRequest>;

/// Sends a request somewhere and reports its end exactly once. Thread-safe.
class Sender {
public:
  virtual ~Sender() = default;
  virtual void send(SharedRequest Request, ResultCallback Done) = 0;
};

/// What the sending needs; all of it outlives the sender.
struct RequestSenderDependencies {
  Router &Router_;
  BackendClient &Client_;
  Timers &Timers_;
  const Clock &Clock_;
  EntryMetrics &Metrics_;
};

class RequestSender final : public Sender {
public:
  explicit RequestSender(const RequestSenderDependencies &Deps) : Deps_(Deps) {}
  void send(SharedRequest Request, ResultCallback Done) override;

private:
  RequestSenderDependencies Deps_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_REQUESTSENDER_H
