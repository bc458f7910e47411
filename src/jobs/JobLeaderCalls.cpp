#include "jobs/JobLeaderImpl.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// The retry delay for refusals that last until the settings of this program
/// change.
static constexpr std::uint64_t UnsupportedRetryMs = 60'000;

void JobLeader::Impl::call(JobCall Call, Done<JobCallReply> Reply) {
  if (!isLeading())
    return Reply(makeNotLeaderError());
  const WorkTimer::Scope Measured(Work_, LeaderWork::Admission);
  switch (Call.Kind_) {
  case CallKind::Submit:
    return submit(std::move(Call), Reply);
  case CallKind::Show:
    return show(Call, Reply);
  case CallKind::Cancel:
    return cancel(Call, Reply);
  }
}

/// Returns the queue that a call is addressed to, and sets Id to the rest of
/// the path, which is the job's id. Sets the reply's outcome if there is no
/// queue.
static const QueuePolicy *findQueue(const JobRegistry &Registry,
                                    const JobCall &Call, JobCallReply &Reply,
                                    std::string &Id) {
  const Configuration &Current = Registry.configuration();
  const QueuePolicy *Queue = Current.findQueue(Call.Host_, Call.Path_);
  if (Queue)
    Id = Call.Path_.substr(Queue->PathPrefix_.size());
  else
    Reply.Outcome_ = Current.Version_ == 0 ? CallOutcome::NoConfiguration
                                           : CallOutcome::NoQueue;
  return Queue;
}

void JobLeader::Impl::submit(JobCall Call, const Done<JobCallReply> &Reply) {
  JobCallReply Result;
  SubmitJob Command;
  QueuePolicy Policy;
  const bool HasQueue = Machine_.read([&](const JobRegistry &Registry) {
    const QueuePolicy *Queue =
        findQueue(Registry, Call, Result, Call.Spec_.Id_);
    if (!Queue)
      return false;
    Policy = *Queue;
    return true;
  });
  if (!HasQueue)
    return Reply(Result);
  if (Policy.Advice_.IsRequired_ && !Advisor_.isAvailable()) {
    Result.Outcome_ = CallOutcome::Refused;
    Result.RetryAfterMs_ = UnsupportedRetryMs;
    Result.Reason_ =
        "the queue requires advice on servers, but the settings configure no "
        "advice service";
    Event Line;
    Line.Kind_ = EventKind::JobRefused;
    Line.Job_ = Call.Spec_.Id_;
    Line.Reason_ = Result.Reason_;
    Log_.write(Line);
    Meter_.add(JobCounter::JobsRefused, 1);
    return Reply(Result);
  }
  const Outcome<void> Checked = checkJobSpec(Call.Spec_);
  if (!Checked) {
    Result.Outcome_ = CallOutcome::Invalid;
    Result.Reason_ = Checked.error().Message_;
    return Reply(Result);
  }
  if (const std::optional<JobCallReply> Rejection = findRejection(Call, Policy))
    return Reply(*Rejection);
  Command.Host_ = Policy.Host_;
  Command.PathPrefix_ = Policy.PathPrefix_;
  Command.AcceptedMs_ = static_cast<std::uint64_t>(Time_.wallNow().count());
  const std::string Id = Call.Spec_.Id_;
  Command.Spec_ = std::move(Call.Spec_);
  const TimePoint Begin = Time_.now();
  beginSubmission(Id);
  propose(Command, [this, Id, Begin, Term = Term_,
                    Reply](const Outcome<CommandResult> &Applied) {
    endSubmission(Id, Term, Applied);
    JobCallReply Answer;
    if (!Applied)
      return Reply(Applied.error());
    const CommandStatus Taken = Applied.value().Status_;
    if (Taken == CommandStatus::NotFound)
      Answer.Outcome_ = CallOutcome::NoQueue;
    Meter_.add(Taken == CommandStatus::NotFound ? JobCounter::JobsRefused
                                                : JobCounter::JobsAccepted,
               Taken == CommandStatus::AlreadyDone ? 0 : 1);
    Meter_.record(JobTimer::Acknowledge, Time_.now() - Begin);
    if (Taken == CommandStatus::Done)
      AcceptedAt_.emplace(Id, Begin);
    Event Line;
    Line.Kind_ = Taken == CommandStatus::NotFound ? EventKind::JobRefused
                                                  : EventKind::JobAccepted;
    Line.Job_ = Id;
    Line.Term_ = Term_;
    if (Taken == CommandStatus::NotFound)
      Line.Reason_ = "its queue has been removed from the configuration";
    if (Taken == CommandStatus::AlreadyDone)
      Line.Reason_ = "the job had already been accepted";
    Log_.write(Line);
    Reply(Answer);
  });
}

void JobLeader::Impl::show(const JobCall &Call,
                           const Done<JobCallReply> &Reply) const {
  Reply(Machine_.read([&](const JobRegistry &Registry) {
    JobCallReply Result;
    std::string Id;
    const QueuePolicy *Queue = findQueue(Registry, Call, Result, Id);
    if (!Queue)
      return Result;
    if (Id.empty()) {
      Result.IsCount_ = true;
      Result.Pending_ = Registry.countPending(Queue->getKey());
      return Result;
    }
    const JobRecord *Job = Registry.findJob(Id);
    if (Job)
      Result.State_ = Job->State_;
    else
      Result.Outcome_ = CallOutcome::NoJob;
    return Result;
  }));
}

void JobLeader::Impl::cancel(const JobCall &Call,
                             const Done<JobCallReply> &Reply) {
  JobCallReply Result;
  std::string Id;
  const bool HasQueue = Machine_.read([&](const JobRegistry &Registry) {
    return findQueue(Registry, Call, Result, Id) != nullptr;
  });
  if (!HasQueue)
    return Reply(Result);
  propose(CancelJob{Id},
          [this, Id, Reply](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Reply(Applied.error());
            JobCallReply Answer;
            if (Applied.value().Status_ == CommandStatus::NotFound)
              Answer.Outcome_ = CallOutcome::NoJob;
            else if (EndedJobs_.record(Id, Time_.now())) {
              meterJobEnd(Id, JobCounter::JobsCancelled);
              requestStops(Id);
            }
            Event Line;
            Line.Kind_ = EventKind::JobCancelled;
            Line.Job_ = Id;
            Line.Outcome_ = Applied.value().Status_ == CommandStatus::Done
                                ? "cancelled"
                                : "no change";
            Log_.write(Line);
            Reply(Answer);
          });
}
