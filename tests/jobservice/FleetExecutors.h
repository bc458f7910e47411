//===- FleetExecutors.h - Executors of an emulated fleet --------*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_FLEETEXECUTORS_H
#define TULIPWEIR_TESTS_JOBSERVICE_FLEETEXECUTORS_H

#include "tulipweir/core/EventLog.h"
#include "tulipweir/core/Executor.h"

#include <gtest/gtest.h>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace tulipweir::jobservice::test {

/// Queues the leader's work until its time budget allows it.
class LeaderQueue final : public Executor {
public:
  void post(std::function<void()> Task) override {
    Tasks_.push_back(std::move(Task));
  }
  void postAfter(Duration, std::function<void()>) override {
    ADD_FAILURE() << "delayed tasks are not supported";
  }
  bool isIdle() const { return Tasks_.empty(); }
  void runNext() {
    const std::function<void()> Next = std::move(Tasks_.front());
    Tasks_.pop_front();
    Next();
  }

private:
  std::deque<std::function<void()>> Tasks_;
};

/// Runs the tasks of one relay, or holds them while it is stopped.
class RelayExecutor final : public Executor {
public:
  explicit RelayExecutor(Executor &Strand) : Strand_(Strand) {}

  void post(std::function<void()> Task) override {
    Strand_.post(wrap(std::move(Task)));
  }
  void postAfter(Duration Delay, std::function<void()> Task) override {
    Strand_.postAfter(Delay, wrap(std::move(Task)));
  }
  /// Runs the task at once, or when the relay resumes.
  void run(const std::function<void()> &Task) {
    if (IsStopped_)
      return Held_.push_back(Task);
    Task();
  }
  void stop() { IsStopped_ = true; }
  void resume() {
    IsStopped_ = false;
    for (const std::function<void()> &Task : std::exchange(Held_, {}))
      Task();
  }
  bool isStopped() const { return IsStopped_; }

private:
  std::function<void()> wrap(std::function<void()> Task) {
    return [this, Task = std::move(Task)] { run(Task); };
  }

  Executor &Strand_;
  bool IsStopped_ = false;
  std::vector<std::function<void()>> Held_;
};

/// Reports the starts of tasks.
class StartLog final : public EventLog {
public:
  using OnStart = std::function<void(const Event &)>;
  explicit StartLog(OnStart Notify) : Notify_(std::move(Notify)) {}
  void write(const Event &Value) override {
    if (Value.Kind_ == EventKind::TaskStarted)
      Notify_(Value);
  }

private:
  const OnStart Notify_;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_FLEETEXECUTORS_H
