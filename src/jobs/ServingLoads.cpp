#include "jobs/ServingLoads.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Loads swing within some ten seconds; a step of fourteen tasks is heard some
/// thirty times a second.
static constexpr Duration FollowTime = 600ms;
static constexpr double LeastWeight = 0.05;
static constexpr double MostWeight = 0.5;
/// A tail that is too long may be disturbed by what is not known yet; one that
/// is short is not, and counts twice as much.
static constexpr double ShorterWeight = 2;
/// Loads swing within ten seconds and more, so that a tail grows by them in no
/// second by more than this (logarithm); what disturbs comes at once.
static constexpr double FastestRise = 0.4;
/// Readings scatter by a tenth; a second of a small step.
static constexpr std::uint64_t EnoughSamples = 16;
/// How often the range of an image's tails is looked at, and how far an end of
/// it that is not seen any more is forgotten in that time (logarithm): a tail
/// of a third of the shortest is out of it after twenty seconds.
static constexpr Duration SurveyInterval = 500ms;
static constexpr double Forgetting = 0.03;
/// What serving tasks leave of their processors at their quietest: measured,
/// they use a fifth then.
static constexpr double MostUnused = 0.8;
/// While the tails of an image were seen to differ by less (a factor of 1.6),
/// nobody knows which load they go with.
static constexpr double TellingRange = 0.5;
/// Of a task that is not heard yet: a third of its target, as the middle of all
/// was measured.
static const double UsualBase = std::log(1.0 / 3);
static constexpr double LeastLoad = 0.1;
static constexpr double MostLoad = 0.95;

std::optional<double> ServingLoads::note(const StepKey &Step,
                                         const std::string &Image,
                                         double LogTail, TimePoint Now) {
  const auto [Place, IsNew] = Steps_.try_emplace(Step);
  StepLoad &Own = Place->second;
  if (IsNew) {
    Own.Image_ = Image;
    Own.Base_ = LogTail;
  }
  const std::optional<double> Before =
      Own.Samples_ < EnoughSamples ? std::nullopt : std::optional(Own.Base_);
  const std::chrono::duration<double> Since = Now - Own.NotedAt_;
  double Weight = std::clamp(Since / std::chrono::duration<double>(FollowTime),
                             LeastWeight, MostWeight);
  if (LogTail < Own.Base_)
    Weight = std::min(Weight * ShorterWeight, MostWeight);
  const double Change = (LogTail - Own.Base_) * Weight;
  Own.Base_ += IsNew ? 0 : std::min(Change, Since.count() * FastestRise);
  Own.NotedAt_ = Now;
  ++Own.Samples_;
  return Before;
}

/// The steps of an image are at different hours of their own, so the quietest
/// of them is mostly near its least load.
void ServingLoads::survey(TimePoint Now) {
  if (Now < NextSurvey_)
    return;
  NextSurvey_ = Now + SurveyInterval;
  std::map<std::string, Range> Present;
  for (const auto &[Key, Own] : Steps_) {
    if (Own.Samples_ < EnoughSamples)
      continue;
    const auto [Seen, IsFirst] =
        Present.try_emplace(Own.Image_, Range{Own.Base_, Own.Base_});
    Seen->second.Lowest_ = std::min(Seen->second.Lowest_, Own.Base_);
    Seen->second.Highest_ = std::max(Seen->second.Highest_, Own.Base_);
  }
  for (const auto &[Image, Own] : Present) {
    const auto [Seen, IsFirst] = Images_.try_emplace(Image, Own);
    Range &Known = Seen->second;
    Known.Lowest_ = std::min(Own.Lowest_, Known.Lowest_ + Forgetting);
    Known.Highest_ = std::max(Own.Highest_, Known.Highest_ - Forgetting);
  }
}

void ServingLoads::noteServer(const std::string &ServerId, ServingUse Use) {
  Servers_[ServerId] = std::move(Use);
}

void ServingLoads::prune(const JobRegistry &Book) {
  std::erase_if(Steps_, [&Book](const auto &Each) {
    const JobRecord *Job = Book.findJob(Each.first.Job_);
    return !Job || isEnded(Job->State_);
  });
  std::erase_if(Servers_, [&Book](const auto &Each) {
    return !Book.findServer(Each.first);
  });
}

std::optional<double> ServingLoads::findBase(const StepKey &Step) const {
  const auto Found = Steps_.find(Step);
  if (Found == Steps_.end() || Found->second.Samples_ < EnoughSamples)
    return std::nullopt;
  return Found->second.Base_;
}

/// The time in a queue is its shortest over the share that is not used.
double ServingLoads::getLoad(const StepKey &Step) const {
  const auto Found = Steps_.find(Step);
  if (Found == Steps_.end() || Found->second.Samples_ < EnoughSamples)
    return UsualLoad;
  const auto Image = Images_.find(Found->second.Image_);
  if (Image == Images_.end())
    return UsualLoad;
  const Range &Seen = Image->second;
  if (Seen.Highest_ - Seen.Lowest_ < TellingRange)
    return UsualLoad;
  const double Load =
      1 - MostUnused * std::exp(Seen.Lowest_ - Found->second.Base_);
  return std::clamp(Load, LeastLoad, MostLoad);
}

double ServingLoads::getWorstBase(const std::string &ServerId,
                                  const std::string &Image) const {
  const auto Server = Servers_.find(ServerId);
  if (Server == Servers_.end())
    return UsualBase;
  const auto Found = Server->second.WorstBases_.find(Image);
  return Found == Server->second.WorstBases_.end() ? UsualBase : Found->second;
}

std::int64_t ServingLoads::getUsed(const ServerRecord &Server) const {
  const auto Found = Servers_.find(Server.Facts_.Id_);
  const bool IsKnown = Found != Servers_.end();
  const std::int64_t Reserved = IsKnown ? Found->second.Reserved_ : 0;
  const std::int64_t Used = IsKnown ? Found->second.Used_ : 0;
  // What came since the last report counts as usual; so does what has gone.
  const std::int64_t Rest = Server.ServingCpus_ - Reserved;
  return Used + static_cast<std::int64_t>(double(Rest) * UsualLoad);
}
