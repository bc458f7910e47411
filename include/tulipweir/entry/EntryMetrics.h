//===- EntryMetrics.h - Metrics of an entry --------------------*- C++ -*-===//
//
// Counters and latency histograms of the request path, by outcome and by
// reason.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ENTRYMETRICS_H
#define TULIPWEIR_ENTRY_ENTRYMETRICS_H

#include "tulipweir/entry/FinalResult.h"
#include "tulipweir/net/Metrics.h"

#include <array>

namespace tulipweir::entry {

/// The metrics of one entry. Thread-safe. Must not outlive the Metrics object
/// that it registers with.
class EntryMetrics {
public:
  explicit EntryMetrics(net::Metrics &To);

  void countResult(const FinalResult &Result, Duration Latency);
  std::uint64_t getResultCount(RequestReason Reason) const;

  net::Counter &Tries_;         ///< Requests sent to backend servers.
  net::Counter &Retries_;       ///< Tries after the first one.
  net::Counter &Hedges_;        ///< Tries started while another one is running.
  net::Counter &RetriesDenied_; ///< Denied by the retry budget.
  net::Counter &WrongIds_;      ///< Responses with the id of another request.
  net::Counter &AttachedRequests_; ///< Resends that joined a running request.
  net::Counter &RecordsFailed_;    ///< Request ends that could not be recorded.
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
