//===- Configuration.h - Current queues and services -----------*- C++ -*-===//
//
// The part of a versioned configuration that jobs depend on. The highest
// accepted version is current; versions only increase.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_CONFIGURATION_H
#define TULIPWEIR_JOBS_CONFIGURATION_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::jobs {

/// Timing of an advice service, which restricts the servers that may run a
/// queue's steps.
struct AdvicePolicy {
  bool IsRequired_ = false;
  std::uint64_t PerCallMs_ = 0;   ///< Time limit for each call.
  std::uint64_t PerServerMs_ = 0; ///< Added per server named in the call.
  std::uint64_t ValidMs_ = 0;     ///< How long an answer stays valid.
  bool operator==(const AdvicePolicy &) const = default;
};

/// A queue that accepts jobs, and its scheduling policy.
struct QueuePolicy {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Service_;
  std::uint64_t Priority_ = 0; ///< 0 is the highest.
  std::uint64_t Attempts_ = 1; ///< Failed runs of one task that fail its job.
  /// A job is due after this percentage of its longest chain of declared work,
  /// plus ObjectiveMs_.
  std::uint64_t StretchPercent_ = 100;
  std::uint64_t ObjectiveMs_ = 0;
  AdvicePolicy Advice_;
  bool operator==(const QueuePolicy &) const = default;

  /// Returns an id of the queue that is the same in all configuration versions.
  std::string getKey() const { return Host_ + PathPrefix_; }
};

struct ServicePolicy {
  std::string Name_;
  /// Whether the servers themselves refuse tasks that exceed their capacity.
  bool EnforcesCapacity_ = false;
  bool Standby_ = false;
  bool operator==(const ServicePolicy &) const = default;
};

struct Configuration {
  std::uint64_t Version_ = 0; ///< 0 if none has been accepted.
  std::vector<QueuePolicy> Queues_;
  std::vector<ServicePolicy> Services_;
  std::string Source_; ///< The text that the operator sent, returned on reads.
  bool operator==(const Configuration &) const = default;

  /// Returns the queue at this host with the longest prefix of Path, or
  /// nullptr.
  const QueuePolicy *findQueue(std::string_view Host,
                               std::string_view Path) const;
  const QueuePolicy *findQueueByKey(std::string_view Key) const;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_CONFIGURATION_H
