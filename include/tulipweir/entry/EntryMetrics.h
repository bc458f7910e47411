//===- EntryMetrics.h - What an entry counts -------------------*- C++ -*-===//
//
// Counters and latency histograms of the request path, one per outcome and
// reason.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ENTRYMETRICS_H
#define TULIPWEIR_ENTRY_ENTRYMETRICS_H

#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/net/Metrics.h"

#include <array>

namespace tulipweir::entry {

/// Thread-safe; lives as long as the Metrics it was made in.
class EntryMetrics {
public:
  explicit EntryMetrics(net::Metrics &To);

  void countResult(const FinalResult &Result, Duration Latency);
  std::uint64_t getResultCount(RequestReason Reason) const;

  net::Counter &Tries_;         ///< Requests sent to backend servers.
  net::Counter &Retries_;       ///< Tries after a first one.
  net::Counter &Hedges_;        ///< Tries beside a running one.
  net::Counter &RetriesDenied_; ///< By the budget.
  net::Counter &WrongIds_;      ///< Answers that belonged to another request.
  net::Counter &AttachedRequests_; ///< Resends that joined a running request.
  net::Counter &RecordsFailed_;    ///< Ends that could not be recorded.
  net::Counter &Announcements_;
  net::Counter &AnnouncementsFailed_;
  net::Counter &Reports_;
  net::Counter &ReportsFailed_;
  net::Counter &BundlesAdopted_;
  net::Counter &BundlesRefused_;
  net::LatencyHistogram &QueueWait_;
  net::LatencyHistogram &BackendLatency_;

private:
  std::array<net::Counter *, RequestReasonCount> ByReason_{};
  std::array<net::LatencyHistogram *, RequestOutcomeCount> ByOutcome_{};
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ENTRYMETRICS_H
