#include "jobs/RemainingCapacity.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

static std::int64_t getPart(std::int64_t Cpus, double Part) {
  return static_cast<std::int64_t>(double(Cpus) * Part);
}

/// What a task is expected to use of what it declares; of one that serves,
/// before it is heard.
static std::int64_t getUsedCpus(const StepSpec &Step) {
  const std::int64_t Cpus = Step.Need_.MilliCpus_;
  if (Step.isServing())
    return getPart(Cpus, ServingLoads::UsualLoad);
  return Step.Fills_ ? getPart(Cpus, ServerRoom::UsedOfFilling) : Cpus;
}

std::int64_t ServerRoom::measureIdle(const ServerRecord &Server,
                                     const ServingLoads &Loads) {
  std::int64_t Filling = 0;
  for (const auto &[Image, Cpus] : Server.FillingCpus_)
    Filling += Cpus;
  return Server.Facts_.Capacity_.MilliCpus_ - (Server.OtherCpus_ - Filling) -
         getPart(Filling, UsedOfFilling) - Loads.getUsed(Server);
}

ServerRoom ServerRoom::measure(const ServerRecord &Server,
                               const ServingLoads &Loads) {
  ServerRoom Left;
  Left.Free_ = Server.Facts_.Capacity_ - Server.Used_;
  Left.Idle_ = measureIdle(Server, Loads);
  Left.Serving_ = Server.Serving_;
  if (!Server.Serving_.empty())
    Left.KeptIdle_ = getPart(Server.Facts_.Capacity_.MilliCpus_, 1 - MostUsed);
  return Left;
}

void ServerRoom::take(const StepSpec &Step) {
  Free_ = Free_ - Step.getReserved();
  if (Step.isServing())
    ++Serving_[Step.Image_];
  Idle_ -= getUsedCpus(Step);
}
