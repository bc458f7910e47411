//===- RequestSender.h - Requests to backend servers -----------*- C++ -*-===//
//
// Handles a request from admission through the choice of a server, sending,
// retries and hedges to its result. Only complete responses with the request's
// own id are returned. A request that is not repeatable is never sent again
// once a server may have processed a byte of it.
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

/// Sends a request and reports its result exactly once. Thread-safe.
class Sender {
public:
  virtual ~Sender() = default;
  virtual void send(SharedRequest Request, ResultCallback Done) = 0;
};

/// The dependencies of RequestSender. Referenced objects outlive it.
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
