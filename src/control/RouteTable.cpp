#include "control/RouteTable.h"

#include "tulipweir/net/Http.h"

#include <algorithm>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::control;

std::string RoutedCall::getQueryParam(std::string_view Name) const {
  net::HttpRequest Request;
  Request.Query_ = Call_.Query_;
  return Request.findQuery(Name);
}

std::uint64_t RoutedCall::getNumberParam(std::string_view Name,
                                         std::uint64_t Default,
                                         std::uint64_t Max) const {
  const std::string Text = getQueryParam(Name);
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::min(Default, Max);
  return std::min(Number, Max);
}

/// Removes and returns the next segment of a path that starts with '/'.
static std::string_view popSegment(std::string_view &Path) {
  Path.remove_prefix(1);
  const std::size_t End = std::min(Path.find('/'), Path.size());
  const std::string_view Segment = Path.substr(0, End);
  Path.remove_prefix(End);
  return Segment;
}

std::optional<std::vector<std::string>>
control::matchPath(std::string_view Pattern, std::string_view Path) {
  std::vector<std::string> Params;
  while (Pattern.starts_with('/') && Path.starts_with('/')) {
    const std::string_view PatternSegment = popSegment(Pattern);
    const std::string_view PathSegment = popSegment(Path);
    if (PatternSegment == "{}" && !PathSegment.empty())
      Params.emplace_back(PathSegment);
    else if (PatternSegment != PathSegment)
      return std::nullopt;
  }
  if (!Pattern.empty() || !Path.empty())
    return std::nullopt;
  return Params;
}
