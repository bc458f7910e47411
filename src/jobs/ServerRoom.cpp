#include "jobs/ServerRoom.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Serving tasks reserve for their peaks; on average they use half. The best of
/// several shares on both users' days (docs/MEASUREMENTS.md).
static constexpr std::int64_t ServingUsePercent = 52;
static constexpr std::int64_t Percent = 100;

/// What a task is expected to use of what it reserves.
static std::int64_t getUsedCpus(const StepSpec &Step) {
  return Step.isServing() ? Step.Need_.MilliCpus_ * ServingUsePercent / Percent
                          : Step.Need_.MilliCpus_;
}

std::int64_t ServerRoom::measureIdle(const ServerRecord &Server) {
  return Server.Facts_.Capacity_.MilliCpus_ - Server.OtherCpus_ -
         Server.ServingCpus_ * ServingUsePercent / Percent;
}

ServerRoom ServerRoom::measure(const ServerRecord &Server) {
  ServerRoom Left;
  Left.Free_ = Server.Facts_.Capacity_ - Server.Used_;
  Left.Idle_ = measureIdle(Server);
  Left.Serving_ = Server.Serving_;
  return Left;
}

void ServerRoom::take(const StepSpec &Step) {
  Free_ = Free_ - Step.getReserved();
  if (Step.isServing())
    ++Serving_[Step.Image_];
  Idle_ -= getUsedCpus(Step);
}
