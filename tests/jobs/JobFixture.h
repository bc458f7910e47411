//===- JobFixture.h - Jobs, servers and queues for tests -------*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBS_JOBFIXTURE_H
#define TULIPWEIR_TESTS_JOBS_JOBFIXTURE_H

#include "tulipweir/jobs/JobRegistry.h"

#include <gtest/gtest.h>

namespace tulipweir::jobs::test {

inline constexpr const char *Host = "huts.example";
inline constexpr const char *Prefix = "/stays/";

inline Configuration makeConfiguration(std::uint64_t Version = 1) {
  Configuration Config;
  Config.Version_ = Version;
  QueuePolicy Queue;
  Queue.Name_ = "stays";
  Queue.Host_ = Host;
  Queue.PathPrefix_ = Prefix;
  Queue.Service_ = "booking";
  Queue.Attempts_ = 2;
  Queue.ObjectiveMs_ = 1000;
  Queue.StretchPercent_ = 200;
  Config.Queues_ = {Queue};
  Config.Services_ = {{"booking", true, false}};
  Config.Source_ = "{\"version\":" + std::to_string(Version) + "}";
  return Config;
}

inline StepSpec makeStep(std::uint64_t Count, std::int64_t MilliCpus) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.Need_ = Resources::makeFor(MilliCpus, 100);
  Step.EstimateMs_ = 500;
  return Step;
}

/// Makes a step of long-running tasks that serve requests of their own users.
inline StepSpec makeServing(std::uint64_t Count, const std::string &Image,
                            std::int64_t MilliCpus = 1000,
                            std::uint64_t TailTargetMs = 100) {
  StepSpec Step = makeStep(Count, MilliCpus);
  Step.LongRunning_ = true;
  Step.TailTargetMs_ = TailTargetMs;
  Step.Image_ = Image;
  return Step;
}

/// Makes a step of tasks that run only on idle CPUs.
inline StepSpec makeFilling(std::uint64_t Count, const std::string &Image,
                            std::int64_t MilliCpus = 1000) {
  StepSpec Step = makeStep(Count, MilliCpus);
  Step.Fills_ = true;
  Step.Image_ = Image;
  return Step;
}

inline JobSpec makeJob(const std::string &Id, std::vector<StepSpec> Steps) {
  JobSpec Spec;
  Spec.Id_ = Id;
  Spec.Payload_ = "payload of " + Id;
  Spec.Steps_ = std::move(Steps);
  return Spec;
}

inline SubmitJob makeSubmit(JobSpec Spec) {
  return {Host, Prefix, std::move(Spec), 1000};
}

inline ServerFacts makeServer(const std::string &Id,
                              std::int64_t MilliCpus = 4000) {
  ServerFacts Facts;
  Facts.Id_ = Id;
  Facts.Service_ = "booking";
  Facts.DataCentre_ = "dc1";
  Facts.Rack_ = "r1";
  Facts.Labels_ = {"a", "r1"};
  Facts.Address_ = Id + ":80";
  Facts.Capacity_ = Resources::makeFor(MilliCpus, 10'000);
  return Facts;
}

inline TaskStart makeStart(const std::string &Job, std::uint64_t Index,
                           const std::string &Server, std::uint64_t Run = 1,
                           std::uint64_t Step = 0,
                           std::uint64_t Occurrence = 0) {
  return {{Job, Occurrence, Step, Index}, Run, Server};
}

inline EndTasks makeEnd(const TaskStart &Start, RunOutcome How,
                        const std::string &Checkpoint = "") {
  return {Start.Server_, {{Start.Task_, Start.Run_, How, Checkpoint}}};
}

/// A registry with a configuration and two servers, s1 and s2, of four CPUs
/// each.
class JobRegistryTest : public ::testing::Test {
protected:
  JobRegistryTest() {
    apply(PutConfiguration{makeConfiguration()});
    apply(AddServer{makeServer("s1")});
    apply(AddServer{makeServer("s2")});
  }

  CommandResult apply(const Command &Cmd) { return Registry_.apply(Cmd); }
  CommandStatus submit(JobSpec Spec) {
    return apply(makeSubmit(std::move(Spec))).Status_;
  }
  bool start(const TaskStart &Start) {
    return apply(StartTasks{{Start}}).Accepted_.at(0);
  }
  void end(const TaskStart &Start, RunOutcome How,
           const std::string &Checkpoint = "") {
    apply(makeEnd(Start, How, Checkpoint));
  }
  JobState getJobState(const std::string &Id) const {
    return Registry_.findJob(Id)->State_;
  }
  std::string getRejectionReason(const TaskStart &Start) const {
    return Registry_.findRejectionReason(Start);
  }

  JobRegistry Registry_;
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_JOBFIXTURE_H
