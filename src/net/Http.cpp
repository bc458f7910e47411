#include "tulipweir/net/Http.h"

#include <utility>

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <optional>

using namespace tulipweir;
using namespace tulipweir::net;

static std::string_view findIn(const std::vector<HttpHeader> &Headers,
                               std::string_view Name) {
  const boost::beast::string_view Wanted(Name.data(), Name.size());
  for (const HttpHeader &Header : Headers)
    if (boost::beast::iequals(Header.Name_, Wanted))
      return Header.Value_;
  return {};
}

/// Reads two hexadecimal digits, if they are.
static std::optional<char> readHex(std::string_view Digits) {
  unsigned char Byte = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Last, Code] = std::from_chars(Digits.data(), End, Byte, 16);
  if (Digits.size() != 2 || Code != std::errc() || Last != End)
    return std::nullopt;
  return static_cast<char>(Byte);
}

static std::string decodePercent(std::string_view Text) {
  std::string Decoded;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const auto Byte =
        Text[I] == '%' ? readHex(Text.substr(I + 1, 2)) : std::nullopt;
    if (Byte)
      I += 2;
    const char Plain = Text[I] == '+' ? ' ' : Text[I];
    Decoded.push_back(Byte.value_or(Plain));
  }
  return Decoded;
}

std::string_view HttpRequest::findHeader(std::string_view Name) const {
  return findIn(Headers_, Name);
}

std::string HttpRequest::findQuery(std::string_view Name) const {
  std::string_view Rest = Query_;
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Pair.size() + 1, Rest.size()));
    const std::size_t Equals = Pair.find('=');
    if (decodePercent(Pair.substr(0, Equals)) != Name)
      continue;
    if (Equals == std::string_view::npos)
      return {};
    return decodePercent(Pair.substr(Equals + 1));
  }
  return {};
}

std::string_view HttpResponse::findHeader(std::string_view Name) const {
  return findIn(Headers_, Name);
}

HttpResponse HttpResponse::makeJson(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

HttpResponse HttpResponse::makeText(unsigned Status, std::string Body) {
  return {
      Status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(Body)};
}
