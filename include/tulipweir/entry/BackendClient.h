//===- BackendClient.h - Client for backend servers ------------*- C++ -*-===//
//
// Declares the part of net::HttpClient that the request path uses, so that
// tests can substitute a fake.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_BACKENDCLIENT_H
#define TULIPWEIR_ENTRY_BACKENDCLIENT_H

#include "tulipweir/net/HttpClient.h"

namespace tulipweir::entry {

/// Sends HTTP requests to backend servers with the guarantees of
/// net::HttpClient. Thread-safe.
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
