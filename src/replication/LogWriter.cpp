#include "replication/LogWriter.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <iterator>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::replication;

/// The maximum size of the commands in one batch, unless a single entry is
/// larger. A batch is copied several times while it is encoded.
constexpr std::uint64_t MaxBatchBytes = 1U << 20;

static std::uint64_t countBytes(const std::vector<LogEntry> &Entries) {
  std::uint64_t Bytes = 0;
  for (const LogEntry &Entry : Entries)
    Bytes += Entry.Command_.size();
  return Bytes;
}

template <class T>
static void appendMoved(std::vector<T> &To, std::vector<T> &From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(From.end()));
}

/// Merges adjacent jobs into batches of at most MaxBatch entries and
/// MaxBatchBytes. A single job with more is kept; append() splits it. Only the
/// first job may have a checkpoint, as submit() drops those before it.
static std::vector<WriteJob> merge(std::vector<WriteJob> Jobs,
                                   std::uint64_t MaxBatch) {
  std::vector<WriteJob> Merged;
  std::uint64_t LastBytes = 0; ///< The bytes in the last merged job.
  for (WriteJob &Job : Jobs) {
    const std::uint64_t Bytes = countBytes(Job.Batch_.Entries_);
    bool CanJoin =
        !Merged.empty() && !Merged.back().Checkpoint_ &&
        Merged.back().Batch_.Entries_.size() + Job.Batch_.Entries_.size() <=
            MaxBatch &&
        LastBytes + Bytes <= MaxBatchBytes;
    if (!CanJoin) {
      Merged.push_back(std::move(Job));
      LastBytes = Bytes;
      continue;
    }
    LastBytes += Bytes;
    WriteJob &Last = Merged.back();
    if (Job.HasBatch_)
      Last.Batch_.Hard_ = std::move(Job.Batch_.Hard_);
    Last.HasBatch_ |= Job.HasBatch_;
    appendMoved(Last.Batch_.Entries_, Job.Batch_.Entries_);
    appendMoved(Last.Messages_, Job.Messages_);
    if (Job.LastAppended_)
      Last.LastAppended_ = Job.LastAppended_;
  }
  return Merged;
}

LogWriter::LogWriter(LogStorage &Storage, std::uint64_t MaxBatch,
                     Callbacks Calls)
    : Storage_(Storage), MaxBatch_(std::max<std::uint64_t>(MaxBatch, 1)),
      Calls_(std::move(Calls)), Thread_([this] { run(); }) {}

LogWriter::~LogWriter() { stop(); }

/// Moves the messages of the queued jobs to Job, which has a checkpoint, and
/// drops their writes.
static void supersede(std::vector<WriteJob> &Queue, WriteJob &Job) {
  std::vector<Message> Messages;
  std::optional<Synced> LastAppended;
  for (WriteJob &Earlier : Queue) {
    appendMoved(Messages, Earlier.Messages_);
    if (Earlier.LastAppended_)
      LastAppended = Earlier.LastAppended_;
  }
  Queue.clear();
  appendMoved(Messages, Job.Messages_);
  Job.Messages_ = std::move(Messages);
  if (!Job.LastAppended_)
    Job.LastAppended_ = LastAppended;
}

void LogWriter::submit(WriteJob Job) {
  const std::vector<LogEntry> &Entries = Job.Batch_.Entries_;
  if (!Entries.empty())
    Job.LastAppended_ = Synced{Entries.back().Term_, Entries.back().Index_};
  std::lock_guard Guard(Lock_);
  if (Job.Checkpoint_) {
    supersede(Queue_, Job);
    Job.HasBatch_ = false;
    Job.Batch_ = {};
    QueuedBytes_ = countBytes(Job.Checkpoint_->Entries_);
  } else {
    QueuedBytes_ += countBytes(Entries);
  }
  Queue_.push_back(std::move(Job));
  Wake_.notify_one();
}

std::uint64_t LogWriter::countQueuedBytes() const {
  std::lock_guard Guard(Lock_);
  return QueuedBytes_;
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
  QueuedBytes_ = 0;
  return std::exchange(Queue_, {});
}

/// Writes the batch with as few syncs as MaxBatch_ and MaxBatchBytes allow.
Outcome<void> LogWriter::append(const LogBatch &Batch) {
  const bool FitsAtOnce = Batch.Entries_.size() <= MaxBatch_ &&
                          countBytes(Batch.Entries_) <= MaxBatchBytes;
  if (FitsAtOnce)
    return Storage_.append(Batch);
  LogBatch Part{Batch.Hard_, {}};
  std::uint64_t Bytes = 0;
  for (const LogEntry &Entry : Batch.Entries_) {
    const std::uint64_t Next = Entry.Command_.size();
    const bool IsFull =
        Part.Entries_.size() >= MaxBatch_ || Bytes + Next > MaxBatchBytes;
    if (!Part.Entries_.empty() && IsFull) {
      BOOST_OUTCOME_TRYV(Storage_.append(Part));
      Part.Entries_.clear();
      Bytes = 0;
    }
    Part.Entries_.push_back(Entry);
    Bytes += Next;
  }
  return Storage_.append(Part);
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
  if (Job.LastAppended_)
    Calls_.Synced_(*Job.LastAppended_);
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
