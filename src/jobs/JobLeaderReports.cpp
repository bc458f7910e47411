#include "jobs/JobLeaderImpl.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A server that refused a start gets none for this time, as its free room
/// differs from the book's.
static constexpr Duration RefusalPause = 500ms;
/// Longest time a response is delayed by pending commits.
static constexpr Duration LongestHold = 300ms;
/// Report interval of an incarnation whose address is still taken.
static constexpr std::uint64_t ConflictReportMs = 250;

void JobLeader::Impl::leave(const std::string &ServerId, Done<void> Reply) {
  if (!isLeading())
    return Reply(makeNotLeading());
  Leaving_.insert(ServerId);
  const bool IsEmpty = Machine_.read([&ServerId](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(ServerId);
    return !Server || Server->Placed_.empty();
  });
  // A relay may hold the final report. Ends in it must be noted before the
  // tasks are started elsewhere.
  const auto Remove = [Weak = weak_from_this(), ServerId, Reply] {
    const std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self || !Self->isLeading())
      return Reply(fail(ErrorCode::NotLeader, ""));
    Self->removeServer(ServerId, Departure::Left,
                       [Reply](const Outcome<CommandResult> &Result) {
                         if (!Result)
                           return Reply(Result.error());
                         Reply(succeed());
                       });
  };
  if (IsEmpty)
    return Remove();
  Relays_.flush(ServerId, Remove);
}

void JobLeader::Impl::observe(const ServerReport &Report) {
  Machine_.read([&](const JobBook &Book) {
    return Learner_.learn(Book, Report, Time_.now());
  });
}

void JobLeader::Impl::report(ServerReport Report, Done<ServerOrders> Reply) {
  if (!isLeading())
    return Reply(makeNotLeading());
  // A late report of an incarnation that is over: its ends count, but it gets
  // no orders.
  const std::string &Id = Report.Facts_.Id_;
  const bool IsOver =
      Leaving_.count(Id) != 0 || Machine_.read([&Id](const JobBook &Book) {
        return !Book.findServer(Id) && Book.isOver(Id);
      });
  if (IsOver)
    return noteLateEnds(Report, Reply);
  const auto Current = std::make_shared<Handling>();
  Current->Report_ = std::move(Report);
  Current->Reply_ = std::move(Reply);
  Current->ArrivedAt_ = Time_.now();
  Current->SentBy_ = Current->ArrivedAt_ -
                     std::chrono::milliseconds(Current->Report_.WaitedMs_);
  admit(Current);
}

void JobLeader::Impl::noteLateEnds(const ServerReport &Report,
                                   const Done<ServerOrders> &Reply) {
  if (!isLeading())
    return Reply(makeNotLeading());
  EndTasks Command{Report.Facts_.Id_, {}};
  Machine_.read([&](const JobBook &Book) {
    for (const EndedTask &Each : Report.Ended_) {
      const TaskRecord *Task = Book.findTask(Each.End_.Task_);
      const bool IsNews = Task && Task->State_ != TaskState::Done;
      if (Each.End_.How_ == RunEnd::Done && IsNews)
        Command.Ends_.push_back(Each.End_);
    }
    return 0;
  });
  if (Command.Ends_.empty())
    return Reply(ServerOrders{});
  propose(Command,
          [this, Command, Reply](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return Reply(Applied.error());
            logEnds(Command.Server_, Command.Ends_);
            for (const TaskEnd &End : Command.Ends_)
              noteJobEnd(End.Task_.Job_);
            Reply(ServerOrders{});
          });
}

/// Whether the report names an unconfigured service. A server whose service was
/// dropped goes on.
static bool isOfNoService(const JobBook &Book, const ServerRecord *Known,
                          const ServerFacts &Facts) {
  const Configuration &Current = Book.configuration();
  const bool WasOfIt = Known && Known->Facts_.Service_ == Facts.Service_;
  if (WasOfIt || Current.Version_ == 0)
    return false;
  return std::none_of(Current.Services_.begin(), Current.Services_.end(),
                      [&Facts](const ServicePolicy &Each) {
                        return Each.Name_ == Facts.Service_;
                      });
}

/// Registers the server in the log, unless its address is taken.
void JobLeader::Impl::admit(const HandlingPtr &Current) {
  const ServerFacts &Facts = Current->Report_.Facts_;
  std::string Occupant;
  bool IsOfNobody = false;
  const bool IsKnown = Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Known = Book.findServer(Facts.Id_);
    if (!Known)
      Occupant = Book.findServerAt(Facts.Address_);
    IsOfNobody = isOfNoService(Book, Known, Facts);
    return Known && Known->Facts_ == Facts;
  });
  // Runs on a known server keep their lease.
  if (IsOfNobody)
    return reply(Current, fail(ErrorCode::InvalidArgument,
                               "no such service: " + Facts.Service_));
  if (ServerLive *Live = Board_.find(Facts.Id_); Live && Live->IsRemoving_)
    return reply(Current,
                 fail(ErrorCode::Unavailable, "the server is being removed"));
  if (IsKnown)
    return noteEnds(Current);
  if (!Occupant.empty() && !takeOver(Occupant, Facts)) {
    Meter_.add(Counted::ReportsOfTakenAddresses, 1);
    ServerOrders Later;
    Later.NextReportMs_ = ConflictReportMs;
    return reply(Current, std::move(Later));
  }
  addServer(Current);
}

/// Removes the incarnation at the address if the one that reports there is
/// known to be the later one; else returns false.
bool JobLeader::Impl::takeOver(const std::string &Occupant,
                               const ServerFacts &Successor) {
  const TimePoint Now = Time_.now();
  const ServerLive *Live = Board_.find(Occupant);
  if (Live && Live->IsRemoving_)
    return true;
  if (Conflicts_.note(Successor.Id_, Live ? Live->LastHeard_ : TimePoint::min(),
                      Now))
    Relays_.flush(Occupant, [Weak = weak_from_this(), Id = Successor.Id_, Now] {
      if (const std::shared_ptr<Impl> Self = Weak.lock())
        Self->Conflicts_.noteFlushed(Id, Now);
    });
  if (!Conflicts_.mayTakeOver(Successor.Id_, Now)) {
    Event Line;
    Line.Kind_ = EventKind::ServerWaits;
    Line.Server_ = Successor.Id_;
    Line.Reason_ = Occupant + " was heard at its address";
    if (Live)
      Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - Live->LastHeard_)
                        .count();
    Log_.write(Line);
    return false;
  }
  Conflicts_.forget(Successor.Id_);
  removeServer(Occupant, Departure::Replaced,
               [](const Outcome<CommandResult> &) {});
  return true;
}

void JobLeader::Impl::addServer(const HandlingPtr &Current) {
  const ServerFacts &Facts = Current->Report_.Facts_;
  Event Line;
  Line.Kind_ = EventKind::ServerSeen;
  Line.Server_ = Facts.Id_;
  Line.Reason_ = "rack " + Facts.Rack_ + ", " + Facts.DataCentre_ + ", labels";
  for (const std::string &Label : Facts.Labels_)
    Line.Reason_ += " " + Label;
  Log_.write(Line);
  propose(
      AddServer{Facts}, [this, Current](const Outcome<CommandResult> &Applied) {
        if (!Applied)
          return reply(Current, Applied.error());
        if (Applied.value().Verdict_ == Verdict::Refused)
          return reply(Current, fail(ErrorCode::Unavailable,
                                     "another incarnation holds the address"));
        noteFailed(Applied.value());
        noteEnds(Current);
      });
}

/// Whether the end of a run on the server changes anything.
static bool isNews(const JobBook &Book, const ServerRecord &Server,
                   const TaskEnd &End) {
  const auto Placed = Server.Placed_.find(End.Task_);
  if (Placed != Server.Placed_.end() && Placed->second == End.Run_)
    return true;
  const TaskRecord *Task = Book.findTask(End.Task_);
  return End.How_ == RunEnd::Done && Task && Task->State_ != TaskState::Done;
}

void JobLeader::Impl::noteEnds(const HandlingPtr &Current) {
  const ServerReport &Report = Current->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const TimePoint Now = Time_.now();
  const bool WasDraining = Board_.find(Id) && Board_.find(Id)->IsDraining_;
  Current->IsNoted_ = Board_.note(Report, Now, getLongestLease());
  if (Report.IsDraining_ && !WasDraining && Current->IsNoted_) {
    Event Line;
    Line.Kind_ = EventKind::ServerDraining;
    Line.Server_ = Id;
    Line.Count_ = Report.RemainingMs_;
    Log_.write(Line);
  }
  if (!Current->IsNoted_) {
    Meter_.add(Counted::ReportsLate, 1);
    return reply(Current, ServerOrders{});
  }
  Setter_.updatePaces(Report);
  EndTasks Command{Id, {}};
  Machine_.read([&](const JobBook &Book) {
    const ServerRecord *Server = Book.findServer(Id);
    if (!Server)
      return 0;
    for (const EndedTask &Each : Report.Ended_)
      if (isNews(Book, *Server, Each.End_)) {
        Command.Ends_.push_back(Each.End_);
        Current->FirstOpenEnd_ = std::min(Current->FirstOpenEnd_, Each.Number_);
      }
    return 0;
  });
  if (Command.Ends_.empty())
    return startTasks(Current);
  hold(Current);
  const bool AnyRefused = std::any_of(
      Command.Ends_.begin(), Command.Ends_.end(),
      [](const TaskEnd &End) { return End.How_ == RunEnd::Refused; });
  if (AnyRefused)
    Board_.find(Id)->NoStartsUntil_ = Now + RefusalPause;
  propose(Command,
          [this, Current, Command](const Outcome<CommandResult> &Applied) {
            if (!Applied)
              return reply(Current, Applied.error());
            Current->FirstOpenEnd_ = NoOpenEnd;
            logEnds(Command.Server_, Command.Ends_);
            noteHealth(Command);
            for (const TaskEnd &End : Command.Ends_)
              noteJobEnd(End.Task_.Job_);
            // After an early answer the starts go with the next one. A later
            // report is planned for instead.
            const ServerLive *Live = Board_.find(Command.Server_);
            if (Live && Live->LastSequence_ == Current->Report_.Sequence_)
              startTasks(Current);
            else
              answer(Current);
          });
}

void JobLeader::Impl::startTasks(const HandlingPtr &Current) {
  const std::string &Id = Current->Report_.Facts_.Id_;
  std::vector<TaskStart> Starts = Machine_.read([&](const JobBook &Book) {
    return Dispatcher_.plan(Book, Board_, Id, Time_.now(), Time_.wallNow());
  });
  if (Starts.empty())
    return answer(Current);
  hold(Current);
  propose(StartTasks{Starts}, [this, Current,
                               Starts](const Outcome<CommandResult> &Applied) {
    Dispatcher_.releaseProposed(Starts);
    if (!Applied)
      return reply(Current, Applied.error());
    for (std::size_t I = 0; I < Starts.size(); ++I) {
      Event Line;
      Line.Kind_ = EventKind::TaskStarted;
      Line.Job_ = Starts[I].Task_.Job_;
      Line.Task_ = toText(Starts[I].Task_);
      Line.Attempt_ = Starts[I].Run_;
      Line.Server_ = Starts[I].Server_;
      Line.Outcome_ = Applied.value().Taken_[I] ? "placed" : "refused";
      Line.AgeMs_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Time_.now() - Current->ArrivedAt_)
                        .count();
      Log_.write(Line);
      noteStarted(Starts[I], Applied.value().Taken_[I]);
    }
    answer(Current);
  });
}

void JobLeader::Impl::reply(const HandlingPtr &Current,
                            Outcome<ServerOrders> Orders) {
  if (!std::exchange(Current->IsAnswered_, true))
    Current->Reply_(std::move(Orders));
}

void JobLeader::Impl::hold(const HandlingPtr &Current) {
  if (!std::exchange(Current->IsHeld_, true))
    Open_.push_back(Current);
}

/// Answers reports whose commits take long, so that leases do not wait. What is
/// committed later goes with the next answer.
void JobLeader::Impl::answerOverdue() {
  const TimePoint Now = Time_.now();
  while (!Open_.empty() && (Open_.front()->IsAnswered_ ||
                            Now - Open_.front()->ArrivedAt_ >= LongestHold)) {
    const HandlingPtr Next = std::move(Open_.front());
    Open_.pop_front();
    if (Next->IsAnswered_)
      continue;
    Meter_.add(Counted::ReportsAnsweredEarly, 1);
    answer(Next);
  }
}

void JobLeader::Impl::answer(const HandlingPtr &Current) {
  if (Current->IsAnswered_)
    return;
  const ServerReport &Report = Current->Report_;
  const std::string &Id = Report.Facts_.Id_;
  const ServerLive *Live = Board_.find(Id);
  const bool IsKnown =
      Live && !Live->IsRemoving_ && Machine_.read([&](const JobBook &Book) {
        return Book.findServer(Id) != nullptr;
      });
  if (!IsKnown)
    return reply(Current,
                 fail(ErrorCode::Unavailable, "the server is being removed"));
  // The server has given this report up, as it sent a later one: it will not
  // see these orders.
  if (Live->LastSequence_ != Report.Sequence_) {
    Meter_.add(Counted::ReportsOvertaken, 1);
    return reply(Current, ServerOrders{});
  }
  std::vector<TaskEnd> NeverRan;
  ServerOrders Orders = makeOrders(Report, NeverRan);
  if (!NeverRan.empty())
    propose(EndTasks{Id, NeverRan}, [](const Outcome<CommandResult> &) {});
  Orders.LeaseMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Settings_.Lease_)
          .count());
  Orders.FencingToken_ = Term_;
  for (const EndedTask &Each : Report.Ended_)
    if (Each.Number_ < Current->FirstOpenEnd_)
      Orders.EndsNoted_ = std::max(Orders.EndsNoted_, Each.Number_);
  Orders.NextReportMs_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Settings_.ReportInterval_)
          .count());
  Setter_.addPaceOrders(Report, *Board_.find(Id), Orders);
  // Another member may lead by now.
  const TimePoint Now = Time_.now();
  if (Group_.findLeaseTerm(Now) != Term_)
    return reply(Current, makeNotLeading());
  const TimePoint LeaseEnd = Current->SentBy_ + getLongestLease();
  Meter_.record(Timed::LeaseRenewal,
                std::max<Duration>(LeaseEnd - Live->LeaseEnd_, Duration(0)));
  Board_.extendLease(Id, LeaseEnd);
  if (const std::optional<Duration> Waited =
          PendingStops_.noteAnswered(Id, !Orders.Stops_.empty(), Now))
    Meter_.record(Timed::Stop, *Waited);
  Meter_.record(Timed::Heartbeat, Now - Current->ArrivedAt_);
  if (Now - Current->ArrivedAt_ > BehindAfter)
    noteBehind();
  reply(Current, std::move(Orders));
}
