//===- SimulatedWorkload.h - Simulated services and tasks ------*- C++ -*-===//
//
// A seeded workload for comparing policies, in steps of one second: one
// service on each server whose load varies in waves; job classes that slow it
// by an effect that the policies do not know; declared sizes that are wrong by
// up to a factor of five; noisy phases, servers that fail every task, VM
// losses, cancellations, and reports that arrive late. It is plain arithmetic
// without messages, machines or processes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_DECIDE_SIMULATEDWORKLOAD_H
#define TULIPWEIR_BENCH_DECIDE_SIMULATEDWORKLOAD_H

#include "tulipweir/decide/Planner.h"

#include <deque>
#include <map>
#include <random>

namespace tulipweir::decide {

struct WorkloadSettings {
  std::uint64_t Seed_ = 1;
  int Servers_ = 40;
  int Seconds_ = 1800;
  Duration Lag_{};
  double WorstDeclared_ = 5; ///< Declared sizes are off by up to this factor.
  /// Noisy phases, failing servers, losses, cancellations.
  bool Faults_ = true;
};

struct SimulatedClass {
  JobClassId Id_;
  double Effect_ = 0; ///< Relative slowdown when the class fills a server.
  Resources Size_;    ///< True usage of one task.
};

struct SimulatedTask {
  TaskInfo Info_;
  std::size_t Class_ = 0;
  double Work_ = 0;     ///< Seconds at full speed.
  double Progress_ = 0; ///< Seconds done.
  double Saved_ = 0;    ///< Seconds at the last checkpoint.
  double StartUp_ = 0;  ///< Seconds until it makes progress.
  int Server_ = -1;
  int RanFor_ = 0;
  Resources Reservation_;
  std::uint32_t Throttle_ = 100;
  AttemptNumber Attempt_;
  bool Done_ = false;
};

struct SimulatedServer {
  ServerInfo Info_;
  bool Up_ = true;
  bool FailsAll_ = false;
  int DownUntil_ = 0;
  double Load_ = 0;        ///< Load of the service, 0 to 1.
  double P99_ = 0;         ///< True p99 in milliseconds.
  double BaselineP99_ = 0; ///< p99 in milliseconds without batch work.
  int OverAt_ = -1000000;  ///< Last second in which P99_ was over the target.
  std::vector<TaskId> Tasks_;
};

/// The figures of one run.
struct WorkloadResult {
  /// p99 of all requests relative to the p99 without tasks.
  double TailRatio_ = 0;
  double FinishedWork_ = 0; ///< Processor seconds of finished tasks.
  int FinishedTasks_ = 0;
  int Evictions_ = 0;
  double LostToEvictions_ = 0; ///< Lost work in processor seconds.
  int Throttles_ = 0;
  int GuardActions_ = 0;
  /// Guard actions while the true p99 was under the target.
  int FalseAlarms_ = 0;
  /// Decisions refused because they would overfill a server.
  int Overfilled_ = 0;
};

/// A policy under comparison: it receives the same events as the others and
/// returns decisions.
class ComparedPolicy {
public:
  virtual ~ComparedPolicy() = default;
  virtual void upsertServer(const ServerInfo &Server) = 0;
  virtual void removeServer(const BackendServerId &Server) = 0;
  virtual void addWaiting(const TaskInfo &Task, TimePoint Now) = 0;
  virtual void removeWaiting(const TaskId &Task) = 0;
  virtual void recordPlacement(const Decision &D, const TaskInfo &Task,
                               TimePoint Now) = 0;
  virtual void updateReservation(const Decision &D) = 0;
  virtual void updateThrottle(const Decision &D, TimePoint Now) = 0;
  virtual void recordEnd(const TaskId &Task, AttemptNumber Attempt,
                         EndReason Reason, TimePoint Now) = 0;
  virtual void addUsageSample(const UsageSample &Sample) = 0;
  virtual void addServiceSample(const ServiceSample &Sample) = 0;
  virtual std::vector<Decision> decide(TimePoint Now) = 0;
};

class SimulatedWorkload {
public:
  explicit SimulatedWorkload(const WorkloadSettings &Settings);

  /// Runs the policy for Seconds_ simulated seconds.
  WorkloadResult run(ComparedPolicy &Policy);

  /// Returns the policy settings: the target is 1.25 times the p99 without
  /// batch work at the top of a load wave.
  static Policy makePolicy();

  // The true state, for the oracle.
  const std::vector<SimulatedServer> &servers() const { return Servers_; }
  const std::vector<SimulatedClass> &classes() const { return Classes_; }
  const SimulatedTask &getTask(const TaskId &Task) const {
    return Tasks_.at(Task);
  }
  /// Returns the slowdown of the service on a server that runs AddedTasks more
  /// tasks of a class.
  double computeSlowdown(const SimulatedServer &Server, std::size_t AddedClass,
                         double AddedTasks, double Load) const;
  static double getBaselineP99(double Load);

private:
  struct Report {
    TimePoint ArrivesAt_;
    std::vector<UsageSample> Usages_;
    std::vector<ServiceSample> Services_;
  };

  double draw(double From, double To);
  void submitJob(ComparedPolicy &Policy);
  void updateLoads(int Second);
  void injectFaults(ComparedPolicy &Policy, int Second);
  void advanceServer(SimulatedServer &Server, ComparedPolicy &Policy,
                     int Second);
  void advanceTask(SimulatedTask &Task, double Speed, ComparedPolicy &Policy);
  void report(int Second);
  void deliver(ComparedPolicy &Policy);
  void apply(const Decision &D, ComparedPolicy &Policy, int Second);
  void stop(SimulatedTask &Task, EndReason Reason, ComparedPolicy &Policy);
  void measureRequests(const SimulatedServer &Server);
  SimulatedServer *findServer(const std::optional<BackendServerId> &Id);

  WorkloadSettings Settings_;
  std::mt19937_64 Random_;
  std::mt19937_64 Noise_;
  std::vector<SimulatedClass> Classes_;
  std::vector<SimulatedServer> Servers_;
  std::map<TaskId, SimulatedTask> Tasks_;
  std::deque<Report> Reports_;
  std::vector<float> Latencies_;
  std::vector<float> BaselineLatencies_;
  WorkloadResult Result_;
  TimePoint Now_{std::chrono::hours(1)};
  int Jobs_ = 0;
  std::size_t NoisyClass_ = 0;
  bool Noisy_ = false;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_BENCH_DECIDE_SIMULATEDWORKLOAD_H
