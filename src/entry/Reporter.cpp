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
  explicit Loop(const ReporterParts &Parts) : Parts_(Parts) {}

  void report() {
    if (Ended_)
      return;
    const TimePoint SentAt = Parts_.Clock_.now();
    Parts_.Metrics_.Reports_.add();
    const wire::EntryReport Report = makeReport(KnownVersion_);
    Parts_.Control_.report(
        Report, ReportTimeout,
        [Weak = weak_from_this(), SentAt, Named = Report.RoutesHeld_,
         Brief = Report.Brief_](const Outcome<wire::EntryReportReply> &Reply) {
          if (const std::shared_ptr<Loop> Self = Weak.lock())
            Self->onReply(Reply, SentAt, Named, Brief);
        });
  }

  void giveBack(std::function<void()> Done) {
    Ended_ = true;
    wire::EntryReport Last = makeReport(0);
    Last.Stopping_ = true;
    Parts_.Control_.report(
        Last, ReportTimeout,
        [Done = std::move(Done)](const Outcome<wire::EntryReportReply> &Reply) {
          spdlog::info("grants {}", Reply ? "given back" : "left to run out");
          Done();
        });
  }

  void end() { Ended_ = true; }
  bool hasLeader() const { return HasLeader_; }

private:
  wire::EntryReport makeReport(std::uint64_t Known) const {
    wire::EntryReport Report;
    Report.Entry_ = Parts_.Identity_.Entry_;
    Report.Address_ = Parts_.Identity_.Address_;
    Report.Incarnation_ = Parts_.Identity_.Incarnation_;
    Report.Held_ = Parts_.Configuration_.getVersion();
    Parts_.Router_.fillReport(Report, Known);
    return Report;
  }

  void onReply(const Outcome<wire::EntryReportReply> &Reply, TimePoint SentAt,
               std::uint64_t Named, bool Brief) {
    if (Ended_)
      return;
    noteLeader(Reply.has_value());
    const bool SendFull = Reply && Reply.value().SendFull_;
    // Not even a grant follows from such a reply.
    if (Reply && !SendFull)
      adopt(Reply.value(), SentAt, Named);
    KnownVersion_ = Reply && !SendFull ? Reply.value().RoutesVersion_ : 0;
    if (SendFull && Brief)
      return report();
    const Duration Passed = Parts_.Clock_.now() - SentAt;
    const Duration Pause = std::max(Duration::zero(), Parts_.Period_ - Passed);
    Parts_.Timers_.runAfter(Pause, [Weak = weak_from_this()] {
      if (const std::shared_ptr<Loop> Self = Weak.lock())
        Self->report();
    });
  }

  void noteLeader(bool Found) {
    if (!Found)
      Parts_.Metrics_.ReportsFailed_.add();
    if (HasLeader_.exchange(Found) != Found)
      spdlog::info("the leader {}", Found ? "answers" : "does not answer");
  }

  void adopt(const wire::EntryReportReply &Reply, TimePoint SentAt,
             std::uint64_t Named) {
    // The bundle first: its services need their gates before the routes come.
    if (Reply.Bundle_)
      adoptBundle(*Reply.Bundle_);
    if (Parts_.Router_.adopt(Reply, SentAt, Named))
      Parts_.Flags_.GrantsUntil_ = SentAt + milliseconds(Reply.GrantTtlMs_);
  }

  void adoptBundle(const wire::SignedBundle &Signed) {
    const Outcome<bool> Adopted = Parts_.Configuration_.adopt(Signed);
    if (!Adopted) {
      Parts_.Metrics_.BundlesRefused_.add();
      spdlog::error("bundle {} was not adopted: {}", Signed.Version_.value(),
                    Adopted.error().Message_);
      return;
    }
    if (!Adopted.value())
      return;
    Parts_.Metrics_.BundlesAdopted_.add();
    spdlog::info("bundle {} is in force here", Signed.Version_.value());
    Parts_.Router_.configure(*Parts_.Configuration_.get());
  }

  const ReporterParts Parts_;
  std::atomic<bool> Ended_{false};
  std::atomic<bool> HasLeader_{false};
  /// The version that the last reply named; 0 if there was none.
  std::atomic<std::uint64_t> KnownVersion_{0};
};

Reporter::Reporter(const ReporterParts &Parts)
    : Loop_(std::make_shared<Loop>(Parts)) {}

Reporter::~Reporter() { Loop_->end(); }

void Reporter::start() { Loop_->report(); }

void Reporter::giveBack(std::function<void()> Done) {
  Loop_->giveBack(std::move(Done));
}

bool Reporter::hasLeader() const { return Loop_->hasLeader(); }
