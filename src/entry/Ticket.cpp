//===- Ticket.cpp ---------------------------------------------------------===//

#include "tulipweir/entry/Ticket.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

using namespace tulipweir;
using namespace tulipweir::entry;

static constexpr std::size_t RandomDigits = 32;

static bool isHex(char Byte) {
  return (Byte >= '0' && Byte <= '9') || (Byte >= 'a' && Byte <= 'f');
}

Ticket Ticket::makeFor(const DataCentreId &Home, WallTime Now,
                       std::uint64_t RandomHigh, std::uint64_t RandomLow) {
  char Digits[RandomDigits + 1];
  std::snprintf(Digits, sizeof(Digits), "%016llx%016llx",
                static_cast<unsigned long long>(RandomHigh),
                static_cast<unsigned long long>(RandomLow));
  return {Home, Now, Digits};
}

Outcome<Ticket> Ticket::parse(std::string_view Text) {
  // The text is parsed from the right, because the data centre's name may
  // contain dots.
  const std::size_t Last = Text.rfind('.');
  const std::size_t Middle = Last == std::string_view::npos || Last == 0
                                 ? std::string_view::npos
                                 : Text.rfind('.', Last - 1);
  if (Middle == std::string_view::npos || Middle == 0)
    return fail(ErrorCode::InvalidArgument,
                "a ticket must have three parts separated by dots");
  const std::string_view Time = Text.substr(Middle + 1, Last - Middle - 1);
  const std::string_view Random = Text.substr(Last + 1);
  std::int64_t Ms = 0;
  const auto [End, Problem] =
      std::from_chars(Time.data(), Time.data() + Time.size(), Ms);
  if (Problem != std::errc() || End != Time.data() + Time.size() || Ms < 0)
    return fail(ErrorCode::InvalidArgument,
                "the time of a ticket must be a number");
  if (Random.size() != RandomDigits ||
      !std::all_of(Random.begin(), Random.end(), isHex))
    return fail(ErrorCode::InvalidArgument,
                "a ticket must end in 32 hexadecimal digits");
  return Ticket{DataCentreId(std::string(Text.substr(0, Middle))), WallTime(Ms),
                std::string(Random)};
}

std::string Ticket::toString() const {
  return Home_.value() + "." + std::to_string(IssuedAt_.count()) + "." +
         Random_;
}
