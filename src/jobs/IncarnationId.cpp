#include "tulipweir/jobs/IncarnationId.h"

#include <charconv>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

IncarnationId IncarnationId::make(std::string ServerId, std::uint64_t BornMs) {
  return {std::move(ServerId), BornMs};
}

IncarnationId IncarnationId::parse(std::string_view Text) {
  const std::size_t Separator = Text.rfind(IncarnationSeparator);
  if (Separator == std::string_view::npos)
    return {std::string(Text), 0};
  std::uint64_t BornMs = 0;
  const char *const Last = Text.data() + Text.size();
  const auto [End, Code] =
      std::from_chars(Text.data() + Separator + 1, Last, BornMs);
  if (Code != std::errc() || End != Last)
    return {std::string(Text), 0};
  return {std::string(Text.substr(0, Separator)), BornMs};
}

std::string IncarnationId::toString() const {
  if (!hasStartTime())
    return ServerId_;
  return ServerId_ + IncarnationSeparator + std::to_string(BornMs_);
}
