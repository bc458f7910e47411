//===- BackendClient.h - Sending to backend servers ------------*- C++ -*-===//
//
// What the request path needs of net::HttpClient, so that tests put a fake in
// its place.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_BACKENDCLIENT_H
#define TULIPWEIR_ENTRY_BACKENDCLIENT_H

#include "tulipweir/net/HttpClient.h"

namespace tulipweir::entry {

/// As net::HttpClient, whose promises hold here too. Thread-safe.
class BackendClient {
public:
  virtual ~BackendClient() = default;
  virtual std::uint64_t send(const net::Endpoint &To, net::HttpRequest Request,
                             TimePoint Deadline,
                             net::HttpClient::Callback Done) = 0;
  virtual void cancel(std::uint64_t Exchange) = 0;
  virtual void forget(const net::Endpoint &Peer) = 0;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_BACKENDCLIENT_H
