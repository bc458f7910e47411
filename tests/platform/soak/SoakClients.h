//===- SoakClients.h - Clients and operators during a soak ----------------===//
//
// Hand jobs in, cancel some, look at them, put configurations and read them
// back, and write down whatever must never be seen. What holds at all times is
// checked here; what has to come true once the faults are over, by the test.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H
#define TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H

#include "platform/system/PlatformCluster.h"

#include <atomic>
#include <random>
#include <thread>

namespace tulipweir::platform_test {

/// What its client was told of a job.
struct JobFate {
  bool IsAccepted_ = false;
  bool IsRefused_ = false;   ///< It was said never to run.
  bool IsCancelled_ = false; ///< The cancellation was acknowledged.
  /// One was sent and has no clear answer: it holds, or it was never taken.
  bool MayBeCancelled_ = false;
  bool WasCompleted_ = false;

  /// Whether the job may be in this state once all is over.
  bool mayEndAs(const std::string &State) const {
    const bool MayBeOff = IsCancelled_ || MayBeCancelled_;
    return State == "completed" || (MayBeOff && State == "cancelled");
  }
};

/// Runs threads of its own from construction to stop().
class SoakClients {
public:
  SoakClients(PlatformCluster &World, std::uint64_t Seed);
  ~SoakClients() { stop(); }
  SoakClients(const SoakClients &) = delete;
  SoakClients &operator=(const SoakClients &) = delete;

  void stop();

  // After stop().

  const std::map<std::string, JobFate> &fates() const { return Fates_; }
  std::uint64_t getAckedVersion() const { return Acked_; }

private:
  using Random = std::mt19937_64;
  void handInJobs(Random Draw);
  void handIn(const std::string &Id, Random &Draw);
  void cancel(const std::string &Id, JobFate &Fate, int Entry);
  void look(const std::string &Id, JobFate &Fate, Random &Draw);
  void putConfigurations(Random Draw);
  void readConfigurations(Random Draw);
  void pause(std::chrono::milliseconds Time) const;

  PlatformCluster &World_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::uint64_t> Acked_{0};  ///< The newest acknowledged version.
  std::map<std::string, JobFate> Fates_; ///< Of the thread that hands in.
  std::vector<std::thread> Threads_;
};

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H
