#include "jobservice/JobMetrics.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;

namespace {
struct CounterText {
  const char *Name_;
  const char *Help_;
  const char *Labels_;
};
struct HistogramText {
  const char *Name_;
  const char *Help_;
};
} // namespace

// The entries of both arrays follow the order of jobs::Counted and jobs::Timed.
static constexpr std::array<CounterText, JobMetrics::Counters> CounterTexts = {{
    {"tulipweir_jobs_total", "Jobs by outcome", "outcome=\"accepted\""},
    {"tulipweir_jobs_total", "Jobs by outcome", "outcome=\"refused\""},
    {"tulipweir_jobs_total", "Jobs by outcome", "outcome=\"completed\""},
    {"tulipweir_jobs_total", "Jobs by outcome", "outcome=\"failed\""},
    {"tulipweir_jobs_total", "Jobs by outcome", "outcome=\"cancelled\""},
    {"tulipweir_task_starts_total", "Starts of tasks", "outcome=\"placed\""},
    {"tulipweir_task_starts_total", "Starts of tasks", "outcome=\"refused\""},
    {"tulipweir_tasks_moved_total", "Tasks stopped to go on elsewhere", ""},
    {"tulipweir_tasks_lapsed_total", "Tasks given up with their server", ""},
    {"tulipweir_servers_gone_total", "Backend servers that left or fell silent",
     ""},
    {"tulipweir_servers_gone_unconfirmed_total",
     "Backend servers removed without the answer of another control", ""},
    {"tulipweir_evacuations_total", "Evacuations of data centres",
     "outcome=\"begun\""},
    {"tulipweir_evacuations_total", "Evacuations of data centres",
     "outcome=\"ended\""},
    {"tulipweir_lapses_heard_total",
     "Leases that ran out while another control heard the server", ""},
    {"tulipweir_reports_answered_early_total",
     "Heartbeats answered before what came of them was committed", ""},
    {"tulipweir_suspicious_crashes_total",
     "Crashes of backend servers that a task may have caused", ""},
    {"tulipweir_tasks_suspected_total",
     "Tasks to be isolated as servers crashed under them", ""},
    {"tulipweir_jobs_given_up_total",
     "Jobs that failed as a task crashed its servers", ""},
    {"tulipweir_waits_beside_room_total",
     "Seconds of long-running steps that waited beside room for their tasks",
     ""},
    {"tulipweir_servers_restarted_total",
     "Backend servers that started again under their id", ""},
    {"tulipweir_reports_without_lease_total",
     "Heartbeats that a leader answered without a lease", "reason=\"late\""},
    {"tulipweir_reports_without_lease_total",
     "Heartbeats that a leader answered without a lease",
     "reason=\"ended incarnation\""},
    {"tulipweir_reports_without_lease_total",
     "Heartbeats that a leader answered without a lease",
     "reason=\"overtaken\""},
    {"tulipweir_reports_without_lease_total",
     "Heartbeats that a leader answered without a lease",
     "reason=\"address taken\""},
    {"tulipweir_reports_relayed_without_lease_total",
     "Heartbeats that a relay answered without a lease", ""},
    {"tulipweir_reports_expired_total",
     "Heartbeats not handled as they waited too long for the leader", ""},
    {"tulipweir_leadership_handed_over_total",
     "Leadership given to a faster VM", ""},
    {"tulipweir_tasks_yielded_total",
     "Long-running tasks stopped in favour of bounded work", ""},
    {"tulipweir_yielded_tasks_returned_total",
     "Long-running tasks that had yielded and started again", ""},
    {"tulipweir_jobs_rejected_total", "Jobs rejected by the admission",
     "reason=\"too late\""},
    {"tulipweir_jobs_rejected_total", "Jobs rejected by the admission",
     "reason=\"lasting full\""},
    {"tulipweir_jobs_returned_total",
     "Jobs accepted when their rejected callers returned in time", ""},
    {"tulipweir_plans_beside_overdue_total",
     "Plans for servers on which an overdue long-running task fits",
     "room=\"taken by bounded work\""},
    {"tulipweir_plans_beside_overdue_total",
     "Plans for servers on which an overdue long-running task fits",
     "room=\"left\""},
    {"tulipweir_plan_records_read_total",
     "Records of steps and tasks that plans have read", ""},
    {"tulipweir_order_steps_read_total",
     "Waiting steps that updates of their order have read", ""},
}};
static constexpr std::array<HistogramText, JobMetrics::Histograms>
    HistogramTexts = {{
        {"tulipweir_job_acknowledge_seconds",
         "From a submission's arrival to its commit"},
        {"tulipweir_job_first_start_seconds",
         "From a job's acceptance to its first start"},
        {"tulipweir_job_finish_seconds", "From a job's acceptance to its end"},
        {"tulipweir_run_stop_seconds",
         "From a job's end to the first order to stop its runs on a server"},
        {"tulipweir_lease_renewal_seconds",
         "From one extension of a backend server's lease to the next"},
        {"tulipweir_heartbeat_answer_seconds",
         "From a heartbeat's arrival to its answer"},
        {"tulipweir_task_absence_seconds",
         "From the last heartbeat with a long-running task to its next "
         "placement"},
        {"tulipweir_task_absence_lease_seconds",
         "The part of an absence until the server's lease expired"},
        {"tulipweir_task_absence_removal_seconds",
         "The part of an absence from the lease's end until the run's end was "
         "committed"},
        {"tulipweir_task_absence_wait_seconds",
         "The part of an absence from the run's end until the placement"},
        {"tulipweir_task_yield_seconds",
         "From the stop of a task that yielded to its next placement"},
        {"tulipweir_job_return_seconds",
         "The time after which a rejected caller was told to return"},
        {"tulipweir_start_plan_seconds",
         "From when a task's step was ready until its start was planned"},
        {"tulipweir_start_commit_seconds",
         "From the plan of a start to its commit"},
        {"tulipweir_end_commit_seconds",
         "From the receipt of a run's end to its commit"},
        {"tulipweir_overdue_beside_room_seconds",
         "How long on end there was room for two tasks of an overdue "
         "long-running step"},
    }};

JobMetrics::JobMetrics(net::Metrics &Metrics) : Metrics_(Metrics) {
  for (std::size_t I = 0; I < Counters; ++I) {
    const CounterText &Text = CounterTexts.at(I);
    Counters_.at(I) = &Metrics.addCounter(Text.Name_, Text.Help_, Text.Labels_);
  }
  for (std::size_t I = 0; I < Histograms; ++I)
    Histograms_.at(I) = &Metrics.addHistogram(HistogramTexts.at(I).Name_,
                                              HistogramTexts.at(I).Help_);
  for (std::size_t I = 0; I < WorkCounters_.size(); ++I)
    WorkCounters_.at(I) = &Metrics.addCounter(
        "tulipweir_leader_work_microseconds_total",
        "The leader's time by kind of work",
        "work=\"" + std::string(getName(static_cast<jobs::LeaderWork>(I))) +
            "\"");
}

void JobMetrics::addWork(jobs::LeaderWork Work, Duration Time) {
  WorkCounters_.at(static_cast<std::size_t>(Work))
      ->add(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(Time).count()));
}

void JobMetrics::add(jobs::JobCounter Counter, std::uint64_t Amount) {
  Counters_.at(static_cast<std::size_t>(Counter))->add(Amount);
}

void JobMetrics::record(jobs::JobTimer Timer, Duration Elapsed) {
  Histograms_.at(static_cast<std::size_t>(Timer))->record(Elapsed);
}

void JobMetrics::recordFirstStart(const std::string &Queue, Duration Waited) {
  Metrics_
      .addHistogram("tulipweir_queue_first_start_seconds",
                    "From a job's acceptance to its first start, by queue",
                    FirstStartQueues_.getLabels(Queue))
      .record(Waited);
}
