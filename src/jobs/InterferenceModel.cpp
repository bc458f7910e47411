#include "jobs/InterferenceModel.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Further images get no weight of their own, which bounds the cost of a
/// sample.
static constexpr std::size_t MaxFillingImages = 64;
static constexpr std::size_t MaxServingImages = 64;
/// Initial variance of a weight, in units of the squared noise of a report
/// (0.15): large enough for the weights that occur.
static constexpr double InitialVariance = 1000;
/// Standard deviation of readings (logarithm).
static constexpr double MeasurementNoise = 0.15;
/// The weight of a pair that was never seen together: half of that of
/// interfering pairs.
static constexpr double DefaultWeight = 2.5;
/// A sample's weight halves after 1,400 more samples, some ten seconds.
static constexpr double ForgettingFactor = 0.9995;
static constexpr double InverseForgettingFactor = 1 / ForgettingFactor;
/// A pair interferes if a quarter of a server's processors would lengthen the
/// tail by three quarters; weights are either 0.2 to 0.6, or 3 and more.
static constexpr double InterferingWeight = 2.2;
static constexpr double HarmlessWeight = 1.2;
/// A pair is classified only by reports in which the filling image uses at
/// least this share.
static constexpr double MinObservedShare = 0.06;
/// Some seconds of reports of some tens of servers.
static constexpr std::uint64_t MinSamples = 100;
/// Limits the influence of an outlier.
static constexpr double MinLogRatio = -3;
static constexpr double MaxLogRatio = 2;

void InterferenceModel::reset() {
  Positions_.clear();
  Models_.clear();
  Interfering_.clear();
  Samples_ = 0;
}

std::size_t InterferenceModel::findPosition(const std::string &Filling) {
  const auto It = Positions_.find(Filling);
  if (It != Positions_.end())
    return It->second;
  const std::size_t NextPosition = Positions_.size() + 1;
  if (NextPosition > MaxFillingImages)
    return 0;
  Positions_.emplace(Filling, NextPosition);
  return NextPosition;
}

void InterferenceModel::grow(Model &Target, std::size_t Size) {
  const std::size_t OldSize = Target.Weights_.size();
  if (OldSize >= Size)
    return;
  std::vector<double> Covariance(Size * Size, 0);
  for (std::size_t Row = 0; Row < Size; ++Row)
    for (std::size_t Column = 0; Column < Size; ++Column)
      if (Row < OldSize && Column < OldSize)
        Covariance[Row * Size + Column] =
            Target.Covariance_[Row * OldSize + Column];
      else if (Row == Column)
        Covariance[Row * Size + Column] = InitialVariance;
  Target.Covariance_ = std::move(Covariance);
  Target.Weights_.resize(Size, 0);
}

void InterferenceModel::learn(const std::string &Serving, const FillingUse &Use,
                              double TailRatio) {
  if (TailRatio <= 0 ||
      (Models_.size() >= MaxServingImages && Models_.count(Serving) == 0))
    return;
  std::vector<std::pair<std::size_t, double>> Inputs = {{0, 1.0}};
  for (const auto &[Filling, Share] : Use)
    if (const std::size_t Position = findPosition(Filling);
        Position != 0 && Share > 0)
      Inputs.emplace_back(Position, Share);
  Samples_ += Use.empty() ? 0 : 1;
  Model &ServingModel = Models_[Serving];
  grow(ServingModel, Positions_.size() + 1);
  const std::size_t Size = ServingModel.Weights_.size();
  std::vector<double> Gain(Size, 0);
  double InnovationVariance = ForgettingFactor;
  double Predicted = 0;
  for (const auto &[Index, Share] : Inputs) {
    Predicted += ServingModel.Weights_[Index] * Share;
    for (std::size_t Row = 0; Row < Size; ++Row)
      Gain[Row] += ServingModel.Covariance_[Row * Size + Index] * Share;
  }
  for (const auto &[Index, Share] : Inputs)
    InnovationVariance += Gain[Index] * Share;
  const double PredictionError =
      std::clamp(std::log(TailRatio), MinLogRatio, MaxLogRatio) - Predicted;
  for (std::size_t Row = 0; Row < Size; ++Row)
    ServingModel.Weights_[Row] +=
        Gain[Row] / InnovationVariance * PredictionError;
  // Multiplies by reciprocals, as divisions would be most of a sample's cost.
  const double InverseVariance = 1 / InnovationVariance;
  for (std::size_t Row = 0; Row < Size; ++Row) {
    double *Cells = &ServingModel.Covariance_[Row * Size];
    const double RowGain = Gain[Row] * InverseVariance;
    for (std::size_t Column = 0; Column < Size; ++Column)
      Cells[Column] =
          (Cells[Column] - RowGain * Gain[Column]) * InverseForgettingFactor;
  }
  updateInterfering(Serving, ServingModel, Use);
  // The variance of an image that is not seen for long would otherwise grow
  // without bound.
  for (std::size_t Index = 0; Index < Size; ++Index)
    ServingModel.Covariance_[Index * Size + Index] = std::min(
        ServingModel.Covariance_[Index * Size + Index], 2 * InitialVariance);
}

double InterferenceModel::getWeight(const std::string &Serving,
                                    const std::string &Filling) const {
  const auto It = Models_.find(Serving);
  const auto Position = Positions_.find(Filling);
  const bool IsKnown = It != Models_.end() && Position != Positions_.end() &&
                       Position->second < It->second.Weights_.size();
  if (!IsKnown)
    return DefaultWeight;
  const Model &ServingModel = It->second;
  const std::size_t Index = Position->second;
  const double Weight = std::max(ServingModel.Weights_[Index], 0.0);
  const double Uncertainty =
      MeasurementNoise *
      std::sqrt(ServingModel
                    .Covariance_[Index * ServingModel.Weights_.size() + Index]);
  return std::min(Weight + Uncertainty, std::max(Weight, DefaultWeight));
}

double InterferenceModel::predict(const std::string &Serving,
                                  const FillingUse &Use) const {
  const auto It = Models_.find(Serving);
  if (It == Models_.end())
    return 0;
  const std::vector<double> &Weights = It->second.Weights_;
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

void InterferenceModel::updateInterfering(const std::string &Serving,
                                          const Model &ServingModel,
                                          const FillingUse &Use) {
  if (!hasLearned())
    return;
  for (const auto &[Filling, Share] : Use) {
    const auto Position = Positions_.find(Filling);
    if (Position == Positions_.end() || Share < MinObservedShare)
      continue;
    const double Weight = ServingModel.Weights_[Position->second];
    if (Weight >= InterferingWeight)
      Interfering_[Serving].insert(Filling);
    else if (Weight < HarmlessWeight)
      if (const auto Pairs = Interfering_.find(Serving);
          Pairs != Interfering_.end())
        Pairs->second.erase(Filling);
  }
}

bool InterferenceModel::isFull() const {
  return Positions_.size() >= MaxFillingImages ||
         Models_.size() >= MaxServingImages;
}

bool InterferenceModel::hasLearned() const { return Samples_ >= MinSamples; }

bool InterferenceModel::isInterfering(const std::string &Serving,
                                      const std::string &Filling) const {
  const auto Pairs = Interfering_.find(Serving);
  return Pairs != Interfering_.end() && Pairs->second.count(Filling) != 0;
}

bool InterferenceModel::isInterferingWithAny(const ServingImages &Serving,
                                             const std::string &Filling) const {
  return std::any_of(Serving.begin(), Serving.end(), [&](const auto &Entry) {
    return isInterfering(Entry.first, Filling);
  });
}

double InterferenceModel::getAddedInterference(const ServingImages &Serving,
                                               const std::string &Image) const {
  if (!hasLearned() || Positions_.empty())
    return 1;
  std::size_t Added = 0;
  for (const auto &[Filling, Position] : Positions_)
    if (isInterfering(Image, Filling) &&
        !isInterferingWithAny(Serving, Filling))
      ++Added;
  return double(Added) / double(Positions_.size());
}
