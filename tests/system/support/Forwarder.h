//===- Forwarder.h - A wire that a test can cut ----------------*- C++ -*-===//
//
// Listens on a port and passes bytes on to another. While cut, it passes
// nothing on and closes nothing: each side hears silence, as in a partition.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_SYSTEM_SUPPORT_FORWARDER_H
#define TULIPWEIR_TESTS_SYSTEM_SUPPORT_FORWARDER_H

#include <cstdint>
#include <memory>
#include <string>

namespace tulipweir::system_test {

/// An end of the wire.
struct WireEnd {
  std::string Address_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
};

class Forwarder {
public:
  explicit Forwarder(std::uint16_t To);
  Forwarder(const WireEnd &Listen, const WireEnd &To);
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  std::uint16_t port() const;
  /// On healing, connections from before the cut are closed.
  void setCut(bool Cut);
  /// Open connections pass nothing on any more and stay open; new ones work.
  void silence();
  /// Open connections are reset at both ends.
  void reset();

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::system_test

#endif // TULIPWEIR_TESTS_SYSTEM_SUPPORT_FORWARDER_H
