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
static constexpr std::uint64_t FullPace = 100;
/// Below that filling work is not worth its disturbance.
static constexpr std::uint64_t LeastPace = 10;
/// A changed pace is repeated for so long, as answers may be lost.
static constexpr Duration TellFor = 2s;

static std::uint64_t lower(std::uint64_t Pace, std::uint64_t TailPercent) {
  if (TailPercent >= FarOverPercent)
    return 0;
  const std::uint64_t Next =
      TailPercent >= OverPercent ? Pace / 2 : Pace * 3 / 4;
  return Next < LeastPace ? 0 : Next;
}

static std::uint64_t raise(std::uint64_t Pace) {
  return std::min(Pace + StepUp, FullPace);
}

void PaceGuard::note(const std::string &ServerId, const TailReading &Reading,
                     TimePoint Now) {
  const auto [Place, IsNew] = Servers_.try_emplace(ServerId);
  Level &Own = Place->second;
  if (!IsNew && Now - Own.ChangedAt_ < EffectTime)
    return;
  FillingPace Next = Own.Pace_;
  const std::uint64_t Tail = Reading.TailPercent_;
  if (Tail >= ClosePercent) {
    // The others follow only where nothing is left to take from those that are
    // known to disturb.
    if (Reading.HasDisturbing_ && Next.Disturbing_ > 0)
      Next.Disturbing_ = lower(Next.Disturbing_, Tail);
    else if (Reading.HasOthers_ && Tail >= OverPercent)
      Next.Others_ = lower(Next.Others_, Tail);
  } else if (Tail < LowPercent) {
    if (Next.Others_ < FullPace)
      Next.Others_ = raise(Next.Others_);
    else
      Next.Disturbing_ = raise(Next.Disturbing_);
  }
  if (Next == Own.Pace_)
    return;
  Own.Pace_ = Next;
  Own.ChangedAt_ = Now;
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
