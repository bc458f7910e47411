//===- EntryMetrics.cpp ---------------------------------------------------===//

#include "tulipweir/entry/EntryMetrics.h"

using namespace tulipweir;
using namespace tulipweir::entry;

EntryMetrics::EntryMetrics(net::Metrics &To)
    : Tries_(To.addCounter("tulipweir_entry_tries_total",
                           "Requests sent to backend servers")),
      Retries_(To.addCounter("tulipweir_entry_retries_total",
                             "Tries after a first one")),
      Hedges_(To.addCounter("tulipweir_entry_hedges_total",
                            "Tries beside a running one")),
      RetriesDenied_(To.addCounter("tulipweir_entry_retries_denied_total",
                                   "Retries and hedges over the budget")),
      WrongIds_(To.addCounter("tulipweir_entry_wrong_ids_total",
                              "Answers that belonged to another request")),
      AttachedRequests_(To.addCounter("tulipweir_entry_attached_total",
                                      "Resends that joined a running request")),
      RecordsFailed_(To.addCounter("tulipweir_entry_records_failed_total",
                                   "Ends that could not be recorded")),
      Announcements_(To.addCounter("tulipweir_entry_announcements_total",
                                   "Announcements passed on")),
      AnnouncementsFailed_(
          To.addCounter("tulipweir_entry_announcements_failed_total",
                        "Announcements refused or without a leader")),
      Reports_(To.addCounter("tulipweir_entry_reports_total",
                             "Reports to the leader")),
      ReportsFailed_(To.addCounter("tulipweir_entry_reports_failed_total",
                                   "Reports without a reply")),
      BundlesAdopted_(To.addCounter("tulipweir_entry_bundles_adopted_total",
                                    "Bundles taken over")),
      BundlesRefused_(To.addCounter("tulipweir_entry_bundles_refused_total",
                                    "Bundles that failed the check")),
      QueueWait_(To.addHistogram("tulipweir_entry_queue_wait_seconds",
                                 "From admission to a slot")),
      BackendLatency_(To.addHistogram("tulipweir_entry_backend_seconds",
                                      "From sending to a whole answer")) {
  for (std::size_t Index = 0; Index < RequestReasonCount; ++Index) {
    const std::string Name(getReasonName(static_cast<RequestReason>(Index)));
    ByReason_[Index] = &To.addCounter("tulipweir_entry_requests_total",
                                      "Callers' requests by how they ended",
                                      "reason=\"" + Name + "\"");
  }
  for (std::size_t Index = 0; Index < RequestOutcomeCount; ++Index) {
    const std::string Name(getOutcomeName(static_cast<RequestOutcome>(Index)));
    ByOutcome_[Index] = &To.addHistogram(
        "tulipweir_entry_request_seconds",
        "From arrival to the answer by outcome", "outcome=\"" + Name + "\"");
  }
}

void EntryMetrics::countResult(const FinalResult &Result, Duration Latency) {
  ByReason_[static_cast<std::size_t>(Result.Reason_)]->add();
  ByOutcome_[static_cast<std::size_t>(Result.Outcome_)]->record(Latency);
}

std::uint64_t EntryMetrics::getResultCount(RequestReason Reason) const {
  return ByReason_[static_cast<std::size_t>(Reason)]->value();
}
