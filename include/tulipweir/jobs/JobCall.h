//===- JobCall.h - Client calls about a job --------------------*- C++ -*-===//
//
// The requests that an entry forwards to the leader, and the replies. All of
// them are idempotent, as the id identifies the job.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_JOBCALL_H
#define TULIPWEIR_JOBS_JOBCALL_H

#include "tulipweir/jobs/JobRegistry.h"

namespace tulipweir::jobs {

enum class CallKind : std::uint8_t {
  Submit = 0,
  Show = 1, ///< State of a job, or the queue length if no id is given.
  Cancel = 2,
};

/// A client's request. Its path is the queue's prefix followed by the job's id.
struct JobCall {
  CallKind Kind_ = CallKind::Show;
  std::string Host_;
  std::string Path_;
  JobSpec Spec_; ///< Submit only; the id is taken from the path.
  /// Submit only: the data centre of the entry; empty if unknown.
  std::string DataCentre_{};
  bool operator==(const JobCall &) const = default;
};

enum class CallOutcome : std::uint8_t {
  Done = 0,
  NoQueue = 1,
  NoJob = 2,
  Invalid = 3,         ///< Reason_ explains why; the job never runs.
  Refused = 4,         ///< Not accepted, never runs; retry later.
  NoConfiguration = 5, ///< No configuration was accepted yet.
};

struct JobCallReply {
  CallOutcome Outcome_ = CallOutcome::Done;
  JobState State_ = JobState::Queued; ///< Show with an id only.
  bool IsCount_ = false;              ///< Whether Pending_ answers the call.
  std::uint64_t Pending_ = 0;
  std::uint64_t RetryAfterMs_ = 0; ///< Refused only.
  std::string Reason_;
  bool operator==(const JobCallReply &) const = default;
};

std::string encodeCall(const JobCall &Call);
Outcome<JobCall> decodeCall(std::string_view Bytes);
std::string encodeCallReply(const JobCallReply &Reply);
Outcome<JobCallReply> decodeCallReply(std::string_view Bytes);

/// A control's view of its group, sent to entries and other controls.
struct GroupView {
  std::string Leader_;               ///< Empty if unknown.
  std::vector<std::string> Members_; ///< Names of all controls in the group.
  bool operator==(const GroupView &) const = default;
};

std::string encodeGroupView(const GroupView &View);
Outcome<GroupView> decodeGroupView(std::string_view Bytes);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_JOBCALL_H
