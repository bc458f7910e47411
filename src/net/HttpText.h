//===- HttpText.h - HTTP messages as bytes ---------------------*- C++ -*-===//
//
// Writes the head of a message in one go; Beast's serializer makes several
// buffers and allocations of it, which the path of a request can't afford.
// Private to the net module. Reading is Beast's.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_HTTPTEXT_H
#define TULIPWEIR_SRC_NET_HTTPTEXT_H

#include "tulipweir/net/Http.h"

#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace tulipweir::net {

/// The status line and headers with the body's length. Headers that would
/// break the framing (of length or connection, or with a line end inside) are
/// left out.
std::string writeResponseHead(const HttpResponse &Response, bool KeepAlive);
/// The request line and headers towards Host.
std::string writeRequestHead(const HttpRequest &Request, std::string_view Host);

/// Feeds the parser from Input; returns what the parser says. The header is
/// read by itself first: an eager parser of Beast 1.74 goes on into the body
/// when the header names one over the limit, and loses the error.
template <class Parser>
boost::system::error_code feedParser(Parser &To,
                                     boost::beast::flat_buffer &Input) {
  boost::system::error_code Problem;
  To.eager(To.is_header_done());
  Input.consume(To.put(Input.data(), Problem));
  return Problem;
}

/// Copies the fields of a message that Beast has read.
template <class Fields>
std::vector<HttpHeader> takeHeaders(const Fields &From) {
  std::vector<HttpHeader> Headers;
  Headers.reserve(8);
  for (const auto &Field : From)
    Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Headers;
}

/// Moves the parts of a request that Beast has read out of it.
HttpRequest
takeRequest(boost::beast::http::request<boost::beast::http::string_body> &From);
HttpResponse takeResponse(
    boost::beast::http::response<boost::beast::http::string_body> &From);

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_HTTPTEXT_H
