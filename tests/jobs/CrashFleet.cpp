#include "jobs/CrashFleet.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

static constexpr std::int64_t ServerMilliCpus = 16'000;
static constexpr std::uint64_t TasksOfAJob = 6;
static constexpr std::size_t MostStartsAfterThird = 2;
static constexpr std::size_t ToldCrashes = 3;

CrashFleet::CrashFleet(const CrashDay &Day) : Day_(Day), Random_(Day.Seed_) {
  Leader_.start();
  Strand_.advance(100ms);
  Leader_.putConfiguration(makeConfiguration(), [](const Outcome<void> &) {});
  Strand_.runAll();
  Begin_ = Time_.now();
  const auto After = [this](Duration Interval) {
    return Interval == Duration(0) ? TimePoint::max() : Begin_ + Interval;
  };
  NextLeader_ = After(Day_.LeaderLasts_);
  NextMass_ = After(Day_.MassCrashInterval_);
  NextCut_ = After(Day_.CutInterval_);
  Servers_.resize(Day_.Servers_);
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Address_ = "a" + std::to_string(I) + ":80";
    comeBack(Servers_[I]);
  }
}

void CrashFleet::submit(
    const std::string &Job, const std::vector<StepSpec> &Steps,
    const std::set<std::pair<std::uint64_t, std::uint64_t>> &Culprits) {
  if (!Culprits.empty())
    Culprits_[Job] = Culprits;
  const bool IsFinite =
      std::none_of(Steps.begin(), Steps.end(),
                   [](const StepSpec &Each) { return Each.LongRunning_; });
  if (Culprits.empty() && IsFinite)
    Finite_.insert(Job);
  Open_[Job] = Steps;
  submitOpen();
}

/// Clients ask again until they have an answer.
void CrashFleet::submitOpen() {
  for (const auto &[Job, Steps] : std::map(Open_))
    Leader_.call({CallKind::Submit, Host, Prefix + Job, makeJob("", Steps)},
                 [this, Job = Job](const Outcome<JobCallReply> &Reply) {
                   if (Reply && Reply.value().Outcome_ == CallOutcome::Done)
                     Open_.erase(Job);
                 });
  Strand_.runAll();
}

void CrashFleet::run(Duration Length) {
  const TimePoint End = Time_.now() + Length;
  while (Time_.now() < End)
    step();
  Machine_.read([this](const JobBook &Book) {
    for (const auto &[Id, Job] : Book.jobs())
      if (Job.State_ == JobState::Failed && Culprits_.count(Id) == 0)
        Broken_.push_back(Id + ": sound, and shown as failed");
    return 0;
  });
}

void CrashFleet::step() {
  Strand_.advance(Step);
  const TimePoint Now = Time_.now();
  if (Now >= NextLeader_)
    changeLeader();
  submitOpen();
  if (Now >= NextJob_ && Now - Begin_ < Day_.SoundJobsUntil_)
    submitSound();
  if (Now >= NextMass_) {
    NextMass_ = Now + Day_.MassCrashInterval_;
    for (Server &Each : Servers_)
      if (Each.IsUp_ && draw(5) == 0)
        crash(Each);
  }
  if (Now >= NextCut_) {
    NextCut_ = Now + Day_.CutInterval_;
    Servers_[draw(Servers_.size())].CutUntil_ = Now + 8s;
  }
  for (Server &Each : Servers_) {
    if (!Each.IsUp_ && Day_.AreBack_ && Each.BackAt_ <= Now)
      comeBack(Each);
    if (Each.IsUp_)
      work(Each);
    if (Each.IsUp_ && Each.NextReport_ <= Now && Each.CutUntil_ <= Now)
      report(Each);
  }
}

/// Another leader has what is in the log, and nothing else.
void CrashFleet::changeLeader() {
  NextLeader_ = Time_.now() + Day_.LeaderLasts_;
  Group_.IsLeader_ = false;
  Strand_.advance(100ms);
  ++Group_.Term_;
  Group_.IsLeader_ = true;
}

void CrashFleet::submitSound() {
  NextJob_ = Time_.now() + Day_.JobInterval_;
  const std::string Id = "sound" + std::to_string(SoundJobs_++);
  StepSpec Tasks = makeStep(TasksOfAJob, 1000);
  if (draw(8) == 0)
    Tasks = makeServing(2, "image", 500);
  submit(Id, {Tasks}, {});
}

void CrashFleet::comeBack(Server &Own) {
  const bool IsFirst = Own.Id_.empty();
  const std::size_t Place = static_cast<std::size_t>(&Own - Servers_.data());
  Server Fresh;
  Fresh.Address_ = Own.Address_;
  Fresh.Id_ = "i" + std::to_string(++Incarnations_);
  Fresh.NextReport_ = Time_.now() + 10ms * static_cast<int>(draw(50));
  if (Place < Day_.Unstable_)
    Fresh.CrashesAt_ =
        Time_.now() + 2s + 100ms * static_cast<int>(draw(IsFirst ? 200 : 40));
  Own = std::move(Fresh);
}

void CrashFleet::crash(Server &Own) {
  ++Crashes_;
  for (const auto &[Task, Each] : Own.Running_) {
    TaskStory &Story = Stories_[Task];
    ++Story.Crashes_;
    SoundCrashed_ += isCulprit(Task) ? 0 : 1;
    if (!isCulprit(Task) && isLasting(Task))
      Story.DownSince_ = Time_.now();
  }
  Own.IsUp_ = false;
  Own.Running_.clear();
  Own.BackAt_ = Time_.now() + Day_.BackAfter_;
}

void CrashFleet::crashFirst(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    if (Servers_[I].IsUp_)
      crash(Servers_[I]);
}

bool CrashFleet::isCulprit(const TaskKey &Task) const {
  const auto Job = Culprits_.find(Task.Job_);
  return Job != Culprits_.end() &&
         Job->second.count({Task.Step_, Task.Index_}) != 0;
}

bool CrashFleet::isLasting(const TaskKey &Task) const {
  return Machine_.read([&Task](const JobBook &Book) {
    const StepSpec *Spec = Book.findStep(Task);
    return Spec && Spec->LongRunning_;
  });
}

void CrashFleet::work(Server &Own) {
  const TimePoint Now = Time_.now();
  const bool IsCrashing = Own.CrashesAt_ <= Now ||
                          std::any_of(Own.Running_.begin(), Own.Running_.end(),
                                      [Now](const auto &Each) {
                                        return Each.second.CrashesAt_ <= Now;
                                      });
  if (IsCrashing)
    return crash(Own);
  const bool IsLapsed = Own.LeaseEnd_ <= Now;
  for (auto Each = Own.Running_.begin(); Each != Own.Running_.end();) {
    const auto &[Task, Its] = *Each;
    if (!IsLapsed && Its.EndsAt_ > Now) {
      ++Each;
      continue;
    }
    const RunEnd How = IsLapsed ? RunEnd::Lapsed : RunEnd::Done;
    Done_ += IsLapsed ? 0 : 1;
    Own.Ended_.push_back({++Own.LastEnd_, {Task, Its.Number_, How, ""}});
    Own.NextReport_ = std::min(Own.NextReport_, Now + 50ms);
    Each = Own.Running_.erase(Each);
  }
}

/// Tasks that last are at work at once; others get on by a percent each 50 ms.
std::uint64_t CrashFleet::getPercent(const Run &Its) const {
  static constexpr std::uint64_t Whole = 100;
  const bool IsLasting =
      Its.EndsAt_ == TimePoint::max() && Its.CrashesAt_ == TimePoint::max();
  return IsLasting ? Whole
                   : std::min<std::uint64_t>(
                         Whole - 1, static_cast<std::uint64_t>(
                                        (Time_.now() - Its.StartedAt_) / 50ms));
}

void CrashFleet::report(Server &Own) {
  Own.NextReport_ = Time_.now() + 500ms;
  ServerReport Report;
  Report.Facts_ = makeServer(Own.Id_, ServerMilliCpus);
  Report.Facts_.Address_ = Own.Address_;
  Report.Sequence_ = ++Own.Sequence_;
  Report.Ended_ = Own.Ended_;
  for (const auto &[Task, Its] : Own.Running_)
    Report.Running_.push_back({Task, Its.Number_, "", getPercent(Its), 5});
  std::optional<Outcome<ServerOrders>> Got;
  const auto Answer = std::make_shared<std::optional<Outcome<ServerOrders>>>();
  Leader_.report(Report, [Answer](Outcome<ServerOrders> Orders) {
    *Answer = std::move(Orders);
  });
  Strand_.runAll();
  if (*Answer && **Answer)
    take(Own, (*Answer)->value());
}

void CrashFleet::take(Server &Own, const ServerOrders &Orders) {
  const TimePoint Now = Time_.now();
  if (Orders.NextReportMs_ > 0)
    Own.NextReport_ = Now + std::chrono::milliseconds(Orders.NextReportMs_);
  if (Orders.LeaseMs_ == 0)
    return;
  Own.LeaseEnd_ =
      std::max(Own.LeaseEnd_, Now + std::chrono::milliseconds(Orders.LeaseMs_));
  std::erase_if(Own.Ended_, [&Orders](const EndedTask &Each) {
    return Each.Number_ <= Orders.EndsNoted_;
  });
  for (const StopOrder &Each : Orders.Stops_) {
    std::uint64_t &Highest = Own.Highest_[Each.Task_];
    Highest = std::max(Highest, Each.Run_);
    const auto Running = Own.Running_.find(Each.Task_);
    if (Running == Own.Running_.end() || Running->second.Number_ != Each.Run_)
      continue;
    Own.Running_.erase(Running);
    Own.Ended_.push_back(
        {++Own.LastEnd_, {Each.Task_, Each.Run_, RunEnd::Stopped, ""}});
    Own.NextReport_ = Now + 50ms;
  }
  for (const StartOrder &Each : Orders.Starts_)
    begin(Own, Each);
}

void CrashFleet::begin(Server &Own, const StartOrder &Start) {
  std::uint64_t &Highest = Own.Highest_[Start.Task_];
  if (Start.Run_ <= Highest)
    return;
  Highest = Start.Run_;
  const TimePoint Now = Time_.now();
  TaskStory &Story = Stories_[Start.Task_];
  Run &Its = Own.Running_[Start.Task_];
  Its = {Start.Run_, Now, TimePoint::max(), TimePoint::max()};
  if (isCulprit(Start.Task_)) {
    Its.CrashesAt_ = Now + Day_.CrashAfter_;
    if (Story.Crashes_ >= ToldCrashes &&
        ++Story.StartsAfterThird_ > MostStartsAfterThird)
      Broken_.push_back(Start.Task_.Job_ + "." +
                        std::to_string(Start.Task_.Index_) + " run " +
                        std::to_string(Start.Run_) +
                        ": started three times after three crashes");
    return;
  }
  if (Story.DownSince_)
    LongestOutage_ = std::max(LongestOutage_, Now - *Story.DownSince_);
  Story.DownSince_.reset();
  if (!isLasting(Start.Task_))
    Its.EndsAt_ = Now + 300ms + 100ms * static_cast<int>(draw(15));
}

JobState CrashFleet::getState(const std::string &Job) const {
  return Machine_.read([&Job](const JobBook &Book) {
    const JobRecord *Found = Book.findJob(Job);
    return Found ? Found->State_ : JobState::Queued;
  });
}

std::vector<std::string> CrashFleet::listUnfinished() const {
  std::vector<std::string> Open;
  for (const std::string &Id : Finite_)
    if (getState(Id) != JobState::Completed)
      Open.push_back(Id);
  return Open;
}

std::size_t CrashFleet::countCrashes(const std::string &Job) const {
  std::size_t Most = 0;
  for (const auto &[Task, Story] : Stories_)
    if (Task.Job_ == Job && isCulprit(Task))
      Most = std::max(Most, Story.Crashes_);
  return Most;
}

Duration CrashFleet::getLongestOutage() const {
  Duration Longest = LongestOutage_;
  for (const auto &[Task, Story] : Stories_)
    if (Story.DownSince_)
      Longest = std::max(Longest, Time_.now() - *Story.DownSince_);
  return Longest;
}
