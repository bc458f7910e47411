#include "jobs/PaceController.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A tail is measured over half a second, and a pace is in force 100 ms after
/// the server was told: only a later report shows the effect.
static constexpr Duration EffectTime = 650ms;
/// Bounds the influence of a wild figure, percent of the target.
static constexpr std::uint64_t FarOverPercent = 200;
/// For so long a tail may be over its target before all that fills is slowed; a
/// fraction of the time after which it counts as harm.
static constexpr Duration Patience = 1500ms;
/// Figures are rough: what counts as over is a smoothed tail near the target or
/// beyond. The weight makes it follow within two to three reports.
static constexpr double GoodPercent = 92;
static constexpr double NewestWeight = 0.4;
/// What is left in the first step; the second stops all that fills, so that
/// both have their effect within the time after which it counts as harm.
static constexpr std::uint64_t FirstStep = 25;
static constexpr std::uint64_t StepUp = 34;
/// Smaller changes of a pace are not worth an order.
static constexpr std::uint64_t SmallChange = 10;
/// A changed pace is repeated for so long, as answers may be lost.
static constexpr Duration TellFor = 2s;

static bool isClose(std::uint64_t Left, std::uint64_t Right) {
  const auto IsEdge = [](std::uint64_t Pace) {
    return Pace == 0 || Pace == PaceGuard::FullPace;
  };
  return Left == Right ||
         (!IsEdge(Left) && !IsEdge(Right) &&
          std::max(Left, Right) - std::min(Left, Right) < SmallChange);
}

static std::uint64_t findPace(const ImagePaces &In, const std::string &Image) {
  const auto Found = In.find(Image);
  return Found == In.end() ? PaceGuard::FullPace : Found->second;
}

/// Takes over what is worth an order; whether anything was.
bool PaceGuard::follow(Level &Own, const ImagePaces &Planned) {
  bool IsAnyChanged = false;
  ImagePaces Next = Planned;
  for (auto &[Image, Pace] : Next) {
    const std::uint64_t Before = findPace(Own.Planned_, Image);
    if (isClose(Before, Pace))
      Pace = Before;
    IsAnyChanged = IsAnyChanged || Pace != Before;
  }
  for (const auto &[Image, Before] : Own.Planned_)
    IsAnyChanged = IsAnyChanged || findPace(Next, Image) != Before;
  Own.Planned_ = std::move(Next);
  return IsAnyChanged;
}

void PaceGuard::note(const std::string &ServerId, const TailReading &Reading,
                     const ImagePaces &Planned, TimePoint Now) {
  const auto [Place, IsNew] = Servers_.try_emplace(ServerId);
  Level &Own = Place->second;
  const auto Bounded =
      static_cast<double>(std::min(Reading.TailPercent_, FarOverPercent));
  Own.Smoothed_ =
      IsNew ? Bounded
            : Own.Smoothed_ * (1 - NewestWeight) + Bounded * NewestWeight;
  if (IsNew || Own.Smoothed_ < GoodPercent)
    Own.GoodUntil_ = Now;
  if (IsNew)
    Own.CorrectedAt_ = Now;
  const std::uint64_t Before = Own.Guarded_;
  if (Now - Own.CorrectedAt_ >= EffectTime)
    correct(Own, Reading, Now);
  if (follow(Own, Planned) || Own.Guarded_ != Before)
    Own.ChangedAt_ = Now;
}

/// What the tails show after the last correction had its effect.
void PaceGuard::correct(Level &Own, const TailReading &Reading, TimePoint Now) {
  const std::uint64_t Before = Own.Guarded_;
  const Duration Over = Now - Own.GoodUntil_;
  if (Reading.HasFilling_ && Over >= Patience)
    Own.Guarded_ = Own.Guarded_ > FirstStep ? FirstStep : 0;
  else if (Over <= Duration(0))
    Own.Guarded_ = std::min(Own.Guarded_ + StepUp, FullPace);
  if (Own.Guarded_ != Before)
    Own.CorrectedAt_ = Now;
}

std::uint64_t PaceGuard::getPace(const std::string &ServerId,
                                 const std::string &Image) const {
  const auto Found = Servers_.find(ServerId);
  if (Found == Servers_.end())
    return FullPace;
  return std::min(findPace(Found->second.Planned_, Image),
                  Found->second.Guarded_);
}

std::uint64_t PaceGuard::getGuarded(const std::string &ServerId) const {
  const auto Found = Servers_.find(ServerId);
  return Found == Servers_.end() ? FullPace : Found->second.Guarded_;
}

std::uint64_t PaceGuard::getLeast(const std::string &ServerId) const {
  const auto Found = Servers_.find(ServerId);
  if (Found == Servers_.end())
    return FullPace;
  std::uint64_t Least = Found->second.Guarded_;
  for (const auto &[Image, Pace] : Found->second.Planned_)
    Least = std::min(Least, Pace);
  return Least;
}

bool PaceGuard::isMoving(const std::string &ServerId, TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  return Found != Servers_.end() &&
         (Found->second.Guarded_ < FullPace ||
          Now - Found->second.ChangedAt_ < EffectTime);
}

bool PaceGuard::isToBeTold(const std::string &ServerId, TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  return Found != Servers_.end() && (getLeast(ServerId) < FullPace ||
                                     Now - Found->second.ChangedAt_ < TellFor);
}
