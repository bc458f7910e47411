#include "replication/LogWriter.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <iterator>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

template <class T>
static void appendMoved(std::vector<T> &To, std::vector<T> &From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(From.end()));
}

/// Merges adjacent jobs into batches of at most MaxBatch entries. A single job
/// with more entries is kept; append() splits it.
static std::vector<WriteJob> merge(std::vector<WriteJob> Jobs,
                                   std::uint64_t MaxBatch) {
  std::vector<WriteJob> Merged;
  for (WriteJob &Job : Jobs) {
    bool CanJoin =
        !Merged.empty() && !Merged.back().Checkpoint_ &&
        Merged.back().Batch_.Entries_.size() + Job.Batch_.Entries_.size() <=
            MaxBatch;
    if (!CanJoin) {
      Merged.push_back(std::move(Job));
      continue;
    }
    WriteJob &Last = Merged.back();
    if (Job.HasBatch_)
      Last.Batch_.Hard_ = std::move(Job.Batch_.Hard_);
    Last.HasBatch_ |= Job.HasBatch_;
    appendMoved(Last.Batch_.Entries_, Job.Batch_.Entries_);
    appendMoved(Last.Messages_, Job.Messages_);
    Last.Checkpoint_ = std::move(Job.Checkpoint_);
  }
  return Merged;
}

LogWriter::LogWriter(LogStorage &Storage, std::uint64_t MaxBatch,
                     Callbacks Calls)
    : Storage_(Storage), MaxBatch_(std::max<std::uint64_t>(MaxBatch, 1)),
      Calls_(std::move(Calls)), Thread_([this] { run(); }) {}

LogWriter::~LogWriter() { stop(); }

void LogWriter::submit(WriteJob Job) {
  std::lock_guard Guard(Lock_);
  Queue_.push_back(std::move(Job));
  Wake_.notify_one();
}

void LogWriter::stop() {
  {
    std::lock_guard Guard(Lock_);
    IsStopping_ = true;
    Wake_.notify_one();
  }
  if (Thread_.joinable())
    Thread_.join();
}

/// Waits for jobs; returns none once the writer is stopping.
std::vector<WriteJob> LogWriter::waitForJobs() {
  std::unique_lock Guard(Lock_);
  Wake_.wait(Guard, [this] { return IsStopping_ || !Queue_.empty(); });
  return std::exchange(Queue_, {});
}

/// Writes the batch with as few syncs as MaxBatch_ allows.
Outcome<void> LogWriter::append(const LogBatch &Batch) {
  const std::vector<LogEntry> &Entries = Batch.Entries_;
  if (Entries.size() <= MaxBatch_)
    return Storage_.append(Batch);
  for (std::size_t From = 0; From < Entries.size(); From += MaxBatch_) {
    std::size_t End = std::min<std::size_t>(From + MaxBatch_, Entries.size());
    LogBatch Part{Batch.Hard_,
                  {Entries.begin() + static_cast<std::ptrdiff_t>(From),
                   Entries.begin() + static_cast<std::ptrdiff_t>(End)}};
    BOOST_OUTCOME_TRYV(Storage_.append(Part));
  }
  return succeed();
}

Outcome<void> LogWriter::write(WriteJob &Job) {
  if (Job.HasBatch_) {
    BOOST_OUTCOME_TRYV(append(Job.Batch_));
  }
  if (Job.Checkpoint_) {
    BOOST_OUTCOME_TRYV(Storage_.replace(*Job.Checkpoint_));
  }
  return succeed();
}

void LogWriter::complete(const WriteJob &Job) {
  Calls_.Send_(Job.Messages_);
  const std::vector<LogEntry> &Entries = Job.Batch_.Entries_;
  if (!Entries.empty())
    Calls_.Synced_({Entries.back().Term_, Entries.back().Index_});
}

void LogWriter::run() {
  for (std::vector<WriteJob> Jobs = waitForJobs(); !Jobs.empty();
       Jobs = waitForJobs()) {
    for (WriteJob &Job : merge(std::move(Jobs), MaxBatch_)) {
      Outcome<void> Written = write(Job);
      if (!Written) {
        // The contents of the disk are unknown after a failed write.
        Calls_.Failed_(Written.error());
        return;
      }
      complete(Job);
    }
  }
}
