#include "control/RouteTable.h"

#include "tulipweir/net/Http.h"

#include <algorithm>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::control;

std::string RoutedCall::findQuery(std::string_view Name) const {
  net::HttpRequest Request;
  Request.Query_ = Call_.Query_;
  return Request.findQuery(Name);
}

std::uint64_t RoutedCall::findNumber(std::string_view Name,
                                     std::uint64_t Default,
                                     std::uint64_t Most) const {
  const std::string Text = findQuery(Name);
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Read.ec != std::errc() || Read.ptr != End)
    return std::min(Default, Most);
  return std::min(Number, Most);
}

/// Takes the next segment of a path that begins with '/'.
static std::string_view takeSegment(std::string_view &Path) {
  Path.remove_prefix(1);
  const std::size_t End = std::min(Path.find('/'), Path.size());
  const std::string_view Segment = Path.substr(0, End);
  Path.remove_prefix(End);
  return Segment;
}

std::optional<std::vector<std::string>>
control::matchPath(std::string_view Pattern, std::string_view Path) {
  std::vector<std::string> Words;
  while (Pattern.starts_with('/') && Path.starts_with('/')) {
    const std::string_view Wanted = takeSegment(Pattern);
    const std::string_view Found = takeSegment(Path);
    if (Wanted == "{}" && !Found.empty())
      Words.emplace_back(Found);
    else if (Wanted != Found)
      return std::nullopt;
  }
  if (!Pattern.empty() || !Path.empty())
    return std::nullopt;
  return Words;
}
