//===- PeerCaller.h - Calls to other control processes ---------*- C++ -*-===//
//
// Addresses control processes by name, whichever groups they share with this
// one. One link per process carries the replication of both groups and the
// calls.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_PEERCALLER_H
#define TULIPWEIR_SRC_CONTROL_PEERCALLER_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/wire/Codec.h"
#include "tulipweir/wire/MessageKind.h"

#include <functional>
#include <string>

namespace tulipweir::control {

/// Thread-safe; never blocks.
class PeerCaller {
public:
  using Reply = std::function<void(Outcome<std::string>)>;

  virtual ~PeerCaller() = default;
  /// Works like net::LinkClient::call; replies Unavailable for an unknown name.
  virtual void call(const std::string &To, wire::MessageKind Kind,
                    std::string Body, Duration Timeout, Reply Done) = 0;
  /// Sends a one-way message, which may be lost.
  virtual void post(const std::string &To, wire::MessageKind Kind,
                    std::string Body) = 0;

  /// Typed variant of call().
  template <class Request>
  void request(const std::string &To, const Request &Value, Duration Timeout,
               std::function<void(Outcome<typename Request::Reply>)> Done) {
    call(To, Request::Kind, wire::encode(Value), Timeout,
         [Done = std::move(Done)](Outcome<std::string> Body) {
           if (!Body)
             return Done(std::move(Body).as_failure());
           Done(wire::decode<typename Request::Reply>(Body.value()));
         });
  }
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_PEERCALLER_H
