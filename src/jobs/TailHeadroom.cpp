#include "jobs/TailHeadroom.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Readings scatter by a tenth, loads rise by a fifth while a task of two
/// seconds runs: a tail is not planned nearer to its target (logarithm).
static constexpr double Margin = 0.2;

TailRoom::TailRoom(const TailEffects &Effects, const ServingLoads &Loads,
                   const ServerRecord &Server)
    : Effects_(Effects),
      Capacity_(std::max(1.0, double(Server.Facts_.Capacity_.MilliCpus_))) {
  Groups_.reserve(Server.Serving_.size());
  for (const auto &[Image, Count] : Server.Serving_)
    Groups_.push_back(
        {&Image, -Margin - Loads.getWorstBase(Server.Facts_.Id_, Image)});
  for (const auto &[Image, Cpus] : Server.FillingCpus_)
    take(Image, Cpus);
}

const std::vector<double> &
TailRoom::getWeights(const std::string &Filling) const {
  for (const auto &[Image, Weights] : Weights_)
    if (Image == Filling)
      return Weights;
  std::vector<double> Weights;
  Weights.reserve(Groups_.size());
  for (const Group &Each : Groups_)
    Weights.push_back(Effects_.getWeight(*Each.Image_, Filling));
  Weights_.emplace_back(Filling, std::move(Weights));
  return Weights_.back().second;
}

void TailRoom::take(const std::string &Filling, std::int64_t MilliCpus) {
  const double Share = double(MilliCpus) / Capacity_;
  const std::vector<double> &Weights = getWeights(Filling);
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    Groups_[I].Left_ -= Weights[I] * Share;
}

bool TailRoom::fits(const std::string &Filling, std::int64_t MilliCpus) const {
  const double Share = double(MilliCpus) / Capacity_;
  const std::vector<double> &Weights = getWeights(Filling);
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    if (Weights[I] * Share > Groups_[I].Left_)
      return false;
  return true;
}

double TailRoom::getLeast() const {
  double Least = 0;
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    Least = I == 0 ? Groups_[I].Left_ : std::min(Least, Groups_[I].Left_);
  return Least;
}
