#include "jobservice/ChangingLeaders.h"

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobservice;
using namespace tulipweir::jobservice::test;
using namespace std::chrono_literals;

static constexpr Duration NetworkDelay = 1ms;
/// Timeout of a request that a member handles at once.
static constexpr Duration MemberTimeout = 500ms;
static constexpr Duration ElectionRetry = 100ms;
static constexpr Duration TimeoutCheckInterval = 250ms;

static JobLeaderSettings makeSettings(const LeadersScenario &Scenario) {
  JobLeaderSettings Settings;
  Settings.Lease_ = Scenario.Lease_;
  return Settings;
}

ChangingLeaders::ChangingLeaders(const LeadersScenario &Scenario)
    : Scenario_(Scenario), Random_(Scenario.Seed_),
      Settings_(makeSettings(Scenario)), Group_(Time_, Scenario.Members_),
      Members_(Scenario.Members_), Servers_(Scenario.Servers_) {
  StartedAt_ = Time_.now();
  for (std::size_t I = 0; I < Members_.size(); ++I)
    startMember(I);
  Group_.elect(0, false);
  Group_.commit();
  Strand_.advance(200ms);
  Members_[0]->leader().putConfiguration(jobs::test::makeConfiguration(),
                                         [](const Outcome<void> &) {});
  Group_.commit();
  Strand_.runAll();
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Servers_[I].Id_ = "i-" + std::to_string(I);
    Servers_[I].Home_ = I % Members_.size();
    Servers_[I].Sequence_ = Scenario_.LastSequence_;
    Servers_[I].StartedAt_ = StartedAt_;
    if (Scenario_.HasStartTimes_)
      Servers_[I].BornMs_ = getWallMs() + I;
    Servers_[I].NextReport_ =
        Time_.now() + 5ms * static_cast<int>(drawBelow(100));
  }
  NextJob_ = Time_.now() + 3s;
}

void ChangingLeaders::startMember(std::size_t Number) {
  EmulatedMember::Links Out;
  Out.CallWithBatch_ = [this, Number](const std::string &To, ReportBatch Batch,
                                      Duration Timeout,
                                      ReportRelay::BatchDone Done) {
    callWithBatch(Number, To, std::move(Batch), Timeout, std::move(Done));
  };
  Out.SendFlushRequest_ = [this, Number](const std::string &To,
                                         const FlushRequest &Request,
                                         std::function<void()> Failed) {
    const std::size_t Member = findMember(To);
    send({{Endpoint::Kind::Member, Number},
          {Endpoint::Kind::Member, Member},
          MessageKind::FlushRequest,
          [this, Member, Request] {
            Members_[Member]->receiveFlushRequest(Request);
          },
          std::move(Failed)});
  };
  Out.SendLeaseQuery_ = [this, Number](const std::string &To,
                                       const LeaseQuery &Query,
                                       LeaseSurvey::Reply Done) {
    ask<LeaseQueryReply>(
        Number, To, MessageKind::LeaseQuery,
        [Query](EmulatedMember &Asked) {
          return Asked.answerLeaseQuery(Query);
        },
        std::move(Done));
  };
  Out.SendWitnessRequest_ = [this, Number](const std::string &To,
                                           const WitnessRequest &Request,
                                           const ReportWitness::Done &Done) {
    ask<bool>(
        Number, To, MessageKind::Witness,
        [Request](EmulatedMember &Asked) {
          Asked.recordWitnessed(Request);
          return true;
        },
        [Done](const Outcome<bool> &Result) { Done(Result.has_value()); });
  };
  Members_[Number] = std::make_shared<EmulatedMember>(
      Number, Group_, Strand_, Time_, Settings_, Log_, std::move(Out));
}

std::size_t ChangingLeaders::findMember(const std::string &Name) const {
  std::size_t Number = 0;
  while (Number + 1 < Members_.size() && SharedGroup::getName(Number) != Name)
    ++Number;
  return Number;
}

void ChangingLeaders::at(Duration When, std::function<void()> Action) {
  Actions_.emplace(When, std::move(Action));
}

void ChangingLeaders::run() {
  while (getTime() < Scenario_.Length_)
    step();
  for (auto &[Task, History] : Histories_)
    if (History.IsAway_)
      recordAbsence(Task, History);
  for (const Server &Backend : Servers_)
    if (!Backend.IsGone_ && !Backend.IsCut_)
      recordTimeToLease(Backend);
}

void ChangingLeaders::step() {
  Strand_.advance(Step);
  const TimePoint Now = Time_.now();
  while (!Actions_.empty() && Actions_.begin()->first <= getTime())
    Actions_.extract(Actions_.begin()).mapped()();
  if (Now >= NextCommit_) {
    NextCommit_ = Now + Scenario_.CommitInterval_;
    Group_.commit();
    Strand_.runAll();
  }
  if (Now >= NextJob_) {
    NextJob_ = Now + Scenario_.JobInterval_;
    submitWork();
  }
  for (std::size_t I = 0; I < Servers_.size(); ++I) {
    Server &Backend = Servers_[I];
    if (Backend.IsGone_)
      continue;
    Backend.endDueRuns(Now);
    if (Backend.IsWaiting_ && Now - Backend.SentAt_ > Server::ReportTimeout)
      moveOn(Backend, 0ms);
    if (!Backend.IsWaiting_ && Backend.NextReport_ <= Now)
      report(I);
  }
  std::vector<std::function<void()>> Overdue;
  for (const Call &Pending : Calls_)
    if (!Pending.IsDone_() && Now >= Pending.Deadline_)
      Overdue.push_back(Pending.Expire_);
  for (const std::function<void()> &Expire : Overdue)
    Expire();
  std::erase_if(Calls_, [](const Call &Pending) { return Pending.IsDone_(); });
  Strand_.runAll();
  updateObservations();
  if (Now < NextTimeoutCheck_)
    return;
  NextTimeoutCheck_ = Now + TimeoutCheckInterval;
  for (const std::shared_ptr<EmulatedMember> &Member : Members_)
    if (Member)
      Member->checkTimeouts();
}

bool ChangingLeaders::isLost(const Endpoint &From, const Endpoint &To) const {
  const auto IsOut = [&](const Endpoint &Place, const Endpoint &Other) {
    if (Place.Kind_ == Endpoint::Kind::Server)
      return Servers_[Place.Number_].IsGone_ || Servers_[Place.Number_].IsCut_;
    // A member that is down refuses connections, so its caller learns of it.
    if (!Members_[Place.Number_] || Group_.isReachable(Place.Number_))
      return false;
    return Other.Kind_ == Endpoint::Kind::Member ||
           HearingServers_.count(Place.Number_) == 0;
  };
  return IsOut(From, To) || IsOut(To, From);
}

void ChangingLeaders::send(Message Sent) {
  Fate Decision = Filter_ ? Filter_(Sent) : Fate::Deliver;
  const bool IsBehindHeld =
      std::any_of(Held_.begin(), Held_.end(), [&Sent](const Message &Other) {
        return Other.From_ == Sent.From_ && Other.To_ == Sent.To_;
      });
  if (Decision == Fate::Deliver && IsBehindHeld)
    Decision = Fate::Hold;
  if (Decision == Fate::Hold)
    Held_.push_back(std::move(Sent));
  else if (Decision == Fate::Deliver && !isLost(Sent.From_, Sent.To_))
    Strand_.postAfter(NetworkDelay,
                      [this, Sent = std::move(Sent)] { deliver(Sent); });
}

void ChangingLeaders::deliver(const Message &Sent) {
  if (isLost(Sent.From_, Sent.To_))
    return;
  const bool IsUp =
      Sent.To_.Kind_ == Endpoint::Kind::Server || Members_[Sent.To_.Number_];
  if (IsUp)
    return Sent.Handle_();
  if (Sent.Failed_)
    Sent.Failed_();
}

void ChangingLeaders::releaseHeld() {
  Filter_ = nullptr;
  for (Message &Next : std::exchange(Held_, {}))
    Strand_.postAfter(NetworkDelay,
                      [this, Sent = std::move(Next)] { deliver(Sent); });
}

template <typename Reply>
std::function<void(const Outcome<Reply> &)>
ChangingLeaders::addCall(std::function<void(const Outcome<Reply> &)> Done,
                         Duration Timeout) {
  const auto Shared =
      std::make_shared<std::function<void(const Outcome<Reply> &)>>(
          std::move(Done));
  const auto Finish = [Shared](const Outcome<Reply> &Result) {
    if (*Shared)
      std::exchange(*Shared, nullptr)(Result);
  };
  Calls_.push_back({[Shared] { return !*Shared; },
                    [Finish] { Finish(fail(ErrorCode::Timeout, "late")); },
                    Time_.now() + Timeout});
  return Finish;
}

template <typename Reply>
void ChangingLeaders::ask(std::size_t From, const std::string &To,
                          MessageKind Kind,
                          std::function<Reply(EmulatedMember &)> Handle,
                          std::function<void(const Outcome<Reply> &)> Done) {
  const auto Finish = addCall<Reply>(std::move(Done), MemberTimeout);
  const Endpoint Asking{Endpoint::Kind::Member, From};
  const Endpoint Asked{Endpoint::Kind::Member, findMember(To)};
  send({Asking, Asked, Kind,
        [this, Asking, Asked, Kind, Finish, Handle = std::move(Handle)] {
          send({Asked,
                Asking,
                Kind,
                [Finish, Answer = Handle(*Members_[Asked.Number_])] {
                  Finish(Answer);
                },
                {}});
        },
        [Finish] { Finish(fail(ErrorCode::Unavailable, "refused")); }});
}

void ChangingLeaders::callWithBatch(std::size_t From, const std::string &To,
                                    ReportBatch Batch, Duration Timeout,
                                    ReportRelay::BatchDone Done) {
  const auto Finish = addCall<ReportBatchReply>(std::move(Done), Timeout);
  const Endpoint Relay{Endpoint::Kind::Member, From};
  const Endpoint Leader{Endpoint::Kind::Member, findMember(To)};
  send({Relay, Leader, MessageKind::Batch,
        [this, Relay, Leader, Finish, Batch = std::move(Batch)] {
          Members_[Leader.Number_]->receiveBatch(
              Batch,
              [this, Relay, Leader, Finish](const ReportBatchReply &Reply) {
                send({Leader,
                      Relay,
                      MessageKind::BatchAnswer,
                      [Finish, Reply] { Finish(Reply); },
                      {}});
              });
        },
        [Finish] { Finish(fail(ErrorCode::Unavailable, "refused")); }});
}

void ChangingLeaders::crash(std::size_t Server) {
  Servers_[Server].IsGone_ = true;
  Events_.push_back(formatTime(getTime()) + " crash " + Servers_[Server].Id_);
}

void ChangingLeaders::cut(std::size_t Server) {
  Servers_[Server].IsCut_ = true;
  Events_.push_back(formatTime(getTime()) + " cut " + Servers_[Server].Id_);
}

void ChangingLeaders::reconnect(std::size_t Server) {
  Servers_[Server].IsCut_ = false;
}

void ChangingLeaders::leave(std::size_t Server) {
  Servers_[Server].IsGone_ = true;
  Events_.push_back(formatTime(getTime()) + " leave " + Servers_[Server].Id_);
  if (Members_[getLeader()])
    Members_[getLeader()]->leader().leave(Servers_[Server].Id_,
                                          [](const Outcome<void> &) {});
}

void ChangingLeaders::restartServer(std::size_t Number,
                                    const ServerRestart &How) {
  const std::uint64_t Incarnation = Servers_[Number].Incarnation_ + 1;
  Server Started;
  Started.Id_ = How.KeepsId_ ? Servers_[Number].Id_
                             : "i-" + std::to_string(Number) + "-" +
                                   std::to_string(Incarnation);
  Started.Incarnation_ = Incarnation;
  Started.StartedAt_ = Time_.now();
  if (Scenario_.HasStartTimes_)
    Started.BornMs_ =
        getWallMs() - static_cast<std::uint64_t>(How.ClockStepBack_.count());
  Started.Home_ = drawBelow(Members_.size());
  Started.NextReport_ = Time_.now() + How.FirstReportDelay_;
  Started.FirstReport_ = Started.NextReport_;
  Events_.push_back(formatTime(getTime()) + " restart " + Started.Id_);
  Servers_[Number] = std::move(Started);
}

std::uint64_t ChangingLeaders::getWallMs() const {
  static constexpr std::uint64_t WallAtStart = 1'764'800'000'000;
  return WallAtStart +
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<std::chrono::milliseconds>(getTime())
                 .count());
}

void ChangingLeaders::recordTimeToLease(const Server &Backend) {
  const bool IsMeasured = Backend.Incarnation_ > 0 && Backend.BornMs_ != 0;
  if (IsMeasured && !Backend.HadLease_)
    MaxTimeToLease_ =
        std::max(MaxTimeToLease_, Time_.now() - Backend.FirstReport_);
}

void ChangingLeaders::cancel(const std::string &Job) {
  if (!Members_[getLeader()])
    return;
  Members_[getLeader()]->leader().call(
      {CallKind::Cancel, jobs::test::Host,
       std::string(jobs::test::Prefix) + Job, jobs::test::makeJob("", {})},
      [this, Job](const Outcome<JobCallReply> &Reply) {
        if (Reply)
          Cancelled_.try_emplace(Job, Time_.now());
      });
}

void ChangingLeaders::electAfter(std::size_t To, Duration Gap) {
  at(getTime() + Gap, [this, To] {
    for (std::size_t I = 0; I < Members_.size(); ++I)
      if (Group_.isElectable((To + I) % Members_.size()))
        return Group_.elect((To + I) % Members_.size(),
                            Scenario_.KeepsProposals_);
    electAfter(To, ElectionRetry);
  });
}

void ChangingLeaders::transferLeadership(std::size_t To, Duration Gap) {
  Events_.push_back(formatTime(getTime()) + " leader steps down");
  Group_.endTerm(Scenario_.KeepsProposals_);
  electAfter(To, Gap);
}

void ChangingLeaders::kill(std::size_t Member, std::size_t To, Duration Gap) {
  Events_.push_back(formatTime(getTime()) + " kill " +
                    SharedGroup::getName(Member));
  const bool IsLeader = Group_.findLeader() == Member;
  Members_[Member].reset();
  // The processes' connections end with it.
  for (Server &Backend : Servers_)
    if (!Backend.IsGone_ && Backend.IsWaiting_ && Backend.Home_ == Member)
      moveOn(Backend, 100ms);
  if (!IsLeader)
    return;
  Group_.endTerm(Scenario_.KeepsProposals_);
  electAfter(To, Gap);
}

void ChangingLeaders::restart(std::size_t Member) { startMember(Member); }

void ChangingLeaders::changeMember(std::size_t Member, bool IsAdded) {
  Events_.push_back(formatTime(getTime()) + (IsAdded ? " add " : " drop ") +
                    SharedGroup::getName(Member));
  Group_.changeMember(Member, IsAdded);
}

void ChangingLeaders::silence(std::size_t Member, std::size_t To, Duration Gap,
                              bool HearsServers) {
  Events_.push_back(formatTime(getTime()) + " silent " +
                    SharedGroup::getName(Member));
  if (HearsServers)
    HearingServers_.insert(Member);
  Group_.setReachable(Member, false);
  if (Group_.findLeader() == Member)
    electAfter(To, Gap);
}

void ChangingLeaders::endSilence(std::size_t Member) {
  HearingServers_.erase(Member);
  Group_.setReachable(Member, true);
}

void ChangingLeaders::markOverloaded() {
  if (Members_[getLeader()])
    Members_[getLeader()]->leader().markOverloaded();
}

std::optional<std::size_t>
ChangingLeaders::findServer(const std::string &Id) const {
  for (std::size_t I = 0; I < Servers_.size(); ++I)
    if (!Servers_[I].IsGone_ && Servers_[I].getIncarnation() == Id)
      return I;
  return std::nullopt;
}

std::vector<std::size_t>
ChangingLeaders::listServersWithLongRunning(std::size_t Count,
                                            std::size_t Limit) const {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Servers_.size() && Result.size() < Limit; ++I) {
    const Server &Backend = Servers_[I];
    const auto LongRunning = static_cast<std::size_t>(std::count_if(
        Backend.Running_.begin(), Backend.Running_.end(),
        [](const auto &Entry) { return Entry.second.IsLongRunning_; }));
    if (!Backend.IsGone_ && !Backend.IsCut_ && LongRunning >= Count)
      Result.push_back(I);
  }
  return Result;
}
