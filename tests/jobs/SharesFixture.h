//===- SharesFixture.h - Shares over a registry ------------------*- C++
//-*-===//

#ifndef TULIPWEIR_TESTS_JOBS_SHARESFIXTURE_H
#define TULIPWEIR_TESTS_JOBS_SHARESFIXTURE_H

#include "jobs/CapacityShares.h"
#include "jobs/Dispatcher.h"
#include "jobs/JobFixture.h"

namespace tulipweir::jobs::test {

inline StepSpec makeLasting(std::uint64_t Count, std::int64_t MilliCpus,
                            std::uint64_t MaxUnavailable = 1) {
  StepSpec Step = makeStep(Count, MilliCpus);
  Step.LongRunning_ = true;
  Step.MaxUnavailable_ = MaxUnavailable;
  return Step;
}

/// Two servers with four processors each, which report every half second. The
/// tasks of a bounded job take 0.5 s, and the job is due after 2 s, so it is
/// endangered from 0.5 s on and late from 1.5 s on.
class CapacitySharesTest : public JobRegistryTest {
protected:
  explicit CapacitySharesTest(bool IsEnabled = true)
      : Shares_(makeSettings(IsEnabled), RunTimes_) {
    LiveServers_.reset(Registry_, Now_, std::chrono::seconds(10));
  }
  static ShareSettings makeSettings(bool IsEnabled) {
    ShareSettings Settings;
    Settings.IsEnabled_ = IsEnabled;
    return Settings;
  }
  /// Submits a job that is accepted at the current time.
  void submitNow(const std::string &Id, const StepSpec &Step,
                 const std::string &Queue = Prefix) {
    SubmitJob Fresh{Host, Queue, makeJob(Id, {Step}),
                    static_cast<std::uint64_t>(Wall_)};
    apply(Fresh);
  }
  /// Submits a long-running job and starts its tasks on the server.
  void runLasting(const std::string &Id, const StepSpec &Step,
                  const std::string &Server,
                  const std::string &Queue = Prefix) {
    submitNow(Id, Step, Queue);
    for (std::uint64_t I = 0; I < Step.Count_; ++I)
      ASSERT_TRUE(start(makeStart(Id, I, Server)));
  }
  /// Lets the server report the runs that are placed there.
  void report(const std::string &Server, std::uint64_t Percent = 100) {
    ServerReport Report;
    Report.Facts_ = Registry_.findServer(Server)->Facts_;
    Report.Sequence_ = ++Sequence_;
    for (const auto &[Task, Run] : Registry_.findServer(Server)->Placed_)
      Report.Running_.push_back({Task, Run, "", Percent, 0});
    LiveServers_.recordReport(Report, Now_, std::chrono::seconds(10));
  }
  void update() {
    Survey_.update(Registry_, LiveServers_, Shares_, Waits_, Now_);
    Overdue_.update(Registry_, Waits_, LiveServers_, Now_);
    Shares_.update({Registry_, LiveServers_, Health_, Survey_, Overdue_, Now_,
                    WallTime(Wall_)});
  }
  /// Lets time pass in updates; all servers report every half second.
  void advance(Duration By) {
    constexpr Duration Step = std::chrono::milliseconds(50);
    for (Duration Passed{}; Passed < By; Passed += Step) {
      Now_ += Step;
      Wall_ += std::chrono::duration_cast<WallTime>(Step).count();
      if (IsReporting_ && ++Steps_ % 10 == 0)
        for (const auto &[Id, Server] : Registry_.servers())
          report(Id);
      update();
    }
  }
  /// Lets the long-running tasks be ready for long enough to yield.
  void settle() {
    for (const auto &[Id, Server] : Registry_.servers())
      report(Id);
    advance(std::chrono::seconds(4));
  }
  /// Returns the long-running runs that must yield.
  std::vector<TaskStart> listYields() const {
    std::vector<TaskStart> Runs;
    for (const auto &[Id, Server] : Registry_.servers())
      for (const auto &[Task, Run] : Server.Placed_)
        if (Shares_.mustYield(Task, Run))
          Runs.push_back({Task, Run, Id});
    return Runs;
  }
  /// Stops the runs that must yield, as the answers to reports do.
  void stopYields() {
    for (const TaskStart &Run : listYields()) {
      Shares_.recordStop(Run.Task_, Run.Run_);
      end(Run, RunOutcome::Stopped);
      report(Run.Server_);
    }
  }
  Resources getKept(const std::string &Server) const {
    const Resources *Kept = Shares_.findKeptForBounded(Server, 0);
    return Kept ? *Kept : Resources{};
  }

  TimePoint Now_{std::chrono::hours(1)};
  std::int64_t Wall_ = 1000;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Steps_ = 0;
  bool IsReporting_ = true;
  LiveServerTable LiveServers_;
  InterferenceModel Interference_;
  ServingLoads Loads_;
  ServerHealth Health_;
  ReadyTimes Waits_;
  CapacitySurvey Survey_{Interference_, Loads_, Health_};
  OverdueSteps Overdue_;
  RunTimeEstimator RunTimes_;
  CapacityShares Shares_;
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_SHARESFIXTURE_H
