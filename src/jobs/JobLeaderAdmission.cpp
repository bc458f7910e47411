#include "jobs/JobLeaderImpl.h"

#include <cstdio>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// At most this many rejections are logged in each interval; the rest is
/// counted in the next line.
static constexpr std::uint64_t MaxLoggedRejections = 10;
static constexpr Duration RejectionLogInterval = 1s;
/// How much later the next forecast comes with each step of the pacing.
static constexpr Duration ForecastPause = 250ms;
/// The interval at which ids of settled proposals are removed.
static constexpr Duration PruneInterval = 1s;

static std::uint64_t toMs(Duration Time) {
  // Rounded up: a caller that returns too early counts as a new one.
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(Time).count());
}

/// Returns what the caller is told.
static std::string_view getText(RejectionReason Reason) {
  return Reason == RejectionReason::LastingFull
             ? "long-running work already waits for more capacity than there is"
             : "the job would end too late to be of use: more work is waiting "
               "than can be served in time";
}

void JobLeader::Impl::updateAdmission() {
  if (!Admission_.isEnabled())
    return;
  const WorkTimer::Scope Measured(Work_, LeaderWork::Admission);
  const TimePoint Now = Time_.now();
  if (Now < NextForecast_)
    return;
  NextForecast_ = Now + ForecastPause * (PeriodicWork_.getFactor() - 1);
  const bool IsPruning = Now >= NextAdmissionPrune_;
  if (IsPruning)
    NextAdmissionPrune_ = Now + PruneInterval;
  Machine_.read([&](const JobRegistry &Registry) {
    Admission_.update(Registry, LiveServers_, Health_, Now, Time_.wallNow());
    if (IsPruning)
      OpenSubmissions_.prune(Registry);
    return 0;
  });
}

std::optional<JobCallReply>
JobLeader::Impl::findRejection(const JobCall &Call, const QueuePolicy &Queue) {
  const std::string &Id = Call.Spec_.Id_;
  if (!Admission_.isEnabled() || OpenSubmissions_.mayContain(Id))
    return std::nullopt;
  const bool IsKnown = Machine_.read([&Id](const JobRegistry &Registry) {
    return Registry.findJob(Id) != nullptr;
  });
  if (IsKnown)
    return std::nullopt;
  const AdmissionDecision Decision =
      Admission_.decide(Call.Spec_, Queue, Call.DataCentre_, Time_.now());
  if (Decision.isAccepted()) {
    if (Decision.IsReturn_)
      Meter_.add(JobCounter::JobsReturned, 1);
    return std::nullopt;
  }
  Meter_.add(JobCounter::JobsRefused, 1);
  Meter_.add(Decision.Reason_ == RejectionReason::LastingFull
                 ? JobCounter::JobsRejectedLastingFull
                 : JobCounter::JobsRejectedTooLate,
             1);
  Meter_.record(JobTimer::ReturnTime, Decision.RetryAfter_);
  logRejection(Id, Decision);
  JobCallReply Result;
  Result.Outcome_ = CallOutcome::Refused;
  Result.RetryAfterMs_ = toMs(Decision.RetryAfter_);
  Result.Reason_ = getText(Decision.Reason_);
  return Result;
}

void JobLeader::Impl::beginSubmission(const std::string &Id) {
  if (Admission_.isEnabled())
    OpenSubmissions_.begin(Id);
}

void JobLeader::Impl::endSubmission(const std::string &Id, std::uint64_t Term,
                                    const Outcome<CommandResult> &Applied) {
  // With any other error the job may still be accepted.
  const bool IsSettled =
      Applied || Applied.error().Code_ == ErrorCode::NotLeader;
  if (Admission_.isEnabled() && IsSettled && Term == Term_)
    OpenSubmissions_.end(Id);
}

void JobLeader::Impl::logRejection(const std::string &Id,
                                   const AdmissionDecision &Decision) {
  const TimePoint Now = Time_.now();
  if (Now >= NextRejectionLog_) {
    NextRejectionLog_ = Now + RejectionLogInterval;
    LoggedRejections_ = 0;
  }
  if (LoggedRejections_ >= MaxLoggedRejections) {
    ++UnloggedRejections_;
    return;
  }
  ++LoggedRejections_;
  const auto GetSeconds = [](Duration Time) {
    return std::chrono::duration<double>(Time).count();
  };
  char Figures[160];
  std::snprintf(Figures, sizeof(Figures),
                "expected %.1f s, allowed %.1f s, backlog %.1f processor "
                "seconds, rate %.1f processors, return in %.1f s",
                GetSeconds(Decision.ExpectedEnd_),
                GetSeconds(Decision.Allowed_), Decision.Backlog_,
                Decision.Rate_, GetSeconds(Decision.RetryAfter_));
  if (Decision.Reason_ == RejectionReason::LastingFull)
    std::snprintf(Figures, sizeof(Figures),
                  "long-running work holds and waits for %.1f processors and "
                  "may hold %.1f, return in %.1f s",
                  Decision.Backlog_, Decision.Rate_,
                  GetSeconds(Decision.RetryAfter_));
  Event Line;
  Line.Kind_ = EventKind::JobRefused;
  Line.Job_ = Id;
  Line.Term_ = Term_;
  Line.Outcome_ = Decision.Reason_ == RejectionReason::LastingFull
                      ? "lasting_full"
                      : "too_late";
  Line.Reason_ = Figures;
  if (UnloggedRejections_ > 0)
    Line.Count_ = std::exchange(UnloggedRejections_, 0);
  Log_.write(Line);
}
