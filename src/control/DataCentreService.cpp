#include "control/DataCentreService.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Events within this time share one run of the planner.
static constexpr Duration PlanDelay = std::chrono::milliseconds(2);
static constexpr std::uint64_t TicksPerLoadUpdate = 10;

DataCentreService::DataCentreService(const LeadershipParts &Parts,
                                     const LeadershipSettings &Settings,
                                     ChangeFeed &Feed)
    : Parts_(Parts), Settings_(Settings), Feed_(Feed),
      Watch_(Parts.Group_, Parts.Strand_,
             {[this](std::uint64_t Term) { startLeading(Term); },
              [this] { stopLeading(); }}) {}

void DataCentreService::start() {
  Parts_.Strand_.post([this] { tick(); });
}

void DataCentreService::stop(std::function<void()> Stopped) {
  Parts_.Strand_.post([this, Stopped = std::move(Stopped)] {
    Stopped_ = true;
    stopLeading();
    Stopped();
  });
}

void DataCentreService::tick() {
  if (Stopped_)
    return;
  Watch_.poll();
  if (Leadership_) {
    Leadership_->tick();
    if (Ticks_++ % TicksPerLoadUpdate == 0) {
      const std::lock_guard Lock(LoadMutex_);
      Load_ = Leadership_->measureLoad();
    }
  }
  Parts_.Strand_.postAfter(TickInterval, [this] { tick(); });
}

void DataCentreService::startLeading(std::uint64_t Term) {
  if (Stopped_)
    return;
  // The feed opens before the leadership reads the state. Changes applied in
  // between arrive twice; the leadership ignores them by their index.
  Feed_.open([this, Term](std::uint64_t Index,
                          std::vector<datacentre::Change> Changes) {
    Parts_.Strand_.post([this, Term, Index, Changes = std::move(Changes)] {
      if (!Leadership_ || Leadership_->term() != Term)
        return;
      Leadership_->onChanges(Index, Changes);
      schedulePlanning();
    });
  });
  Leadership_ = std::make_unique<DataCentreLeadership>(Parts_, Settings_, Term);
  Leading_ = true;
  spdlog::info("leading data centre {} in term {}",
               Settings_.DataCentre_.value(), Term);
}

void DataCentreService::stopLeading() {
  Leading_ = false;
  Feed_.close();
  {
    const std::lock_guard Lock(LoadMutex_);
    Load_.reset();
  }
  if (!Leadership_)
    return;
  spdlog::info("no longer leading data centre {}",
               Settings_.DataCentre_.value());
  Leadership_.reset();
  Parts_.RollOuts_.clear();
}

void DataCentreService::schedulePlanning() {
  if (PlanningScheduled_)
    return;
  PlanningScheduled_ = true;
  Parts_.Strand_.postAfter(PlanDelay, [this] {
    PlanningScheduled_ = false;
    if (Leadership_ && Leadership_->plan())
      schedulePlanning();
  });
}

Error DataCentreService::makeNotLeaderError() const {
  return Error::make(ErrorCode::NotLeader, findLeader());
}

void DataCentreService::onAnnouncement(wire::Announcement Announced,
                                       Done<wire::AnnouncementReply> Reply) {
  Parts_.Strand_.post(
      [this, Announced = std::move(Announced), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeaderError()));
        Reply(Leadership_->onAnnouncement(Announced));
      });
}

void DataCentreService::onAnnouncementBatch(
    wire::AnnouncementBatch Batch, Done<wire::AnnouncementBatchReply> Reply) {
  Parts_.Strand_.post(
      [this, Batch = std::move(Batch), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeaderError()));
        Reply(Leadership_->onAnnouncementBatch(Batch));
      });
}

void DataCentreService::onEntryReport(wire::EntryReport Report,
                                      Done<wire::EntryReportReply> Reply) {
  Parts_.Strand_.post(
      [this, Report = std::move(Report), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeaderError()));
        Reply(Leadership_->onEntryReport(Report));
      });
}

void DataCentreService::onBundleChanged() {
  Parts_.Strand_.post([this] {
    if (!Leadership_)
      return;
    Leadership_->onBundleChanged();
    schedulePlanning();
  });
}

void DataCentreService::onJobChanged(const JobId &Job) {
  if (!Leading_)
    return;
  Parts_.Strand_.post([this, Job] {
    if (Leadership_)
      Leadership_->onJobChanged(Job);
  });
}

void DataCentreService::onStateRestored() {
  Parts_.Strand_.post([this] {
    if (!Leadership_)
      return;
    const std::uint64_t Term = Leadership_->term();
    stopLeading();
    startLeading(Term);
  });
}

void DataCentreService::visit(Visitor Callback) {
  Parts_.Strand_.post(
      [this, Callback = std::move(Callback)] { Callback(Leadership_.get()); });
}

std::optional<fleet::DataCentreLoad> DataCentreService::findLoad() const {
  const std::lock_guard Lock(LoadMutex_);
  return Load_;
}
