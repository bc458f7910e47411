#include "jobs/PaceGuard.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A tail is measured over half a second, and a pace is in force 100 ms after
/// the server was told: only a later report shows the effect.
static constexpr Duration EffectTime = 650ms;
/// Over its target: halved. So far over: at once to a standstill.
static constexpr std::uint64_t OverPercent = 100;
static constexpr std::uint64_t FarOverPercent = 200;
/// Close to it: a little less. Well below: a little more.
static constexpr std::uint64_t ClosePercent = 85;
static constexpr std::uint64_t LowPercent = 65;
static constexpr std::uint64_t StepUp = 15;
/// A changed pace is repeated for so long, as answers may be lost.
static constexpr Duration TellFor = 2s;
static constexpr std::uint64_t FullPace = 100;
/// Below that filling work is not worth its disturbance.
static constexpr std::uint64_t LeastPace = 10;

void PaceGuard::note(const std::string &ServerId, std::uint64_t TailPercent,
                     bool HasFilling, TimePoint Now) {
  if (TailPercent == 0) {
    Servers_.erase(ServerId);
    return;
  }
  const auto [Place, IsNew] = Servers_.try_emplace(ServerId);
  Level &Own = Place->second;
  if (!IsNew && Now - Own.ChangedAt_ < EffectTime)
    return;
  std::uint64_t Next = Own.Percent_;
  if (TailPercent >= FarOverPercent)
    Next = 0;
  else if (TailPercent >= OverPercent)
    Next = Own.Percent_ / 2;
  else if (TailPercent >= ClosePercent)
    Next = Own.Percent_ * 3 / 4;
  else if (TailPercent < LowPercent)
    Next = std::min(Own.Percent_ + StepUp, FullPace);
  if (Next < LeastPace && Next < Own.Percent_)
    Next = 0;
  // Without filling tasks it is not they that lengthen the tail: a new one
  // begins carefully.
  if (!HasFilling)
    Next = std::max(Next, TailPercent < ClosePercent ? StepUp * 2 : Next);
  if (Next == Own.Percent_)
    return;
  if (Next == 0)
    Own.ZeroSince_ = Now;
  Own.Percent_ = Next;
  Own.ChangedAt_ = Now;
}

std::uint64_t PaceGuard::getPace(const std::string &ServerId) const {
  const auto Found = Servers_.find(ServerId);
  return Found == Servers_.end() ? FullPace : Found->second.Percent_;
}

bool PaceGuard::isToBeTold(const std::string &ServerId, TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  return Found != Servers_.end() && (Found->second.Percent_ < FullPace ||
                                     Now - Found->second.ChangedAt_ < TellFor);
}

Duration PaceGuard::getStandstill(const std::string &ServerId,
                                  TimePoint Now) const {
  const auto Found = Servers_.find(ServerId);
  const bool Stands = Found != Servers_.end() && Found->second.Percent_ == 0;
  return Stands ? Now - Found->second.ZeroSince_ : Duration(0);
}
