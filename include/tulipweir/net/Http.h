//===- Http.h - HTTP messages as plain values ------------------*- C++ -*-===//
//
// Requests and answers without the library's types, so that only the net
// module includes Beast.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_HTTP_H
#define TULIPWEIR_NET_HTTP_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::net {

struct HttpHeader {
  std::string Name_;
  std::string Value_;
  bool operator==(const HttpHeader &) const = default;
};

struct HttpRequest {
  std::string Method_ = "GET";
  std::string Path_;  ///< Without the query.
  std::string Query_; ///< Without the '?', still percent-encoded.
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  /// The first header of that name, any case; empty if there is none.
  std::string_view findHeader(std::string_view Name) const;
  /// The decoded value of a query parameter; empty if there is none.
  std::string findQuery(std::string_view Name) const;
  bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse {
  unsigned Status_ = 200;
  std::vector<HttpHeader> Headers_;
  std::string Body_;

  std::string_view findHeader(std::string_view Name) const;
  static HttpResponse makeJson(unsigned Status, std::string Body);
  static HttpResponse makeText(unsigned Status, std::string Body);
  bool operator==(const HttpResponse &) const = default;
};

/// Sends the answer; called exactly once, from any thread.
using HttpRespond = std::function<void(HttpResponse)>;
/// Handles one request; runs on a network thread and must not block.
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_HTTP_H
