//===- Reporter.cpp -------------------------------------------------------===//

#include "tulipweir/entry/Reporter.h"

#include <spdlog/spdlog.h>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

static constexpr Duration ReportTimeout = milliseconds(1000);

class Reporter::Loop : public std::enable_shared_from_this<Loop> {
public:
  explicit Loop(const ReporterDependencies &Deps) : Deps_(Deps) {}

  void report() {
    if (Stopped_)
      return;
    const TimePoint SentAt = Deps_.Clock_.now();
    Deps_.Metrics_.Reports_.add();
    const wire::EntryReport Report = makeReport(KnownVersion_);
    Deps_.Control_.report(
        Report, ReportTimeout,
        [Weak = weak_from_this(), SentAt, ReportedVersion = Report.RoutesHeld_,
         Brief = Report.Brief_](const Outcome<wire::EntryReportReply> &Reply) {
          if (const std::shared_ptr<Loop> Self = Weak.lock())
            Self->onReply(Reply, SentAt, ReportedVersion, Brief);
        });
  }

  void releaseGrants(std::function<void()> Done) {
    Stopped_ = true;
    wire::EntryReport Last = makeReport(0);
    Last.Stopping_ = true;
    Deps_.Control_.report(
        Last, ReportTimeout,
        [Done = std::move(Done)](const Outcome<wire::EntryReportReply> &Reply) {
          spdlog::info("grants {}",
                       Reply ? "returned to the leader" : "left to expire");
          Done();
        });
  }

  void stop() { Stopped_ = true; }
  bool hasLeader() const { return HasLeader_; }

private:
  wire::EntryReport makeReport(std::uint64_t KnownVersion) const {
    wire::EntryReport Report;
    Report.Entry_ = Deps_.Identity_.Entry_;
    Report.Address_ = Deps_.Identity_.Address_;
    Report.Incarnation_ = Deps_.Identity_.Incarnation_;
    Report.Held_ = Deps_.Configuration_.getVersion();
    Deps_.Router_.fillReport(Report, KnownVersion);
    return Report;
  }

  void onReply(const Outcome<wire::EntryReportReply> &Reply, TimePoint SentAt,
               std::uint64_t ReportedVersion, bool Brief) {
    if (Stopped_)
      return;
    setHasLeader(Reply.has_value());
    const bool SendFull = Reply && Reply.value().SendFull_;
    // A reply that requests a full report does not extend any grant either.
    if (Reply && !SendFull)
      adopt(Reply.value(), SentAt, ReportedVersion);
    KnownVersion_ = Reply && !SendFull ? Reply.value().RoutesVersion_ : 0;
    if (SendFull && Brief)
      return report();
    const Duration Elapsed = Deps_.Clock_.now() - SentAt;
    const Duration Pause = std::max(Duration::zero(), Deps_.Period_ - Elapsed);
    Deps_.Timers_.runAfter(Pause, [Weak = weak_from_this()] {
      if (const std::shared_ptr<Loop> Self = Weak.lock())
        Self->report();
    });
  }

  void setHasLeader(bool Answered) {
    if (!Answered)
      Deps_.Metrics_.ReportsFailed_.add();
    if (HasLeader_.exchange(Answered) != Answered)
      spdlog::info("the leader {}", Answered ? "answers" : "does not answer");
  }

  void adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
             std::uint64_t ReportedVersion) {
    // The bundle is adopted first, because its services need their gates before
    // the routes are applied.
    if (Reply.Bundle_)
      adoptBundle(*Reply.Bundle_);
    if (Deps_.Router_.adopt(Reply, SentAt, ReportedVersion))
      Deps_.Flags_.GrantsExpireAt_ = SentAt + milliseconds(Reply.GrantTtlMs_);
  }

  void adoptBundle(const wire::SignedBundle &Signed) {
    const Outcome<bool> Adopted = Deps_.Configuration_.adopt(Signed);
    if (!Adopted) {
      Deps_.Metrics_.BundlesRefused_.add();
      spdlog::error("bundle {} was not adopted: {}", Signed.Version_.value(),
                    Adopted.error().Message_);
      return;
    }
    if (!Adopted.value())
      return;
    Deps_.Metrics_.BundlesAdopted_.add();
    spdlog::info("bundle {} is in force here", Signed.Version_.value());
    Deps_.Router_.configure(*Deps_.Configuration_.get());
  }

  const ReporterDependencies Deps_;
  std::atomic<bool> Stopped_{false};
  std::atomic<bool> HasLeader_{false};
  /// The route version of the last reply, or 0 if there was none.
  std::atomic<std::uint64_t> KnownVersion_{0};
};

Reporter::Reporter(const ReporterDependencies &Deps)
    : Loop_(std::make_shared<Loop>(Deps)) {}

Reporter::~Reporter() { Loop_->stop(); }

void Reporter::start() { Loop_->report(); }

void Reporter::releaseGrants(std::function<void()> Done) {
  Loop_->releaseGrants(std::move(Done));
}

bool Reporter::hasLeader() const { return Loop_->hasLeader(); }
