//===- FleetTarget.h - What a FleetSimulator speaks to -------------*- C++
//-*-===//
//
// Either a leader in this process, driven by hand, or programs that run.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H
#define TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H

#include <functional>
#include <string>
#include <vector>

namespace tulipweir::bench {

/// Bodies are in the platform's words. Not thread-safe: callbacks run in
/// advance() and in the calls themselves.
class FleetTarget {
public:
  using ReplyHandler = std::function<void(const std::string &Body)>;

  virtual ~FleetTarget() = default;
  virtual void configure(const std::string &Body) = 0;
  virtual void submit(const std::string &Path, const std::string &Body) = 0;
  /// Done gets an empty body when there was no good answer.
  virtual void report(const std::string &Server, const std::string &Body,
                      ReplyHandler Done) = 0;
  /// Lets so much time pass.
  virtual void advance(int Ms) = 0;
  /// Whether the job at the path is known to be completed.
  virtual bool isCompleted(const std::string &Path) = 0;
  /// Processor time so far; 0 where it is not known.
  virtual double getCpuSeconds() = 0;
};

} // namespace tulipweir::bench

#endif // TULIPWEIR_BENCH_PLATFORM_FLEETTARGET_H
