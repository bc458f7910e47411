//===- FillingLoad.h - A fleet with more filling work than room -*- C++ -*-===//
//
// Servers whose tasks run as long as drawn, and jobs of filling tasks that
// arrive faster than they can be run. Starts are planned by the dispatcher, for
// one report after the other; what the leader does may take time. No network,
// manual time. Equal scenarios give equal results.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_JOBS_FILLINGLOAD_H
#define TULIPWEIR_TESTS_JOBS_FILLINGLOAD_H

#include "jobs/DispatcherFixture.h"
#include "jobs/PeriodicWorkPacing.h"

#include <deque>
#include <random>

namespace tulipweir::jobs::test {

/// What the leader's work takes.
struct LeaderCosts {
  Duration Report_{};
  Duration
      OrderStep_{};   ///< Each waiting step that an update of the order reads.
  Duration Survey_{}; ///< Each look at all servers.
};

struct FillingScenario {
  std::uint64_t Seed_ = 1;
  std::size_t Servers_ = 40;
  double Load_ = 1.3; ///< Work that arrives; 1 is what the servers can run.
  Duration Length_ = std::chrono::seconds(60);
  LeaderCosts Costs_;
};

/// Jobs whose work is among a part of all, by its size.
struct SizeClass {
  std::size_t Jobs_ = 0;
  std::size_t OnTime_ = 0;
  std::size_t Late_ = 0; ///< Ended within three times the objective.

  /// Returns the fraction of the jobs that have ended while they were of use.
  double getServed() const { return double(OnTime_ + Late_) / double(Jobs_); }
};

class FillingLoad : public DispatcherTest {
protected:
  /// Plays a scenario; call once.
  void play(const FillingScenario &Scenario);
  /// Returns the jobs between two fractions of all, the largest first.
  SizeClass getLargest(double From, double To) const;
  /// Returns what jobs have earned of what all are worth: the value of a job
  /// grows with its work, less than in proportion, and is small if it is late.
  double getWorth() const;
  /// Returns the longest time that a report waited for the leader after this
  /// time from the beginning.
  Duration getLongestWait(Duration From) const;

private:
  struct Job {
    std::string Id_;
    double Work_ = 0; ///< Processor seconds.
    TimePoint AcceptedAt_{};
    Duration Objective_{};
    std::optional<TimePoint> EndedAt_;
    std::vector<std::vector<Duration>> RunTimes_; ///< By step and task.

    bool isWithin(int Objectives) const {
      return EndedAt_ && *EndedAt_ - AcceptedAt_ <= Objective_ * Objectives;
    }
  };
  struct RunEnd {
    TimePoint At_;
    TaskStart Start_;
    auto operator<=>(const RunEnd &Other) const { return At_ <=> Other.At_; }
  };

  void submitNext(std::size_t Number);
  /// A report that the leader has not handled.
  struct SentReport {
    std::string Server_;
    TimePoint At_;
  };
  void sendReports();
  /// Lets the leader work until the end of the current tick.
  void runLeader(const LeaderCosts &Costs);
  void report(const SentReport &Sent);
  void endRuns(const SentReport &Sent);

  std::mt19937_64 Random_;
  std::vector<Job> Jobs_;
  std::map<std::string, std::size_t> ByIds_;
  std::map<std::string, std::vector<RunEnd>> Running_; ///< By server.
  /// By server; none while a report waits for the leader.
  std::map<std::string, TimePoint> NextReports_;
  std::deque<SentReport> Inbox_;
  PeriodicWorkPacing Pacing_;
  TimePoint BeginsAt_{};
  TimePoint IsBusyUntil_{}; ///< The leader.
  TimePoint NextSurvey_{};
  std::vector<std::pair<TimePoint, Duration>> Waits_; ///< Of handled reports.
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_FILLINGLOAD_H
