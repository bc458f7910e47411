//===- JobRegistry.cpp - Batch jobs and their assignments -----------------===//

#include "tulipweir/fleet/JobRegistry.h"
#include "Results.h"
#include "tulipweir/fleet/Bundle.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::fleet;

static CommandResult refuseUnknownJob(const JobId &Job) {
  return refuse(ErrorCode::NotFound,
                "no job '" + Job.value() + "'; only the last " +
                    std::to_string(JobRegistry::MaxEndedJobs) +
                    " ended jobs are kept");
}

static CommandResult withAssignment(CommandResult Result,
                                    std::uint64_t Assignment) {
  Result.Assignment_ = Assignment;
  return Result;
}

static std::string formatEnd(JobEnd End) {
  static constexpr const char *Names[] = {"finished", "failed", "cancelled"};
  return Names[static_cast<std::size_t>(End)];
}

static CommandResult refuseEnded(const FleetJob &Record) {
  return refuse(ErrorCode::AlreadyExists,
                "the job has already ended: " + formatEnd(*Record.End_));
}

static CommandResult refuseStale(const FleetJob &Record,
                                 std::uint64_t Claimed) {
  std::string Message = "assignment " + std::to_string(Claimed) +
                        " is not current; the latest is " +
                        std::to_string(Record.Assignment_);
  Message += Record.DataCentre_.value().empty()
                 ? ", released"
                 : ", held by '" + Record.DataCentre_.value() + "'";
  return refuse(ErrorCode::StaleToken, std::move(Message));
}

static bool isHeldUnder(const FleetJob &Record, std::uint64_t Assignment) {
  return !Record.DataCentre_.value().empty() &&
         Record.Assignment_ == Assignment;
}

static bool isSameJob(const FleetJob &Record, const SubmitJob &Request) {
  return Record.Team_ == Request.Team_ &&
         Record.Preferred_ == Request.Preferred_ &&
         Record.SpecDigest_ == computeDigest(Request.Spec_);
}

static std::string findSubmitError(const SubmitJob &Request) {
  const std::size_t NameBytes = Request.Job_.value().size();
  if (NameBytes == 0 || NameBytes > JobRegistry::MaxNameBytes)
    return "the job's name has " + std::to_string(NameBytes) +
           " bytes; 1 to 128 are allowed";
  if (Request.Spec_.size() > JobRegistry::MaxSpecBytes)
    return "the job's spec has " + std::to_string(Request.Spec_.size()) +
           " bytes; at most 65536 are allowed";
  return "";
}

const FleetJob *JobRegistry::find(const JobId &Job) const {
  const auto It = Jobs_.find(Job);
  return It == Jobs_.end() ? nullptr : &It->second;
}

FleetJob *JobRegistry::findOpen(const JobId &Job, CommandResult &Refusal) {
  const auto It = Jobs_.find(Job);
  if (It == Jobs_.end()) {
    Refusal = refuseUnknownJob(Job);
    return nullptr;
  }
  if (It->second.End_) {
    Refusal = refuseEnded(It->second);
    return nullptr;
  }
  return &It->second;
}

CommandResult JobRegistry::submit(const SubmitJob &Request) {
  const std::string Reason = findSubmitError(Request);
  if (!Reason.empty())
    return refuse(ErrorCode::InvalidArgument, Reason);
  if (const FleetJob *Existing = find(Request.Job_)) {
    if (isSameJob(*Existing, Request))
      return refuse(ErrorCode::AlreadyExists, "submitted before, unchanged");
    return refuse(ErrorCode::Conflict, "another job has the name '" +
                                           Request.Job_.value() +
                                           "'; choose a new name");
  }
  if (countOpen() >= MaxOpenJobs)
    return refuse(ErrorCode::Unavailable,
                  std::to_string(MaxOpenJobs) +
                      " jobs are open; submit again once some have ended");
  FleetJob Record;
  Record.Team_ = Request.Team_;
  Record.Spec_ = Request.Spec_;
  Record.SpecDigest_ = computeDigest(Request.Spec_);
  Record.Preferred_ = Request.Preferred_;
  Record.SubmittedWallMs_ = Request.WallMs_;
  Jobs_.emplace(Request.Job_, std::move(Record));
  Unassigned_.insert(Request.Job_);
  return confirm("submitted");
}

CommandResult JobRegistry::assign(const AssignJob &Request) {
  CommandResult Refusal;
  FleetJob *const Open = findOpen(Request.Job_, Refusal);
  if (!Open)
    return Refusal;
  FleetJob &Record = *Open;
  if (Request.DataCentre_.value().empty())
    return refuse(ErrorCode::InvalidArgument, "the data centre is missing");
  if (!Record.DataCentre_.value().empty()) {
    const bool Same = Record.DataCentre_ == Request.DataCentre_;
    const auto Code = Same ? ErrorCode::AlreadyExists : ErrorCode::Conflict;
    return withAssignment(
        refuse(Code, "held by '" + Record.DataCentre_.value() + "'"),
        Record.Assignment_);
  }
  Record.DataCentre_ = Request.DataCentre_;
  ++Record.Assignment_;
  Unassigned_.erase(Request.Job_);
  Held_[Request.DataCentre_].insert(Request.Job_);
  return withAssignment(confirm("assigned"), Record.Assignment_);
}

CommandResult JobRegistry::release(const ReleaseJob &Request) {
  CommandResult Refusal;
  FleetJob *const Open = findOpen(Request.Job_, Refusal);
  if (!Open)
    return Refusal;
  FleetJob &Record = *Open;
  if (!isHeldUnder(Record, Request.Assignment_)) {
    const bool Repeated = Record.DataCentre_.value().empty() &&
                          Record.Assignment_ == Request.Assignment_;
    return Repeated ? refuse(ErrorCode::AlreadyExists, "already released")
                    : refuseStale(Record, Request.Assignment_);
  }
  if (Request.Progress_.size() > MaxProgressBytes)
    return refuse(ErrorCode::TooLarge, "the progress is larger than 1 MiB");
  if (!Request.Progress_.empty())
    Record.Progress_ = Request.Progress_;
  unassign(Request.Job_, Record);
  if (Record.Cancelling_)
    finishJob(Request.Job_, Record, JobEnd::Cancelled, "cancelled", 0);
  return confirm("released");
}

CommandResult JobRegistry::cancel(const CancelJob &Request) {
  CommandResult Refusal;
  FleetJob *const Open = findOpen(Request.Job_, Refusal);
  if (!Open)
    return Refusal;
  FleetJob &Record = *Open;
  if (Record.DataCentre_.value().empty()) {
    finishJob(Request.Job_, Record, JobEnd::Cancelled,
              "cancelled before it was assigned", 0);
    return confirm("cancelled");
  }
  if (Record.Cancelling_)
    return refuse(ErrorCode::AlreadyExists,
                  "the job is already being cancelled");
  Record.Cancelling_ = true;
  return confirm("'" + Record.DataCentre_.value() +
                 "' is requested to cancel the job");
}

CommandResult JobRegistry::end(const EndJob &Request) {
  CommandResult Refusal;
  FleetJob *const Open = findOpen(Request.Job_, Refusal);
  if (!Open)
    return Refusal;
  FleetJob &Record = *Open;
  if (!isHeldUnder(Record, Request.Assignment_))
    return refuseStale(Record, Request.Assignment_);
  unassign(Request.Job_, Record);
  finishJob(Request.Job_, Record, Request.End_, Request.Message_,
            Request.WallMs_);
  return confirm("ended");
}

/// Clears the job's assignment; the job stays open and unassigned.
void JobRegistry::unassign(const JobId &Job, FleetJob &Record) {
  const auto Holder = Held_.find(Record.DataCentre_);
  Holder->second.erase(Job);
  if (Holder->second.empty())
    Held_.erase(Holder);
  Record.DataCentre_ = DataCentreId();
  Unassigned_.insert(Job);
}

void JobRegistry::finishJob(const JobId &Job, FleetJob &Record, JobEnd End,
                            std::string Message, std::uint64_t WallMs) {
  Unassigned_.erase(Job);
  Record.End_ = End;
  Record.Message_ = std::move(Message);
  Record.EndedWallMs_ = WallMs;
  Record.Progress_.clear();
  Record.Progress_.shrink_to_fit();
  if (Record.Spec_.size() > MaxEndedSpecBytes)
    Record.Spec_ = std::string();
  Ended_.push_back(Job);
  if (Ended_.size() <= MaxEndedJobs)
    return;
  Jobs_.erase(Ended_.front());
  Ended_.pop_front();
}

/// Returns whether Ended contains each ended job once and no other job.
static bool listsExactlyEndedJobs(const std::map<JobId, FleetJob> &Jobs,
                                  const std::deque<JobId> &Ended) {
  std::set<JobId> Listed;
  for (const JobId &Job : Ended) {
    const auto It = Jobs.find(Job);
    if (It == Jobs.end() || !It->second.End_ || !Listed.insert(Job).second)
      return false;
  }
  const auto Count = std::ranges::count_if(
      Jobs, [](const auto &Entry) { return Entry.second.End_.has_value(); });
  return static_cast<std::size_t>(Count) == Listed.size();
}

Outcome<JobRegistry> JobRegistry::restore(std::map<JobId, FleetJob> Jobs,
                                          std::deque<JobId> Ended) {
  if (!listsExactlyEndedJobs(Jobs, Ended))
    return fail(ErrorCode::Malformed,
                "the snapshot's list of ended jobs does not match its jobs");
  JobRegistry Registry;
  Registry.Jobs_ = std::move(Jobs);
  Registry.Ended_ = std::move(Ended);
  for (const auto &[Job, Record] : Registry.Jobs_) {
    if (Record.End_)
      continue;
    if (Record.DataCentre_.value().empty())
      Registry.Unassigned_.insert(Job);
    else
      Registry.Held_[Record.DataCentre_].insert(Job);
  }
  return Registry;
}
