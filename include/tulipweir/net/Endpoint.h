//===- Endpoint.h - An IP address and port ---------------------*- C++ -*-===//
//
// Where a process listens. Names are not resolved: only IP numbers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_ENDPOINT_H
#define TULIPWEIR_NET_ENDPOINT_H

#include "tulipweir/core/Error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::net {

struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0; ///< 0 when listening: the system chooses.

  /// Reads "ip:port" or "[ipv6]:port".
  static Outcome<Endpoint> parse(std::string_view Text);
  std::string toString() const;
  auto operator<=>(const Endpoint &) const = default;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_ENDPOINT_H
