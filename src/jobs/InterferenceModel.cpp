#include "jobs/InterferenceModel.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Images beyond these are not told apart; bounds the cost of a sample.
static constexpr std::size_t MostFillingImages = 64;
static constexpr std::size_t MostServingImages = 64;
/// Of a weight before anything is known, in units of the scatter of a report's
/// figures (0.15): as large as the weights that are seen.
static constexpr double FirstVariance = 1000;
/// Of readings, logarithm.
static constexpr double Scatter = 0.15;
/// Of a pair that was not seen together: half of those that disturb.
static constexpr double UnknownWeight = 2.5;
/// A sample counts half after 1,400 more: some ten seconds.
static constexpr double Fading = 0.9995;
/// A pair disturbs if a quarter of a server would lengthen the tail by three
/// quarters; measured weights are 0.2 to 0.6, or 3 and more.
static constexpr double DisturbingWeight = 2.2;
static constexpr double HarmlessWeight = 1.2;
/// A pair is judged by reports in which it uses at least so much.
static constexpr double TellingShare = 0.06;
/// A few hundred reports of some tens of servers: some seconds.
static constexpr std::uint64_t EnoughSamples = 100;
/// Bounds a wild figure's influence.
static constexpr double LeastLog = -3;
static constexpr double MostLog = 2;

void TailEffects::reset() {
  Positions_.clear();
  Models_.clear();
  Disturbing_.clear();
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
    if (const std::size_t Position = findPosition(Filling);
        Position != 0 && Share > 0)
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
  judge(Serving, Own, Use);
  // What is not seen for long would otherwise grow without bound.
  for (std::size_t At = 0; At < Size; ++At)
    Own.Covariance_[At * Size + At] =
        std::min(Own.Covariance_[At * Size + At], 2 * FirstVariance);
}

double TailEffects::getWeight(const std::string &Serving,
                              const std::string &Filling) const {
  const auto Found = Models_.find(Serving);
  const auto Position = Positions_.find(Filling);
  const bool IsKnown = Found != Models_.end() && Position != Positions_.end() &&
                       Position->second < Found->second.Weights_.size();
  if (!IsKnown)
    return UnknownWeight;
  const Model &Own = Found->second;
  const std::size_t At = Position->second;
  const double Weight = std::max(Own.Weights_[At], 0.0);
  const double Doubt =
      Scatter * std::sqrt(Own.Covariance_[At * Own.Weights_.size() + At]);
  return std::min(Weight + Doubt, std::max(Weight, UnknownWeight));
}

double TailEffects::predict(const std::string &Serving,
                            const FillingUse &Use) const {
  const auto Found = Models_.find(Serving);
  if (Found == Models_.end())
    return 0;
  const std::vector<double> &Weights = Found->second.Weights_;
  double Sum = 0;
  for (const auto &[Filling, Share] : Use) {
    const auto Position = Positions_.find(Filling);
    const bool IsKnown =
        Position != Positions_.end() && Position->second < Weights.size();
    if (IsKnown)
      Sum += std::max(Weights[Position->second], 0.0) * Share;
  }
  return Sum;
}

void TailEffects::judge(const std::string &Serving, const Model &Own,
                        const FillingUse &Use) {
  if (!hasLearned())
    return;
  for (const auto &[Filling, Share] : Use) {
    const auto Position = Positions_.find(Filling);
    if (Position == Positions_.end() || Share < TellingShare)
      continue;
    const double Weight = Own.Weights_[Position->second];
    if (Weight >= DisturbingWeight)
      Disturbing_[Serving].insert(Filling);
    else if (Weight < HarmlessWeight)
      if (const auto Pairs = Disturbing_.find(Serving);
          Pairs != Disturbing_.end())
        Pairs->second.erase(Filling);
  }
}

bool TailEffects::isFull() const {
  return Positions_.size() >= MostFillingImages ||
         Models_.size() >= MostServingImages;
}

bool TailEffects::hasLearned() const { return Samples_ >= EnoughSamples; }

bool TailEffects::isDisturbing(const std::string &Serving,
                               const std::string &Filling) const {
  const auto Pairs = Disturbing_.find(Serving);
  return Pairs != Disturbing_.end() && Pairs->second.count(Filling) != 0;
}

bool TailEffects::isDisturbingAny(const ServingImages &Serving,
                                  const std::string &Filling) const {
  return std::any_of(Serving.begin(), Serving.end(), [&](const auto &Each) {
    return isDisturbing(Each.first, Filling);
  });
}

double TailEffects::getAddedHarm(const ServingImages &Serving,
                                 const std::string &Image) const {
  if (!hasLearned() || Positions_.empty())
    return 1;
  std::size_t Added = 0;
  for (const auto &[Filling, Position] : Positions_)
    if (isDisturbing(Image, Filling) && !isDisturbingAny(Serving, Filling))
      ++Added;
  return double(Added) / double(Positions_.size());
}
