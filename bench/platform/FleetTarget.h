//===- FleetTarget.h - Interface of a system under load ---------*- C++ -*-===//
//
// The system is either a leader in this process or running programs.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H
#define TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H

#include <functional>
#include <string>
#include <vector>

namespace tulipweir::bench {

/// The system under load. Bodies are in the platform's format. Not thread-safe:
/// callbacks run in advance() and in the calls themselves.
class FleetTarget {
public:
  using ReplyHandler = std::function<void(const std::string &Body)>;

  virtual ~FleetTarget() = default;
  virtual void configure(const std::string &Body) = 0;
  virtual void submit(const std::string &Path, const std::string &Body) = 0;
  /// Passes an empty body to Done unless the answer is a success.
  virtual void report(const std::string &Server, const std::string &Body,
                      ReplyHandler Done) = 0;
  /// Advances the time by Ms milliseconds.
  virtual void advance(int Ms) = 0;
  /// Returns whether the job at the path is known to be completed.
  virtual bool isCompleted(const std::string &Path) = 0;
  /// Returns the processor time used so far; 0 if unknown.
  virtual double getCpuSeconds() = 0;
};

} // namespace tulipweir::bench

#endif // TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H
