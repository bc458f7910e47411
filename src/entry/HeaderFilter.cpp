//===- HeaderFilter.cpp ---------------------------------------------------===//

#include "entry/HeaderFilter.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

using namespace tulipweir;
using namespace tulipweir::entry;

// Hop-by-hop headers and headers that each HTTP message sets itself. They are
// not forwarded.
static constexpr std::array<std::string_view, 11> HopHeaders{
    "connection", "content-length",   "expect",
    "host",       "keep-alive",       "proxy-connection",
    "te",         "trailer",          "proxy-authorization",
    "upgrade",    "transfer-encoding"};
static constexpr std::string_view TulipweirPrefix = "x-tulipweir-";

static std::string toLower(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(), [](char Byte) {
    return Byte >= 'A' && Byte <= 'Z' ? static_cast<char>(Byte - 'A' + 'a')
                                      : Byte;
  });
  return Result;
}

bool entry::isPassedOn(const net::HttpHeader &Header) {
  const std::string Name = toLower(Header.Name_);
  if (Name.starts_with(TulipweirPrefix))
    return false;
  return std::find(HopHeaders.begin(), HopHeaders.end(), Name) ==
         HopHeaders.end();
}

std::vector<net::HttpHeader>
entry::filterHeaders(const std::vector<net::HttpHeader> &Headers) {
  std::vector<net::HttpHeader> Kept;
  Kept.reserve(Headers.size());
  std::copy_if(Headers.begin(), Headers.end(), std::back_inserter(Kept),
               isPassedOn);
  return Kept;
}
