#include "jobs/AdviceCache.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// An order is on its way for that long at most: what comes later is dropped.
static constexpr Duration OrderTime = 1s;
/// Short-lived tickets are used up to that part of their time.
static constexpr int TicketMarginPart = 4;
/// An answer takes longer for each server in the question; the users count on
/// one call about 30 servers for each step.
static constexpr std::size_t MostAsked = 30;
static constexpr std::size_t LeastAsked = 4;
/// More than the expected number, as room may be taken meanwhile.
static constexpr double Spare = 1.5;
/// Before anything is known, half of the servers are taken to be good.
static constexpr double FirstAsked = 8;
static constexpr double FirstGood = 4;

void AdviceBook::reset() {
  Steps_.clear();
  Asked_ = 0;
  Good_ = 0;
}

void AdviceBook::note(const AdviceQuestion &Question, const Advice &Answer,
                      TimePoint Now) {
  const Duration Valid =
      Answer.ValidFor_ > Duration(0)
          ? Answer.ValidFor_
          : Duration(std::chrono::milliseconds(Question.Times_.ValidMs_));
  const Duration Margin = std::min(OrderTime, Valid / TicketMarginPart);
  SaidOfServers &Servers = Steps_[Question.Step_];
  for (const std::string &Id : Question.Servers_)
    Servers[Id] = {};
  for (const AdvisedServer &Each : Answer.Good_)
    Servers[Each.Server_] = {true, Each.Ticket_, Now + Valid - Margin};
  Asked_ += double(Question.Servers_.size());
  Good_ += double(Answer.Good_.size());
}

void AdviceBook::prune(const JobBook &Book) {
  std::erase_if(Steps_, [&Book](const auto &Each) {
    const JobRecord *Job = Book.findJob(Each.first.Job_);
    return !Job || isEnded(Job->State_);
  });
}

const std::string *AdviceBook::findTicket(const StepKey &Step,
                                          const std::string &ServerId,
                                          TimePoint Now) const {
  const auto Servers = Steps_.find(Step);
  if (Servers == Steps_.end())
    return nullptr;
  const auto Found = Servers->second.find(ServerId);
  const bool Holds = Found != Servers->second.end() && Found->second.MayRun_ &&
                     Now < Found->second.Until_;
  return Holds ? &Found->second.Ticket_ : nullptr;
}

/// How many of the step's tasks fit on servers with a ticket.
std::uint64_t AdviceBook::countOpen(
    const JobBook &Book, const ReadyStep &Ready,
    const std::function<bool(const std::string &ServerId)> &IsUsable,
    TimePoint Now) const {
  const auto Servers =
      Steps_.find({Ready.Job_, Ready.Occurrence_, Ready.Step_});
  if (Servers == Steps_.end())
    return 0;
  const StepSpec &Step = Book.findJob(Ready.Job_)->Spec_.Steps_[Ready.Step_];
  const Resources Need = Step.getReserved();
  std::uint64_t Count = 0;
  for (const auto &[Id, Said] : Servers->second) {
    const ServerRecord *Server = Book.findServer(Id);
    if (!Server || !Said.MayRun_ || Said.Until_ <= Now || !IsUsable(Id))
      continue;
    Resources Free = Server->Facts_.Capacity_ - Server->Used_;
    std::uint64_t Here = 0;
    for (; Need.fitsIn(Free) && Here < Step.Count_; Free = Free - Need)
      ++Here;
    if (Step.SpreadLimit_ > 0)
      Here = std::min(Here, Step.SpreadLimit_);
    Count += Here;
  }
  return Count;
}

std::size_t AdviceBook::planCount(std::uint64_t Missing) const {
  const double Part = (Good_ + FirstGood) / (Asked_ + FirstAsked);
  const double Wanted = std::ceil(double(Missing) * Spare / Part);
  return static_cast<std::size_t>(
      std::clamp(Wanted, double(LeastAsked), double(MostAsked)));
}

std::optional<AdviceQuestion> AdviceBook::findQuestion(
    const JobBook &Book,
    const std::function<bool(const std::string &ServerId)> &IsUsable,
    TimePoint Now) const {
  for (const ReadyStep &Ready : Book.readySteps()) {
    const JobRecord &Job = *Book.findJob(Ready.Job_);
    if (!Job.Policy_.Advice_.IsNeeded_)
      continue;
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    const std::uint64_t Open = countOpen(Book, Ready, IsUsable, Now);
    if (Open >= Waiting)
      continue;
    AdviceQuestion Question;
    Question.Step_ = {Ready.Job_, Ready.Occurrence_, Ready.Step_};
    Question.Times_ = Job.Policy_.Advice_;
    const auto Known = Steps_.find(Question.Step_);
    // Those known to be good come first, then the data's rack, then the most
    // free processors.
    std::vector<std::tuple<bool, bool, std::int64_t, std::string>> Candidates;
    for (const auto &[Id, Server] : Book.servers()) {
      const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
      const bool IsFit = Server.Facts_.Service_ == Job.Policy_.Service_ &&
                         Server.Facts_.hasLabel(Step.Label_) &&
                         Step.getReserved().fitsIn(Free) && IsUsable(Id);
      if (!IsFit || findTicket(Question.Step_, Id, Now))
        continue;
      bool IsGood = false;
      if (Known != Steps_.end())
        if (const auto Said = Known->second.find(Id);
            Said != Known->second.end()) {
          if (!Said->second.MayRun_)
            continue;
          IsGood = true;
        }
      const bool IsNear =
          Step.DataRack_.empty() || Server.Facts_.Rack_ == Step.DataRack_;
      Candidates.emplace_back(!IsGood, !IsNear, -Free.MilliCpus_, Id);
    }
    if (Candidates.empty())
      continue;
    std::sort(Candidates.begin(), Candidates.end());
    Candidates.resize(std::min(Candidates.size(), planCount(Waiting - Open)));
    for (auto &Each : Candidates)
      Question.Servers_.push_back(std::move(std::get<std::string>(Each)));
    return Question;
  }
  return std::nullopt;
}
