#include "jobs/RemainingCapacity.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

static std::int64_t scale(std::int64_t Cpus, double Share) {
  return static_cast<std::int64_t>(double(Cpus) * Share);
}

/// Returns the processors that a new task is expected to use of those it
/// declares; for a serving task, before its first report.
static std::int64_t estimateTaskCpus(const StepSpec &Step) {
  const std::int64_t Cpus = Step.Need_.MilliCpus_;
  if (Step.isServing())
    return scale(Cpus, ServingLoads::DefaultLoad);
  return Step.Fills_ ? scale(Cpus, RemainingCapacity::FillingUsedShare) : Cpus;
}

std::int64_t RemainingCapacity::computeIdleCpus(const ServerRecord &Server,
                                                const ServingLoads &Loads) {
  std::int64_t Filling = 0;
  for (const auto &[Image, Cpus] : Server.FillingCpus_)
    Filling += Cpus;
  return Server.Facts_.Capacity_.MilliCpus_ - (Server.OtherCpus_ - Filling) -
         scale(Filling, FillingUsedShare) - Loads.estimateUsedCpus(Server);
}

RemainingCapacity RemainingCapacity::compute(const ServerRecord &Server,
                                             const ServingLoads &Loads) {
  RemainingCapacity Remaining;
  Remaining.Free_ = Server.Facts_.Capacity_ - Server.Used_;
  Remaining.Idle_ = computeIdleCpus(Server, Loads);
  Remaining.Serving_ = Server.Serving_;
  if (!Server.Serving_.empty())
    Remaining.IdleReserve_ =
        scale(Server.Facts_.Capacity_.MilliCpus_, 1 - MaxUsedShare);
  return Remaining;
}

void RemainingCapacity::place(const StepSpec &Step) {
  Free_ = Free_ - Step.getReserved();
  if (Step.isServing())
    ++Serving_[Step.Image_];
  Idle_ -= estimateTaskCpus(Step);
}
