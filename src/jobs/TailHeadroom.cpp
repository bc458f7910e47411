#include "jobs/TailHeadroom.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Distance that an expected tail keeps from its target (logarithm): readings
/// scatter by a tenth, and loads rise by a fifth while a task of two seconds
/// runs.
static constexpr double TargetMargin = 0.2;

TailHeadroom::TailHeadroom(const InterferenceModel &Interference,
                           const ServingLoads &Loads,
                           const ServerRecord &Server)
    : Interference_(Interference),
      Capacity_(std::max(1.0, double(Server.Facts_.Capacity_.MilliCpus_))) {
  Groups_.reserve(Server.Serving_.size());
  for (const auto &[Image, Count] : Server.Serving_)
    Groups_.push_back({&Image, -TargetMargin - Loads.getWorstBaseline(
                                                   Server.Facts_.Id_, Image)});
  for (const auto &[Image, Cpus] : Server.FillingCpus_)
    place(Image, Cpus);
}

const std::vector<double> &
TailHeadroom::getWeights(const std::string &Filling) const {
  for (const auto &[Image, Weights] : Weights_)
    if (Image == Filling)
      return Weights;
  std::vector<double> Weights;
  Weights.reserve(Groups_.size());
  for (const Group &Entry : Groups_)
    Weights.push_back(Interference_.getWeight(*Entry.Image_, Filling));
  Weights_.emplace_back(Filling, std::move(Weights));
  return Weights_.back().second;
}

void TailHeadroom::place(const std::string &Filling, std::int64_t MilliCpus) {
  const double Share = double(MilliCpus) / Capacity_;
  const std::vector<double> &Weights = getWeights(Filling);
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    Groups_[I].Headroom_ -= Weights[I] * Share;
}

bool TailHeadroom::fits(const std::string &Filling,
                        std::int64_t MilliCpus) const {
  const double Share = double(MilliCpus) / Capacity_;
  const std::vector<double> &Weights = getWeights(Filling);
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    if (Weights[I] * Share > Groups_[I].Headroom_)
      return false;
  return true;
}

double TailHeadroom::getMinHeadroom() const {
  double Minimum = 0;
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    Minimum =
        I == 0 ? Groups_[I].Headroom_ : std::min(Minimum, Groups_[I].Headroom_);
  return Minimum;
}
