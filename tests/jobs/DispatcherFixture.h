//===- DispatcherFixture.h - A dispatcher over a registry -------*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBS_DISPATCHERFIXTURE_H
#define TULIPWEIR_TESTS_JOBS_DISPATCHERFIXTURE_H

#include "jobs/Dispatcher.h"
#include "jobs/JobFixture.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace tulipweir::jobs::test {

/// The tasks that run on each server.
using RunningTasks = std::map<std::string, std::vector<TaskStart>>;

class DispatcherTest : public JobRegistryTest {
protected:
  DispatcherTest() {
    LiveServers_.reset(Registry_, Now_, std::chrono::seconds(10));
  }
  /// Plans for a server at the current time and places the planned tasks.
  std::vector<TaskStart> plan(const std::string &Server) {
    Dispatcher_.survey(Registry_, LiveServers_, Now_);
    auto Starts = Dispatcher_.plan(Registry_, LiveServers_, Server, Now_,
                                   WallTime(Wall_));
    apply(StartTasks{Starts});
    Dispatcher_.releaseProposed(Starts);
    return Starts;
  }
  /// Lets time pass in which all servers report but those in Silent_.
  void advance(Duration By) {
    Now_ += By;
    Wall_ += std::chrono::duration_cast<WallTime>(By).count();
    for (const auto &[Id, Server] : Registry_.servers())
      if (LiveServer *Live = LiveServers_.find(Id);
          Live && Silent_.count(Id) == 0)
        Live->LastHeard_ = Now_;
  }
  /// Trains the model until the pair interferes.
  void trainInterference(const std::string &Serving,
                         const std::string &Filling) {
    for (int I = 0; I < 400; ++I) {
      const double Share = 0.01 * (I % 30);
      Interference_.learn(Serving, {{Filling, Share}},
                          Share > 0.1 ? 3.0 + 10 * Share : 0.4);
    }
    ASSERT_TRUE(Interference_.isInterfering(Serving, Filling));
  }
  /// Submits a job that is accepted at the current time.
  void submitNow(const JobSpec &Job) {
    SubmitJob Fresh = makeSubmit(Job);
    Fresh.AcceptedMs_ = static_cast<std::uint64_t>(Wall_);
    apply(Fresh);
  }
  /// Returns whether a task of the job starts within so many rounds. In each
  /// round one running task ends on each server, and SubmitMore submits a job
  /// with the given ID, so that more work is always waiting.
  bool startsBesideMoreWork(
      const std::string &Job, RunningTasks Running, int Rounds,
      const std::function<void(const std::string &Id)> &SubmitMore) {
    bool HasStarted = false;
    for (int Round = 0; Round < Rounds && !HasStarted; ++Round) {
      advance(std::chrono::milliseconds(100));
      SubmitMore("more" + std::to_string(Round));
      for (auto &[Server, Starts] : Running) {
        if (!Starts.empty()) {
          end(Starts.front(), RunOutcome::Done);
          Starts.erase(Starts.begin());
        }
        for (const TaskStart &Start : plan(Server)) {
          Starts.push_back(Start);
          HasStarted = HasStarted || Start.Task_.Job_ == Job;
        }
      }
    }
    return HasStarted;
  }
  /// Lets the server fail so many runs of two jobs that it is quarantined.
  void quarantine(const std::string &Server) {
    for (const char *Job : {"a", "b", "b"})
      Health_.recordFailure(Server, Job, Now_);
  }

  TimePoint Now_{std::chrono::hours(1)};
  std::int64_t Wall_ = 1000;
  std::set<std::string> Silent_; ///< Servers by id.
  LiveServerTable LiveServers_;
  InterferenceModel Interference_;
  ServingLoads Loads_;
  PaceController Paces_;
  ServerHealth Health_;
  AdviceCache Advice_;
  RunTimeEstimator RunTimes_;
  CapacityShares Shares_{ShareSettings(), RunTimes_};
  Dispatcher Dispatcher_{Interference_, Loads_,    Paces_, Health_,
                         Advice_,       RunTimes_, Shares_};
};

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_DISPATCHERFIXTURE_H
