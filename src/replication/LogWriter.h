//===- LogWriter.h - One sync for many entries -----------------*- C++ -*-===//
//
// A thread that writes what the core put out and sends, after the sync, the
// messages that promise it. While one sync runs, the next batch collects.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_LOGWRITER_H
#define TULIPWEIR_REPLICATION_LOGWRITER_H

#include "replication/LogMessages.h"
#include "replication/LogStorage.h"
#include "replication/RaftCore.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace tulipweir::replication {

/// Written in this order: Batch_, Checkpoint_; then Messages_ are sent.
struct WriteJob {
  bool HasBatch_ = false;
  LogBatch Batch_;
  std::optional<Checkpoint> Checkpoint_;
  std::vector<Message> Messages_;
};

/// submit() is thread-safe; the callbacks run on the writer's thread.
class LogWriter {
public:
  struct Callbacks {
    std::function<void(const std::vector<Message> &)> Send_;
    std::function<void(const Synced &)> Synced_;
    /// Called once; nothing is written or sent after it.
    std::function<void(const Error &)> Failed_;
  };

  LogWriter(LogStorage &Storage, std::uint64_t MaxBatch, Callbacks Calls);
  ~LogWriter();

  void submit(WriteJob Job);
  /// Writes what was submitted and ends the thread.
  void stop();

private:
  void run();
  std::vector<WriteJob> waitForJobs();
  Outcome<void> append(const LogBatch &Batch);
  Outcome<void> write(WriteJob &Job);
  void complete(const WriteJob &Job);

  LogStorage &Storage_;
  const std::uint64_t MaxBatch_;
  const Callbacks Calls_;
  std::mutex Lock_;
  std::condition_variable Wake_;
  std::vector<WriteJob> Queue_;
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGWRITER_H
