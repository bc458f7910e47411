//===- SoakClients.h - Clients and operators during a soak test -----------===//
//
// They submit, cancel and query jobs, write and read configurations, and
// record violations. Guarantees that hold at all times are checked here; those
// that hold once all faults are repaired, in SoakTest.cpp.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H
#define TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H

#include "platform/system/PlatformCluster.h"

#include <atomic>
#include <random>
#include <thread>

namespace tulipweir::platform_test {

/// The answers that a client received about a job.
struct JobHistory {
  bool IsAccepted_ = false;
  bool IsRefused_ = false;   ///< The job will never run.
  bool IsCancelled_ = false; ///< The cancellation was acknowledged.
  /// A cancellation with unknown outcome was sent: it may or may not take
  /// effect.
  bool MayBeCancelled_ = false;
  bool WasCompleted_ = false;

  /// Returns whether the job may finally be in this state.
  bool canEndAs(const std::string &State) const {
    const bool MayBeCancelled = IsCancelled_ || MayBeCancelled_;
    return State == "completed" || (MayBeCancelled && State == "cancelled");
  }
};

/// Runs its own threads from construction to stop().
class SoakClients {
public:
  SoakClients(PlatformCluster &Cluster, std::uint64_t Seed);
  ~SoakClients() { stop(); }
  SoakClients(const SoakClients &) = delete;
  SoakClients &operator=(const SoakClients &) = delete;

  void stop();

  // The following functions are called after stop().

  const std::map<std::string, JobHistory> &histories() const {
    return Histories_;
  }
  std::uint64_t getAckedVersion() const { return AckedVersion_; }

private:
  using Random = std::mt19937_64;
  void submitJobs(Random Generator);
  void submitJob(const std::string &Id, Random &Generator);
  void cancel(const std::string &Id, JobHistory &History, int Entry);
  void checkJob(const std::string &Id, JobHistory &History, Random &Generator);
  void putConfigurations(Random Generator);
  void readConfigurations(Random Generator);
  void pause(std::chrono::milliseconds Time) const;

  PlatformCluster &Cluster_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::uint64_t> AckedVersion_{
      0}; ///< The newest acknowledged version.
  /// Used by the submitting thread.
  std::map<std::string, JobHistory> Histories_;
  std::vector<std::thread> Threads_;
};

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H
