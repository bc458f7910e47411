//===- QueueLabels.h - Labels of metrics by queue ---------------*- C++ -*-===//
//
// Configurations come and go, but a metric that was created stays. So the
// number of queues with metrics of their own is bounded.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_QUEUELABELS_H
#define TULIPWEIR_SRC_JOBSERVICE_QUEUELABELS_H

#include <cstddef>
#include <mutex>
#include <set>
#include <string>

namespace tulipweir::jobservice {

/// Thread-safe.
class QueueLabels {
public:
  /// Most queues with labels of their own. A histogram takes less than a
  /// kilobyte, and far fewer queues are read one by one.
  static constexpr std::size_t MaxQueues = 64;
  /// The name under which all further queues are shown.
  static constexpr const char *Others = "(others)";

  /// Returns the name under which the queue is shown.
  std::string getName(const std::string &Queue);
  /// Returns the Prometheus labels of the queue.
  std::string getLabels(const std::string &Queue);
  static std::string makeLabels(const std::string &Name);

private:
  std::mutex Lock_;
  std::set<std::string> Known_; ///< Guarded by Lock_.
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_QUEUELABELS_H
