#include "jobservice/LoadMetrics.h"

#include <array>

using namespace tulipweir;
using namespace tulipweir::jobservice;

namespace {

struct ShareGauge {
  const char *Labels_;
  std::int64_t jobs::ShareStatus::*Field_;
};

} // namespace

static constexpr double MilliCpusPerCpu = 1000;
static constexpr std::array<ShareGauge, 6> ShareGauges = {{
    {"share=\"capacity\"", &jobs::ShareStatus::Capacity_},
    {"share=\"lasting\"", &jobs::ShareStatus::Lasting_},
    {"share=\"lasting waiting\"", &jobs::ShareStatus::LastingWaiting_},
    {"share=\"bounded\"", &jobs::ShareStatus::Bounded_},
    {"share=\"bounded waiting\"", &jobs::ShareStatus::BoundedWaiting_},
    {"share=\"yieldable\"", &jobs::ShareStatus::Yieldable_},
}};

LoadMetrics::LoadMetrics(net::Metrics &Metrics) : Metrics_(Metrics) {
  addShareGauges();
}

void LoadMetrics::addShareGauges() {
  for (const ShareGauge &Gauge : ShareGauges)
    Metrics_.addGauge(
        "tulipweir_share_cpus", "Processors by the work that has or needs them",
        [Board = Board_, Field = Gauge.Field_] {
          return double(Board->read()->Shares_.*Field) / MilliCpusPerCpu;
        },
        Gauge.Labels_);
  Metrics_.addGauge(
      "tulipweir_tasks_yielding",
      "Long-running tasks that have yielded and not returned",
      [Board = Board_] { return double(Board->read()->Shares_.Yielding_); });
}

void LoadMetrics::addQueueGauge(const std::string &Name) {
  const auto Read = [Board = Board_, Labels = Labels_, Name] {
    std::uint64_t Waiting = 0;
    for (const jobs::QueueBacklog &Queue : Board->read()->Queues_)
      if (Labels->getName(Queue.Queue_) == Name)
        Waiting += Queue.Waiting_;
    return double(Waiting);
  };
  Metrics_.addGauge("tulipweir_jobs_waiting",
                    "Accepted jobs of which no task has started, by queue",
                    Read, QueueLabels::makeLabels(Name));
}

void LoadMetrics::publish(jobs::LoadStatus Status) {
  for (const jobs::QueueBacklog &Queue : Status.Queues_)
    if (const std::string Name = Labels_->getName(Queue.Queue_);
        Shown_.insert(Name).second)
      addQueueGauge(Name);
  Board_->publish(std::move(Status));
}
