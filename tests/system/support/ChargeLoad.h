//===- ChargeLoad.h - Callers that must not be charged twice ---*- C++ -*-===//
//
// Threads that send requests which may not be repeated, each under a ticket of
// its own, and send them again under that ticket until the answer is final.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_SYSTEM_SUPPORT_CHARGELOAD_H
#define TULIPWEIR_TESTS_SYSTEM_SUPPORT_CHARGELOAD_H

#include "system/support/Cluster.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace tulipweir::system_test {

/// How one charge ended for its caller.
struct ChargeEnd {
  std::string Path_;
  std::string Outcome_; ///< "served", "not-run", "unknown" or "none".
  std::string Body_;
};

struct ChargeLoadShape {
  std::vector<std::uint16_t> Ports_; ///< Entries, used in turn.
  std::size_t Threads_ = 4;
  std::size_t MaxSends_ = 40;
  Milliseconds Deadline_{2000};
  Milliseconds Pause_{20};
  std::string Query_ = "serviceUs=20000";
};

class ChargeLoad {
public:
  ChargeLoad(Cluster &Callee, const ChargeLoadShape &Shape);
  ~ChargeLoad() { stop(); }
  ChargeLoad(const ChargeLoad &) = delete;
  ChargeLoad &operator=(const ChargeLoad &) = delete;

  /// Begins no more charges and waits for the ends of all.
  void stop();
  std::size_t countServed() const;
  /// Waits until that many more were served.
  bool waitForServed(std::size_t More);
  /// Ends that the audit contradicts, and charges that were never served.
  std::vector<std::string> listFaults(const Audit &Ran) const;

private:
  void runCaller(std::size_t Thread);
  ChargeEnd chargeOnce(const std::string &Path, std::size_t &Turn);

  Cluster &Callee_;
  const ChargeLoadShape Shape_;
  std::atomic<bool> Stopping_{false};
  mutable std::mutex Lock_;
  std::vector<ChargeEnd> Ends_;
  std::vector<std::thread> Threads_;
};

} // namespace tulipweir::system_test

#endif // TULIPWEIR_TESTS_SYSTEM_SUPPORT_CHARGELOAD_H
