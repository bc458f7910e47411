#include "jobs/PacePlan.h"

#include "jobs/RemainingCapacity.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Distance that an expected tail keeps from its target (logarithm): readings
/// scatter by a tenth, so that some tasks on a server exceed their expected
/// tail.
static constexpr double TargetMargin = 0.12;
/// Below this percentage filling work is not worth its interference.
static constexpr std::uint64_t MinPace = 10;

namespace {

/// The effect of one filling image on the tails.
struct FillingImage {
  const std::string *Image_;
  double Share_ = 0;
  std::vector<double> Weights_; ///< One weight for each tail.
  double Heaviest_ = 0;         ///< The largest of the weights.
  std::uint64_t Pace_ = PaceController::FullPace;
};

/// The expected tail of one serving image.
struct ServingTail {
  const std::string *Image_;
  double Excess_ = 0; ///< Logarithm above the longest allowed tail.
};

} // namespace

static double getMaxExcess(const std::vector<ServingTail> &Tails) {
  double MaxExcess = 0;
  for (const ServingTail &Entry : Tails)
    MaxExcess = std::max(MaxExcess, Entry.Excess_);
  return MaxExcess;
}

/// Returns the largest share at which no tail is too long; 0 if there is none.
static double findMaxShare(const std::vector<ServingTail> &Tails,
                           const FillingImage &Filling) {
  double Share = Filling.Share_;
  for (std::size_t I = 0; I < Tails.size(); ++I) {
    if (Tails[I].Excess_ <= 0)
      continue;
    if (Filling.Weights_[I] <= 0)
      return 0;
    Share = std::min(Share,
                     Filling.Share_ - Tails[I].Excess_ / Filling.Weights_[I]);
  }
  return std::max(Share, 0.0);
}

/// Slows all images down by the same factor if there are not enough processors
/// for all.
static void scaleToCapacity(std::vector<FillingImage> &Sources,
                            double Available) {
  double Requested = 0;
  for (const FillingImage &Entry : Sources)
    Requested += Entry.Share_ * RemainingCapacity::FillingUsedShare *
                 double(Entry.Pace_) / double(PaceController::FullPace);
  if (Requested <= Available)
    return;
  const double Factor = std::max(Available, 0.0) / Requested;
  for (FillingImage &Entry : Sources)
    Entry.Pace_ = static_cast<std::uint64_t>(double(Entry.Pace_) * Factor);
}

ImagePaces jobs::planPaces(const InterferenceModel &Interference,
                           const std::map<std::string, double> &Baselines,
                           const FillingUse &RequestedShares,
                           double AvailableShare) {
  std::vector<FillingImage> Sources;
  for (const auto &[Image, Share] : RequestedShares)
    Sources.push_back({&Image, Share, {}});
  std::vector<ServingTail> Tails;
  for (const auto &[Image, Baseline] : Baselines) {
    ServingTail NewTail{&Image, Baseline + TargetMargin};
    for (FillingImage &Entry : Sources) {
      const double Weight = Interference.getWeight(Image, *Entry.Image_);
      Entry.Weights_.push_back(Weight);
      NewTail.Excess_ += Weight * Entry.Share_;
      Entry.Heaviest_ = std::max(Entry.Heaviest_, Weight);
    }
    Tails.push_back(NewTail);
  }
  std::stable_sort(Sources.begin(), Sources.end(),
                   [](const FillingImage &A, const FillingImage &B) {
                     return A.Heaviest_ > B.Heaviest_;
                   });
  for (FillingImage &Entry : Sources) {
    if (getMaxExcess(Tails) <= 0)
      break;
    const double Share = findMaxShare(Tails, Entry);
    Entry.Pace_ = static_cast<std::uint64_t>(double(PaceController::FullPace) *
                                             Share / Entry.Share_);
    if (Entry.Pace_ < MinPace)
      Entry.Pace_ = 0;
    const double NewShare = Entry.Pace_ == 0 ? 0 : Share;
    for (std::size_t I = 0; I < Tails.size(); ++I)
      Tails[I].Excess_ -= Entry.Weights_[I] * (Entry.Share_ - NewShare);
  }
  scaleToCapacity(Sources, AvailableShare);
  ImagePaces Paces;
  for (const FillingImage &Entry : Sources)
    if (Entry.Pace_ < PaceController::FullPace)
      Paces[*Entry.Image_] = Entry.Pace_;
  return Paces;
}
