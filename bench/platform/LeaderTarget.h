//===- LeaderTarget.h - A leader in this process ----------------*- C++ -*-===//
//
// The leader runs on a manual clock over a replica that commits immediately.
// Its processor time excludes network, log and disk.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_LEADERTARGET_H
#define TULIPWEIR_BENCH_PLATFORM_LEADERTARGET_H

#include "FleetTarget.h"

#include "jobs/LeaderFixture.h"

namespace tulipweir::bench {

class LeaderTarget final : public FleetTarget {
public:
  LeaderTarget();
  void configure(const std::string &Body) override;
  void submit(const std::string &Path, const std::string &Body) override;
  void report(const std::string &Server, const std::string &Body,
              ReplyHandler Done) override;
  void advance(int Ms) override;
  bool isCompleted(const std::string &Path) override;
  double getCpuSeconds() override { return CpuSeconds_; }

private:
  /// Runs Work and adds its processor time to CpuSeconds_.
  void runTimed(const std::function<void()> &Work);

  ManualClock Time_;
  jobs::test::ManualExecutor Strand_{Time_};
  jobs::JobStateMachine Machine_;
  jobs::test::ManualReplica Group_{Machine_};
  NoEventLog Log_;
  jobs::NoJobMeter Meter_;
  jobs::NullAdvisor Advisor_;
  jobs::NullVmProvider Provider_;
  jobs::NoReportRelays Relays_;
  jobs::JobLeader Leader_{{},       Time_,     Strand_, Group_, Machine_,
                          Advisor_, Provider_, Relays_, Log_,   Meter_};
  double CpuSeconds_ = 0;
};

} // namespace tulipweir::bench

#endif // TULIPWEIR_BENCH_PLATFORM_LEADERTARGET_H
