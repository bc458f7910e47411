#include "jobs/AdviceCache.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A start order that takes longer than this to arrive is dropped.
static constexpr Duration MaxOrderDelay = 1s;
/// At most this fraction of a ticket's lifetime is kept as a margin, so that
/// short-lived tickets stay usable.
static constexpr int TicketMarginDivisor = 4;
/// The service takes longer for each server in a request; users expect one call
/// with about 30 servers per step.
static constexpr std::size_t MaxServersPerRequest = 30;
static constexpr std::size_t MinServersPerRequest = 4;
/// Requests ask for more servers than expected to be needed, as other tasks may
/// take their capacity meanwhile.
static constexpr double OversamplingFactor = 1.5;
/// Prior for the share of eligible servers: one half.
static constexpr double PriorAsked = 8;
static constexpr double PriorEligible = 4;

void AdviceCache::reset() {
  Steps_.clear();
  AskedCount_ = 0;
  EligibleCount_ = 0;
}

void AdviceCache::addAnswer(const AdviceRequest &Request, const Advice &Answer,
                            TimePoint Now) {
  const Duration Valid =
      Answer.ValidFor_ > Duration(0)
          ? Answer.ValidFor_
          : Duration(std::chrono::milliseconds(Request.Times_.ValidMs_));
  const Duration Margin = std::min(MaxOrderDelay, Valid / TicketMarginDivisor);
  ServerAdviceMap &Servers = Steps_[Request.Step_];
  for (const std::string &Id : Request.Servers_)
    Servers[Id] = {};
  for (const EligibleServer &Server : Answer.EligibleServers_)
    Servers[Server.Server_] = {true, Server.Ticket_, Now + Valid - Margin};
  AskedCount_ += double(Request.Servers_.size());
  EligibleCount_ += double(Answer.EligibleServers_.size());
}

void AdviceCache::prune(const JobRegistry &Registry) {
  std::erase_if(Steps_, [&Registry](const auto &Entry) {
    const JobRecord *Job = Registry.findJob(Entry.first.Job_);
    return !Job || isEnded(Job->State_);
  });
}

const std::string *AdviceCache::findTicket(const StepKey &Step,
                                           const std::string &ServerId,
                                           TimePoint Now) const {
  const auto Servers = Steps_.find(Step);
  if (Servers == Steps_.end())
    return nullptr;
  const auto It = Servers->second.find(ServerId);
  const bool Holds = It != Servers->second.end() && It->second.IsEligible_ &&
                     Now < It->second.Until_;
  return Holds ? &It->second.Ticket_ : nullptr;
}

/// Counts how many of the step's tasks fit on usable servers with a valid
/// ticket.
std::uint64_t AdviceCache::countStartable(
    const JobRegistry &Registry, const ReadyStep &Ready,
    const std::function<bool(const std::string &ServerId)> &IsUsable,
    TimePoint Now) const {
  const auto Servers =
      Steps_.find({Ready.Job_, Ready.Occurrence_, Ready.Step_});
  if (Servers == Steps_.end())
    return 0;
  const StepSpec &Step =
      Registry.findJob(Ready.Job_)->Spec_.Steps_[Ready.Step_];
  const Resources Need = Step.getReserved();
  std::uint64_t Count = 0;
  for (const auto &[Id, Cached] : Servers->second) {
    const ServerRecord *Server = Registry.findServer(Id);
    if (!Server || !Cached.IsEligible_ || Cached.Until_ <= Now || !IsUsable(Id))
      continue;
    Resources Free = Server->Facts_.Capacity_ - Server->Used_;
    std::uint64_t CountHere = 0;
    for (; Need.fitsIn(Free) && CountHere < Step.Count_; Free = Free - Need)
      ++CountHere;
    if (Step.SpreadLimit_ > 0)
      CountHere = std::min(CountHere, Step.SpreadLimit_);
    Count += CountHere;
  }
  return Count;
}

std::size_t AdviceCache::computeRequestSize(std::uint64_t Missing) const {
  const double EligibleShare =
      (EligibleCount_ + PriorEligible) / (AskedCount_ + PriorAsked);
  const double Size =
      std::ceil(double(Missing) * OversamplingFactor / EligibleShare);
  return static_cast<std::size_t>(std::clamp(Size, double(MinServersPerRequest),
                                             double(MaxServersPerRequest)));
}

std::optional<AdviceRequest> AdviceCache::findNextRequest(
    const JobRegistry &Registry,
    const std::function<bool(const std::string &ServerId)> &IsUsable,
    TimePoint Now) const {
  for (const ReadyStep &Ready : Registry.readySteps()) {
    const JobRecord &Job = *Registry.findJob(Ready.Job_);
    if (!Job.Policy_.Advice_.IsRequired_)
      continue;
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    const std::uint64_t Waiting =
        Job.findOccurrence(Ready.Occurrence_)->Steps_[Ready.Step_].Waiting_;
    const std::uint64_t Startable =
        countStartable(Registry, Ready, IsUsable, Now);
    if (Startable >= Waiting)
      continue;
    AdviceRequest Request;
    Request.Step_ = {Ready.Job_, Ready.Occurrence_, Ready.Step_};
    Request.Times_ = Job.Policy_.Advice_;
    const auto CachedServers = Steps_.find(Request.Step_);
    // Known eligible servers come first, then the rack of the step's data, then
    // the servers with the most free processors.
    std::vector<std::tuple<bool, bool, std::int64_t, std::string>> Candidates;
    for (const auto &[Id, Server] : Registry.servers()) {
      const Resources Free = Server.Facts_.Capacity_ - Server.Used_;
      const bool IsFit = Server.Facts_.Service_ == Job.Policy_.Service_ &&
                         Server.Facts_.hasLabel(Step.Label_) &&
                         Step.getReserved().fitsIn(Free) && IsUsable(Id);
      if (!IsFit || findTicket(Request.Step_, Id, Now))
        continue;
      bool IsGood = false;
      if (CachedServers != Steps_.end())
        if (const auto Cached = CachedServers->second.find(Id);
            Cached != CachedServers->second.end()) {
          if (!Cached->second.IsEligible_)
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
    Candidates.resize(
        std::min(Candidates.size(), computeRequestSize(Waiting - Startable)));
    for (auto &Chosen : Candidates)
      Request.Servers_.push_back(std::move(std::get<std::string>(Chosen)));
    return Request;
  }
  return std::nullopt;
}
