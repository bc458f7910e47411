#include "jobs/PaceGuard.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A tail is measured over half a second, and a pace is in force 100 ms after
/// the server was told: only a later report shows the effect.
static constexpr Duration EffectTime = 650ms;
/// Of a server's processors, for all that disturbs: measured, tails begin to
/// grow between a tenth and an eighth.
static constexpr double UsualBudget = 0.09;
/// All of it while the worst tail is below the first, nothing from the second.
static constexpr std::uint64_t LowPercent = 60;
static constexpr std::uint64_t ClosePercent = 95;
static constexpr std::uint64_t OverPercent = 100;
static constexpr std::uint64_t FarOverPercent = 200;
/// Bounds and steps of the part of the budget that is given out.
static constexpr double LeastTrust = 0.2;
static constexpr double MostTrust = 1.2;
static constexpr double TrustStep = 0.1;
/// For so long a tail may be over its target before tasks that are not known to
/// disturb are slowed; a fraction of the time after which it counts as harm.
static constexpr Duration OthersPatience = 1500ms;
/// Figures are rough: what counts as over is a smoothed tail near the target or
/// beyond. The weight makes it follow within two to three reports.
static constexpr double GoodPercent = 92;
static constexpr double NewestWeight = 0.4;
/// After so long over, others are slowed also where some that disturb work yet.
static constexpr Duration BlamePatience = 2500ms;
/// What is left to others in the first step; the second stops them, so that
/// both have their effect within the time after which it counts as harm.
static constexpr std::uint64_t OthersFirstStep = 25;
static constexpr std::uint64_t FullPace = 100;
static constexpr std::uint64_t StepUp = 34;
/// Below that filling work is not worth its disturbance.
static constexpr std::uint64_t LeastPace = 10;
/// Smaller changes of a pace are not worth an order.
static constexpr std::uint64_t SmallChange = 8;
/// A changed pace is repeated for so long, as answers may be lost.
static constexpr Duration TellFor = 2s;

static bool isClose(std::uint64_t Left, std::uint64_t Right) {
  const bool IsEdge = Left == 0 || Right == 0;
  return Left == Right ||
         (!IsEdge &&
          std::max(Left, Right) - std::min(Left, Right) < SmallChange);
}

double PaceGuard::getBudget(const Level &Own) {
  const std::uint64_t Tail = std::clamp(
      std::max(Own.TailPercent_, static_cast<std::uint64_t>(Own.Smoothed_)),
      LowPercent, ClosePercent);
  return UsualBudget * Own.Trust_ * double(ClosePercent - Tail) /
         double(ClosePercent - LowPercent);
}

void PaceGuard::note(const std::string &ServerId, const TailReading &Reading,
                     TimePoint Now) {
  const auto [Place, IsNew] = Servers_.try_emplace(ServerId);
  Level &Own = Place->second;
  Own.TailPercent_ = Reading.TailPercent_;
  const auto Bounded =
      static_cast<double>(std::min(Reading.TailPercent_, FarOverPercent));
  Own.Smoothed_ =
      IsNew ? Bounded
            : Own.Smoothed_ * (1 - NewestWeight) + Bounded * NewestWeight;
  if (IsNew || Own.Smoothed_ < GoodPercent)
    Own.GoodUntil_ = Now;
  if (IsNew)
    Own.CorrectedAt_ = Now;
  const FillingPace Before = Own.Pace_;
  if (Now - Own.CorrectedAt_ >= EffectTime)
    correct(Own, Reading, Now);
  std::uint64_t Pace = FullPace;
  if (Reading.Disturbing_ > 0)
    Pace = std::min(
        FullPace, static_cast<std::uint64_t>(double(FullPace) * getBudget(Own) /
                                             Reading.Disturbing_));
  if (Pace < LeastPace)
    Pace = 0;
  if (!isClose(Pace, Own.Pace_.Disturbing_))
    Own.Pace_.Disturbing_ = Pace;
  if (!(Own.Pace_ == Before))
    Own.ChangedAt_ = Now;
}

/// What the tails show after the last correction had its effect.
void PaceGuard::correct(Level &Own, const TailReading &Reading, TimePoint Now) {
  const std::uint64_t Tail = Reading.TailPercent_;
  const double TrustBefore = Own.Trust_;
  const std::uint64_t OthersBefore = Own.Pace_.Others_;
  const bool MayBlame = Reading.Disturbing_ > 0 && Own.Pace_.Disturbing_ > 0;
  if (Tail >= OverPercent && MayBlame)
    Own.Trust_ =
        std::max(Own.Trust_ * (Tail >= FarOverPercent ? 0.4 : 0.7), LeastTrust);
  else if (Tail < LowPercent)
    Own.Trust_ = std::min(Own.Trust_ + TrustStep, MostTrust);
  const Duration Over = Now - Own.GoodUntil_;
  if (Reading.HasOthers_ && Over >= (MayBlame ? BlamePatience : OthersPatience))
    Own.Pace_.Others_ =
        Own.Pace_.Others_ > OthersFirstStep ? OthersFirstStep : 0;
  else if (Over <= Duration(0))
    Own.Pace_.Others_ = std::min(Own.Pace_.Others_ + StepUp, FullPace);
  if (Own.Trust_ != TrustBefore || Own.Pace_.Others_ != OthersBefore)
    Own.CorrectedAt_ = Now;
}

double PaceGuard::getBudget(const std::string &ServerId) const {
  const auto Found = Servers_.find(ServerId);
  return Found == Servers_.end() ? UsualBudget : getBudget(Found->second);
}

FillingPace PaceGuard::getPace(const std::string &ServerId) const {
  const auto Found = Servers_.find(ServerId);
  return Found == Servers_.end() ? FillingPace{} : Found->second.Pace_;
}

bool PaceGuard::isToBeTold(const std::string &ServerId, TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  return Found != Servers_.end() && (!(Found->second.Pace_ == FillingPace{}) ||
                                     Now - Found->second.ChangedAt_ < TellFor);
}
