//===- EntryMetrics.h - Metrics of an entry node ----------------*- C++ -*-===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_ENTRYMETRICS_H
#define TULIPWEIR_SRC_JOBSERVICE_ENTRYMETRICS_H

#include "tulipweir/net/Metrics.h"

namespace tulipweir::jobservice {

/// What /metrics shows of calls without a leader.
struct EntryMetrics {
  explicit EntryMetrics(net::Metrics &Registry)
      : Answered_(add(Registry, "answered")),
        WithoutLeader_(add(Registry, "no-leader")),
        Unknown_(add(Registry, "unknown")),
        AskedAgain_(Registry.addCounter(
            "tulipweir_entry_calls_asked_again_total",
            "Attempts after one whose outcome is unknown.")),
        OutageLength_(Registry.addHistogram(
            "tulipweir_entry_leader_outage_length_seconds",
            "Length of outages that have ended.")) {}

  net::Counter &Answered_;
  net::Counter &WithoutLeader_;
  net::Counter &Unknown_;
  net::Counter &AskedAgain_;
  net::LatencyHistogram &OutageLength_;

private:
  static net::Counter &add(net::Metrics &Registry, const std::string &Outcome) {
    return Registry.addCounter("tulipweir_entry_calls_total",
                               "Calls by outcome.",
                               "outcome=\"" + Outcome + "\"");
  }
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_ENTRYMETRICS_H
