#include "jobservice/JobMetrics.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;

JobMetrics::JobMetrics(net::Metrics &To) {
  // In the order of the enumerations.
  Counters_ = {
      &To.addCounter("tulipweir_jobs_total", "Jobs by outcome",
                     "outcome=\"accepted\""),
      &To.addCounter("tulipweir_jobs_total", "Jobs by outcome",
                     "outcome=\"refused\""),
      &To.addCounter("tulipweir_jobs_total", "Jobs by outcome",
                     "outcome=\"completed\""),
      &To.addCounter("tulipweir_jobs_total", "Jobs by outcome",
                     "outcome=\"failed\""),
      &To.addCounter("tulipweir_jobs_total", "Jobs by outcome",
                     "outcome=\"cancelled\""),
      &To.addCounter("tulipweir_task_starts_total", "Starts of tasks",
                     "outcome=\"placed\""),
      &To.addCounter("tulipweir_task_starts_total", "Starts of tasks",
                     "outcome=\"refused\""),
      &To.addCounter("tulipweir_tasks_moved_total",
                     "Tasks stopped to go on elsewhere"),
      &To.addCounter("tulipweir_tasks_lapsed_total",
                     "Tasks given up with their server"),
      &To.addCounter("tulipweir_servers_gone_total",
                     "Backend servers that left or fell silent"),
      &To.addCounter("tulipweir_evacuations_total",
                     "Evacuations of data centres", "outcome=\"begun\""),
      &To.addCounter("tulipweir_evacuations_total",
                     "Evacuations of data centres", "outcome=\"ended\"")};
  Histograms_ = {&To.addHistogram("tulipweir_job_acknowledge_seconds",
                                  "From a submission's arrival to its commit"),
                 &To.addHistogram("tulipweir_job_first_start_seconds",
                                  "From a job's acceptance to its first start"),
                 &To.addHistogram("tulipweir_job_finish_seconds",
                                  "From a job's acceptance to its end"),
                 &To.addHistogram("tulipweir_heartbeat_answer_seconds",
                                  "From a heartbeat's arrival to its answer")};
}

void JobMetrics::add(jobs::Counted What, std::uint64_t By) {
  Counters_.at(static_cast<std::size_t>(What))->add(By);
}

void JobMetrics::record(jobs::Timed What, Duration Took) {
  Histograms_.at(static_cast<std::size_t>(What))->record(Took);
}
