//===- Ticket.h - Keys that an entry issues --------------------*- C++ -*-===//
//
// A ticket is "<data centre>.<time ms>.<random>". The data centre is where its
// record lives, and the time bounds how long that record must be kept.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_TICKET_H
#define TULIPWEIR_ENTRY_TICKET_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::entry {

struct Ticket {
  DataCentreId Home_;
  WallTime IssuedAt_{};
  std::string Random_; ///< Lower-case hexadecimal.

  static Ticket makeFor(const DataCentreId &Home, WallTime Now,
                        std::uint64_t RandomHigh, std::uint64_t RandomLow);
  /// Reads a ticket's text; fails with InvalidArgument.
  static Outcome<Ticket> parse(std::string_view Text);
  std::string toString() const;
  bool operator==(const Ticket &) const = default;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_TICKET_H
