#include "jobs/TailRoom.h"

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

/// By how much the logarithm of the group's tail grows with the share.
double TailRoom::getAdded(const Group &To, const std::string &Filling,
                          double Share) const {
  return Effects_.getWeight(*To.Image_, Filling) * Share;
}

void TailRoom::take(const std::string &Filling, std::int64_t MilliCpus) {
  const double Share = double(MilliCpus) / Capacity_;
  for (Group &Each : Groups_)
    Each.Left_ -= getAdded(Each, Filling, Share);
}

bool TailRoom::fits(const std::string &Filling, std::int64_t MilliCpus) const {
  const double Share = double(MilliCpus) / Capacity_;
  return std::all_of(Groups_.begin(), Groups_.end(), [&](const Group &Each) {
    return getAdded(Each, Filling, Share) <= Each.Left_;
  });
}

double TailRoom::getLeast() const {
  double Least = 0;
  for (std::size_t I = 0; I < Groups_.size(); ++I)
    Least = I == 0 ? Groups_[I].Left_ : std::min(Least, Groups_[I].Left_);
  return Least;
}
