//===- LogWriter.h - Writer thread with group commit -----------*- C++ -*-===//
//
// A thread that writes the core's outputs and sends the messages that depend
// on them after the sync. While one sync runs, further jobs are collected into
// the next batch.
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

/// The writer writes Batch_, then Checkpoint_, and then sends Messages_.
struct WriteJob {
  bool HasBatch_ = false;
  LogBatch Batch_;
  std::optional<Checkpoint> Checkpoint_;
  std::vector<Message> Messages_;
  /// The last entry that becomes durable with this job. It is set by submit().
  std::optional<Synced> LastAppended_;
};

/// submit() is thread-safe. The callbacks run on the writer's thread.
class LogWriter {
public:
  struct Callbacks {
    std::function<void(const std::vector<Message> &)> Send_;
    std::function<void(const Synced &)> Synced_;
    /// Called once; afterwards nothing is written or sent.
    std::function<void(const Error &)> Failed_;
  };

  LogWriter(LogStorage &Storage, std::uint64_t MaxBatch, Callbacks Calls);
  ~LogWriter();

  /// A job with a checkpoint supersedes the writes that are still queued, as it
  /// replaces all that is stored. Their messages wait for it.
  void submit(WriteJob Job);
  /// Returns the size of the commands that are queued and not being written.
  std::uint64_t countQueuedBytes() const;
  /// Writes all submitted jobs and ends the thread.
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
  mutable std::mutex Lock_;
  std::condition_variable Wake_;
  std::vector<WriteJob> Queue_;
  std::uint64_t QueuedBytes_ = 0; ///< Guarded by Lock_, as is Queue_.
  bool IsStopping_ = false;
  std::thread Thread_;
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_LOGWRITER_H
