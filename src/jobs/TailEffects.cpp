#include "jobs/TailEffects.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Images beyond these are not told apart; bounds the cost of a sample.
static constexpr std::size_t MostFillingImages = 24;
static constexpr std::size_t MostServingImages = 64;
/// Of a weight before anything is known: a few times the largest effect seen
/// (6), in units of the scatter of a report's figures (0.4).
static constexpr double FirstVariance = 50;
/// A sample counts half after 350 more.
static constexpr double Fading = 0.998;
/// A few hundred reports of some tens of servers: some seconds.
static constexpr std::uint64_t EnoughSamples = 500;
/// Bounds a wild figure's influence.
static constexpr double LeastLog = -3;
static constexpr double MostLog = 2;

void TailEffects::reset() {
  Positions_.clear();
  Models_.clear();
  Samples_ = 0;
}

std::size_t TailEffects::findPosition(const std::string &Filling) {
  const auto Found = Positions_.find(Filling);
  if (Found != Positions_.end())
    return Found->second;
  const std::size_t Next = Positions_.size() + 1;
  if (Next > MostFillingImages)
    return 0;
  Positions_.emplace(Filling, Next);
  return Next;
}

void TailEffects::grow(Model &To, std::size_t Size) {
  const std::size_t Old = To.Weights_.size();
  if (Old >= Size)
    return;
  std::vector<double> Covariance(Size * Size, 0);
  for (std::size_t Row = 0; Row < Size; ++Row)
    for (std::size_t Column = 0; Column < Size; ++Column)
      if (Row < Old && Column < Old)
        Covariance[Row * Size + Column] = To.Covariance_[Row * Old + Column];
      else if (Row == Column)
        Covariance[Row * Size + Column] = FirstVariance;
  To.Covariance_ = std::move(Covariance);
  To.Weights_.resize(Size, 0);
}

void TailEffects::learn(const std::string &Serving, const FillingUse &Use,
                        double TailRatio) {
  if (TailRatio <= 0 ||
      (Models_.size() >= MostServingImages && Models_.count(Serving) == 0))
    return;
  std::vector<std::pair<std::size_t, double>> Inputs = {{0, 1.0}};
  for (const auto &[Filling, Share] : Use)
    if (const std::size_t Position = findPosition(Filling); Position != 0)
      Inputs.emplace_back(Position, Share);
  Samples_ += Use.empty() ? 0 : 1;
  Model &Own = Models_[Serving];
  grow(Own, Positions_.size() + 1);
  const std::size_t Size = Own.Weights_.size();
  std::vector<double> Gain(Size, 0);
  double Spread = Fading;
  double Predicted = 0;
  for (const auto &[At, Share] : Inputs) {
    Predicted += Own.Weights_[At] * Share;
    for (std::size_t Row = 0; Row < Size; ++Row)
      Gain[Row] += Own.Covariance_[Row * Size + At] * Share;
  }
  for (const auto &[At, Share] : Inputs)
    Spread += Gain[At] * Share;
  const double Wrong =
      std::clamp(std::log(TailRatio), LeastLog, MostLog) - Predicted;
  for (std::size_t Row = 0; Row < Size; ++Row)
    Own.Weights_[Row] += Gain[Row] / Spread * Wrong;
  for (std::size_t Row = 0; Row < Size; ++Row)
    for (std::size_t Column = 0; Column < Size; ++Column) {
      double &Cell = Own.Covariance_[Row * Size + Column];
      Cell = (Cell - Gain[Row] * Gain[Column] / Spread) / Fading;
    }
  // What is not seen for long would otherwise grow without bound.
  for (std::size_t At = 0; At < Size; ++At)
    Own.Covariance_[At * Size + At] =
        std::min(Own.Covariance_[At * Size + At], 2 * FirstVariance);
}

double TailEffects::getEffect(const std::string &Serving,
                              const std::string &Filling) const {
  const auto Found = Models_.find(Serving);
  const auto Position = Positions_.find(Filling);
  const bool IsKnown = Found != Models_.end() && Position != Positions_.end() &&
                       Position->second < Found->second.Weights_.size();
  return IsKnown ? Found->second.Weights_[Position->second] : 0;
}

bool TailEffects::hasLearned() const { return Samples_ >= EnoughSamples; }

double TailEffects::getLargestOn(const std::string &Filling) const {
  double Largest = 0;
  for (const auto &[Serving, Own] : Models_)
    Largest = std::max(Largest, getEffect(Serving, Filling));
  return Largest;
}

double TailEffects::getLargestOf(const std::string &Serving) const {
  double Largest = 0;
  for (const auto &[Filling, Position] : Positions_)
    Largest = std::max(Largest, getEffect(Serving, Filling));
  return Largest;
}
