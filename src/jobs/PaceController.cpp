#include "jobs/PaceController.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// A tail is an average over half a second and a pace is in force 100 ms after
/// the order, so only a report after this time shows the effect.
static constexpr Duration EffectDelay = 650ms;
/// Limits the influence of an outlier, percent of the target.
static constexpr std::uint64_t MaxTailPercent = 200;
/// How long a tail may exceed its target before all filling tasks are slowed
/// down; a fraction of the time after which the excess counts as a violation.
static constexpr Duration OverTargetTolerance = 1500ms;
/// Reports are noisy, so the smoothed tail is compared, and with a value just
/// below the target. With this weight it follows a change within two to three
/// reports.
static constexpr double GoodPercent = 92;
static constexpr double SmoothingWeight = 0.4;
/// The limit after the first reduction. The second one stops all filling tasks,
/// so that both take effect before the excess counts as a violation.
static constexpr std::uint64_t ReducedLimit = 25;
static constexpr std::uint64_t RecoveryStep = 34;
/// Smaller changes of a pace are not worth an order.
static constexpr std::uint64_t MinPaceChange = 10;
/// A changed pace is repeated for this long, as answers may be lost.
static constexpr Duration RepeatFor = 2s;

static bool isSmallChange(std::uint64_t A, std::uint64_t B) {
  const auto IsEdge = [](std::uint64_t Pace) {
    return Pace == 0 || Pace == PaceController::FullPace;
  };
  return A == B || (!IsEdge(A) && !IsEdge(B) &&
                    std::max(A, B) - std::min(A, B) < MinPaceChange);
}

static std::uint64_t findPace(const ImagePaces &Paces,
                              const std::string &Image) {
  const auto It = Paces.find(Image);
  return It == Paces.end() ? PaceController::FullPace : It->second;
}

/// Adopts the planned paces that are worth an order; returns whether any pace
/// changed.
bool PaceController::adoptPlan(ServerState &State, const ImagePaces &Planned) {
  bool IsAnyChanged = false;
  ImagePaces Next = Planned;
  for (auto &[Image, Pace] : Next) {
    const std::uint64_t Before = findPace(State.PlannedPaces_, Image);
    if (isSmallChange(Before, Pace))
      Pace = Before;
    IsAnyChanged = IsAnyChanged || Pace != Before;
  }
  for (const auto &[Image, Before] : State.PlannedPaces_)
    IsAnyChanged = IsAnyChanged || findPace(Next, Image) != Before;
  State.PlannedPaces_ = std::move(Next);
  return IsAnyChanged;
}

void PaceController::update(const std::string &ServerId,
                            const TailReading &Reading,
                            const ImagePaces &Planned, TimePoint Now) {
  const auto [Entry, IsNew] = Servers_.try_emplace(ServerId);
  ServerState &State = Entry->second;
  const auto Bounded =
      static_cast<double>(std::min(Reading.TailPercent_, MaxTailPercent));
  State.SmoothedPercent_ =
      IsNew ? Bounded
            : State.SmoothedPercent_ * (1 - SmoothingWeight) +
                  Bounded * SmoothingWeight;
  if (IsNew || State.SmoothedPercent_ < GoodPercent)
    State.LastGoodAt_ = Now;
  if (IsNew)
    State.AdjustedAt_ = Now;
  const std::uint64_t Before = State.Limit_;
  if (Now - State.AdjustedAt_ >= EffectDelay)
    adjustLimit(State, Reading, Now);
  if (adoptPlan(State, Planned) || State.Limit_ != Before)
    State.ChangedAt_ = Now;
}

/// Adjusts the limit by the tails that were reported after the last adjustment
/// took effect.
void PaceController::adjustLimit(ServerState &State, const TailReading &Reading,
                                 TimePoint Now) {
  const std::uint64_t Before = State.Limit_;
  const Duration OverFor = Now - State.LastGoodAt_;
  if (Reading.HasFilling_ && OverFor >= OverTargetTolerance)
    State.Limit_ = State.Limit_ > ReducedLimit ? ReducedLimit : 0;
  else if (OverFor <= Duration(0))
    State.Limit_ = std::min(State.Limit_ + RecoveryStep, FullPace);
  if (State.Limit_ != Before)
    State.AdjustedAt_ = Now;
}

std::uint64_t PaceController::getPace(const std::string &ServerId,
                                      const std::string &Image) const {
  const auto It = Servers_.find(ServerId);
  if (It == Servers_.end())
    return FullPace;
  return std::min(findPace(It->second.PlannedPaces_, Image), It->second.Limit_);
}

std::uint64_t PaceController::getLimit(const std::string &ServerId) const {
  const auto It = Servers_.find(ServerId);
  return It == Servers_.end() ? FullPace : It->second.Limit_;
}

std::uint64_t PaceController::getMinPace(const std::string &ServerId) const {
  const auto It = Servers_.find(ServerId);
  if (It == Servers_.end())
    return FullPace;
  std::uint64_t Minimum = It->second.Limit_;
  for (const auto &[Image, Pace] : It->second.PlannedPaces_)
    Minimum = std::min(Minimum, Pace);
  return Minimum;
}

bool PaceController::isAdjusting(const std::string &ServerId,
                                 TimePoint Now) const {
  const auto It = Servers_.find(ServerId);
  return It != Servers_.end() && (It->second.Limit_ < FullPace ||
                                  Now - It->second.ChangedAt_ < EffectDelay);
}

bool PaceController::needsOrders(const std::string &ServerId,
                                 TimePoint Now) const {
  const auto It = Servers_.find(ServerId);
  return It != Servers_.end() && (getMinPace(ServerId) < FullPace ||
                                  Now - It->second.ChangedAt_ < RepeatFor);
}
