#include "control/DataCentreDuties.h"

#include <spdlog/spdlog.h>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration TickPeriod = std::chrono::milliseconds(100);
/// Events within this time share one run of the planner.
static constexpr Duration PlanDelay = std::chrono::milliseconds(2);
static constexpr std::uint64_t LoadTicks = 10;

DataCentreDuties::DataCentreDuties(const LeadershipParts &Parts,
                                   const LeadershipSettings &Settings,
                                   ChangeFeed &Feed)
    : Parts_(Parts), Settings_(Settings), Feed_(Feed),
      Watch_(Parts.Group_, Parts.Strand_,
             {[this](std::uint64_t Term) { beginLeading(Term); },
              [this] { endLeading(); }}) {}

void DataCentreDuties::start() {
  Parts_.Strand_.post([this] { tick(); });
}

void DataCentreDuties::stop(std::function<void()> Stopped) {
  Parts_.Strand_.post([this, Stopped = std::move(Stopped)] {
    Stopped_ = true;
    endLeading();
    Stopped();
  });
}

void DataCentreDuties::tick() {
  if (Stopped_)
    return;
  Watch_.poll();
  if (Leadership_) {
    Leadership_->tick();
    if (Ticks_++ % LoadTicks == 0) {
      const std::lock_guard Lock(LoadMutex_);
      Load_ = Leadership_->measureLoad();
    }
  }
  Parts_.Strand_.postAfter(TickPeriod, [this] { tick(); });
}

void DataCentreDuties::beginLeading(std::uint64_t Term) {
  if (Stopped_)
    return;
  // The feed opens first: what is applied between the two is told twice, and
  // the leadership knows by its index what it has seen.
  Feed_.open([this, Term](std::uint64_t Index,
                          std::vector<datacentre::Change> Changes) {
    Parts_.Strand_.post([this, Term, Index, Changes = std::move(Changes)] {
      if (!Leadership_ || Leadership_->term() != Term)
        return;
      Leadership_->noteChanges(Index, Changes);
      schedulePlan();
    });
  });
  Leadership_ = std::make_unique<DataCentreLeadership>(Parts_, Settings_, Term);
  Leading_ = true;
  spdlog::info("leads data centre {} in term {}", Settings_.DataCentre_.value(),
               Term);
}

void DataCentreDuties::endLeading() {
  Leading_ = false;
  Feed_.close();
  {
    const std::lock_guard Lock(LoadMutex_);
    Load_.reset();
  }
  if (!Leadership_)
    return;
  spdlog::info("leads data centre {} no more", Settings_.DataCentre_.value());
  Leadership_.reset();
  Parts_.RollOuts_.clear();
}

void DataCentreDuties::schedulePlan() {
  if (PlanScheduled_)
    return;
  PlanScheduled_ = true;
  Parts_.Strand_.postAfter(PlanDelay, [this] {
    PlanScheduled_ = false;
    if (Leadership_ && Leadership_->plan())
      schedulePlan();
  });
}

Error DataCentreDuties::makeNotLeader() const {
  return Error::make(ErrorCode::NotLeader, findLeader());
}

void DataCentreDuties::onAnnouncement(wire::Announcement Value,
                                      Done<wire::AnnouncementReply> Reply) {
  Parts_.Strand_.post(
      [this, Value = std::move(Value), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeader()));
        Reply(Leadership_->onAnnouncement(Value));
      });
}

void DataCentreDuties::onAnnouncementBatch(
    wire::AnnouncementBatch Value, Done<wire::AnnouncementBatchReply> Reply) {
  Parts_.Strand_.post(
      [this, Value = std::move(Value), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeader()));
        Reply(Leadership_->onAnnouncementBatch(Value));
      });
}

void DataCentreDuties::onEntryReport(wire::EntryReport Value,
                                     Done<wire::EntryReportReply> Reply) {
  Parts_.Strand_.post(
      [this, Value = std::move(Value), Reply = std::move(Reply)] {
        if (!Leadership_)
          return Reply(boost::outcome_v2::failure(makeNotLeader()));
        Reply(Leadership_->onEntryReport(Value));
      });
}

void DataCentreDuties::noteBundle() {
  Parts_.Strand_.post([this] {
    if (!Leadership_)
      return;
    Leadership_->noteBundle();
    schedulePlan();
  });
}

void DataCentreDuties::noteJob(const JobId &Job) {
  if (!Leading_)
    return;
  Parts_.Strand_.post([this, Job] {
    if (Leadership_)
      Leadership_->noteJob(Job);
  });
}

void DataCentreDuties::noteRestored() {
  Parts_.Strand_.post([this] {
    if (!Leadership_)
      return;
    const std::uint64_t Term = Leadership_->term();
    endLeading();
    beginLeading(Term);
  });
}

void DataCentreDuties::visit(Visitor Use) {
  Parts_.Strand_.post([this, Use = std::move(Use)] { Use(Leadership_.get()); });
}

std::optional<fleet::DataCentreLoad> DataCentreDuties::findLoad() const {
  const std::lock_guard Lock(LoadMutex_);
  return Load_;
}
