#include "net/HttpText.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::net;

namespace http = boost::beast::http;

static bool isFraming(std::string_view Name) {
  static constexpr std::array<std::string_view, 6> Framing = {
      "connection",        "content-length", "keep-alive",
      "transfer-encoding", "upgrade",        "proxy-connection"};
  const boost::beast::string_view Text(Name.data(), Name.size());
  for (std::string_view Each : Framing)
    if (Each.size() == Name.size() &&
        boost::beast::iequals(Text, {Each.data(), Each.size()}))
      return true;
  return false;
}

static bool breaksLine(std::string_view Text) {
  return Text.find_first_of(std::string_view("\r\n\0", 3)) !=
         std::string_view::npos;
}

static void appendHeader(std::string &Head, std::string_view Name,
                         std::string_view Value) {
  Head.append(Name).append(": ").append(Value).append("\r\n");
}

static void appendHeaders(std::string &Head,
                          const std::vector<HttpHeader> &Headers) {
  for (const HttpHeader &Header : Headers)
    if (!isFraming(Header.Name_) && !breaksLine(Header.Name_) &&
        !breaksLine(Header.Value_))
      appendHeader(Head, Header.Name_, Header.Value_);
}

std::string net::writeResponseHead(const HttpResponse &Response,
                                   bool KeepAlive) {
  const auto Reason =
      http::obsolete_reason(static_cast<http::status>(Response.Status_));
  std::string Head;
  Head.reserve(512);
  Head.append("HTTP/1.1 ").append(std::to_string(Response.Status_));
  Head.append(" ").append(Reason.data(), Reason.size()).append("\r\n");
  appendHeaders(Head, Response.Headers_);
  const bool Bodiless = Response.Status_ == 204 || Response.Status_ < 200;
  if (!Bodiless)
    appendHeader(Head, "Content-Length", std::to_string(Response.Body_.size()));
  appendHeader(Head, "Connection", KeepAlive ? "keep-alive" : "close");
  return Head.append("\r\n");
}

std::string net::writeRequestHead(const HttpRequest &Request,
                                  std::string_view Host) {
  std::string Head;
  Head.reserve(512);
  Head.append(Request.Method_).append(" ").append(Request.Path_);
  if (!Request.Query_.empty())
    Head.append("?").append(Request.Query_);
  Head.append(" HTTP/1.1\r\n");
  if (Request.findHeader("Host").empty())
    appendHeader(Head, "Host", Host);
  appendHeaders(Head, Request.Headers_);
  const bool Bodiless = Request.Method_ == "GET" || Request.Method_ == "HEAD";
  if (!Bodiless || !Request.Body_.empty())
    appendHeader(Head, "Content-Length", std::to_string(Request.Body_.size()));
  return Head.append("\r\n");
}

HttpRequest net::takeRequest(http::request<http::string_body> &From) {
  HttpRequest Request;
  Request.Method_ = std::string(From.method_string());
  const auto Target = From.target();
  const std::size_t Mark = std::min(Target.find('?'), Target.size());
  Request.Path_ = std::string(Target.substr(0, Mark));
  if (Mark < Target.size())
    Request.Query_ = std::string(Target.substr(Mark + 1));
  Request.Headers_ = takeHeaders(From);
  Request.Body_ = std::move(From.body());
  return Request;
}

HttpResponse net::takeResponse(http::response<http::string_body> &From) {
  return {From.result_int(), takeHeaders(From), std::move(From.body())};
}
