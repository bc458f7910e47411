//===- LoadReport.h - Outcomes counted and latencies measured --*- C++ -*-===//
//
// What a run of the load program found. Latency is counted from when a request
// was meant to leave, so that a stall is seen by all that it held up.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_LOAD_LOADREPORT_H
#define TULIPWEIR_TOOLS_LOAD_LOADREPORT_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tulipweir::load {

/// How one request ended for its caller.
enum class RequestOutcome : std::uint8_t {
  Served,
  NotRun,
  Unknown,
  Refused, ///< Conflict, expired ticket, a limit, or a bad request.
  Failed,  ///< The service's own error.
  Broken,  ///< No answer that our protocol allows.
  Wrong,   ///< An answer that is not to this request, or not whole.
};
inline constexpr std::size_t OutcomeCount = 7;
const char *getOutcomeName(RequestOutcome Outcome);

/// Thread-safe.
class LoadReport {
public:
  LoadReport();
  ~LoadReport();
  LoadReport(const LoadReport &) = delete;
  LoadReport &operator=(const LoadReport &) = delete;

  void record(RequestOutcome Outcome, unsigned Status, Duration Latency);
  void noteSent() { noteTo(Sent_); }
  void noteResent() { noteTo(Resent_); }
  void noteLateSend() { noteTo(LateSends_); }
  std::uint64_t getCount(RequestOutcome Outcome) const;
  /// The whole report as one line of JSON.
  std::string render(Duration Length) const;

private:
  void noteTo(std::uint64_t &Count);

  struct Latencies;
  mutable std::mutex Lock_;
  std::uint64_t Sent_ = 0;
  std::uint64_t Resent_ = 0;
  /// Sends that began over a millisecond late: the load program's own fault.
  std::uint64_t LateSends_ = 0;
  std::map<unsigned, std::uint64_t> Statuses_;
  std::unique_ptr<Latencies> Latencies_;
};

} // namespace tulipweir::load

#endif // TULIPWEIR_TOOLS_LOAD_LOADREPORT_H
