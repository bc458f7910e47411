#include "jobs/ServerRoom.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

/// What a task is expected to use of what it reserves; of one that serves,
/// before it is heard.
static std::int64_t getUsedCpus(const StepSpec &Step) {
  return Step.isServing()
             ? static_cast<std::int64_t>(double(Step.Need_.MilliCpus_) *
                                         ServingLoads::UsualLoad)
             : Step.Need_.MilliCpus_;
}

std::int64_t ServerRoom::measureIdle(const ServerRecord &Server,
                                     const ServingLoads &Loads) {
  return Server.Facts_.Capacity_.MilliCpus_ - Server.OtherCpus_ -
         Loads.getUsed(Server);
}

ServerRoom ServerRoom::measure(const ServerRecord &Server,
                               const ServingLoads &Loads) {
  ServerRoom Left;
  Left.Free_ = Server.Facts_.Capacity_ - Server.Used_;
  Left.Idle_ = measureIdle(Server, Loads);
  Left.Serving_ = Server.Serving_;
  return Left;
}

void ServerRoom::take(const StepSpec &Step) {
  Free_ = Free_ - Step.getReserved();
  if (Step.isServing())
    ++Serving_[Step.Image_];
  Idle_ -= getUsedCpus(Step);
}
