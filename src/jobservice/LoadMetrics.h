//===- LoadMetrics.h - Gauges of a leader's load ----------------*- C++ -*-===//
//
// The leader's strand publishes its load; pages and gauges read it on any
// thread, so that they never wait for a busy leader.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LOADMETRICS_H
#define TULIPWEIR_SRC_JOBSERVICE_LOADMETRICS_H

#include "jobservice/LoadBoard.h"
#include "jobservice/QueueLabels.h"
#include "tulipweir/net/Metrics.h"

#include <set>

namespace tulipweir::jobservice {

/// publish() is called by one thread at a time, read() by any. The metrics must
/// outlive it; their gauges may outlive this object.
class LoadMetrics {
public:
  explicit LoadMetrics(net::Metrics &Metrics);
  /// Makes the status what pages and gauges show. The gauges of a member that
  /// does not lead are zero.
  void publish(jobs::LoadStatus Status);
  std::shared_ptr<const jobs::LoadStatus> read() const {
    return Board_->read();
  }

private:
  void addShareGauges();
  /// Adds the gauge of a queue that has been published for the first time.
  void addQueueGauge(const std::string &Name);

  net::Metrics &Metrics_;
  const std::shared_ptr<QueueLabels> Labels_ = std::make_shared<QueueLabels>();
  std::set<std::string> Shown_; ///< The names that have gauges.
  const std::shared_ptr<LoadBoard> Board_ = std::make_shared<LoadBoard>();
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LOADMETRICS_H
