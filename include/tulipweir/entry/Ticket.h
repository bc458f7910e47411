//===- Ticket.h - Request keys issued by an entry --------------*- C++ -*-===//
//
// A ticket has the form "<data centre>.<time ms>.<random>". The data centre
// stores the ticket's record, and the time bounds how long the record must be
// kept.
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
  /// Parses a ticket. Fails with InvalidArgument.
  static Outcome<Ticket> parse(std::string_view Text);
  std::string toString() const;
  bool operator==(const Ticket &) const = default;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_TICKET_H
