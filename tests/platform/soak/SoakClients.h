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
struct JobHistory {
  bool IsAccepted_ = false;
  bool IsRefused_ = false;   ///< It was said never to run.
  bool IsCancelled_ = false; ///< The cancellation was acknowledged.
  /// One was sent and has no clear answer: it holds, or it was never taken.
  bool MayBeCancelled_ = false;
  bool WasCompleted_ = false;

  /// Whether the job may be in this state once all is over.
  bool canEndAs(const std::string &State) const {
    const bool MayBeCancelled = IsCancelled_ || MayBeCancelled_;
    return State == "completed" || (MayBeCancelled && State == "cancelled");
  }
};

/// Runs threads of its own from construction to stop().
class SoakClients {
public:
  SoakClients(PlatformCluster &Cluster, std::uint64_t Seed);
  ~SoakClients() { stop(); }
  SoakClients(const SoakClients &) = delete;
  SoakClients &operator=(const SoakClients &) = delete;

  void stop();

  // After stop().

  const std::map<std::string, JobHistory> &histories() const {
    return Histories_;
  }
  std::uint64_t getAckedVersion() const { return AckedVersion_; }

private:
  using Random = std::mt19937_64;
  void submitJobs(Random Draw);
  void submitJob(const std::string &Id, Random &Draw);
  void cancel(const std::string &Id, JobHistory &History, int Entry);
  void checkJob(const std::string &Id, JobHistory &History, Random &Draw);
  void putConfigurations(Random Draw);
  void readConfigurations(Random Draw);
  void pause(std::chrono::milliseconds Time) const;

  PlatformCluster &Cluster_;
  std::atomic<bool> Stopping_{false};
  std::atomic<std::uint64_t> AckedVersion_{
      0}; ///< The newest acknowledged version.
  std::map<std::string, JobHistory>
      Histories_; ///< Of the thread that hands in.
  std::vector<std::thread> Threads_;
};

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SOAK_SOAKCLIENTS_H
