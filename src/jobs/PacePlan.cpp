#include "jobs/PacePlan.h"

#include "jobs/RemainingCapacity.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// How near to its target a tail may be expected: readings scatter by a tenth,
/// of which some tasks on a server have the worse half (logarithm).
static constexpr double Margin = 0.12;
/// Below that filling work is not worth its disturbance, percent.
static constexpr std::uint64_t LeastPace = 10;

namespace {

/// What one filling image adds to the tails.
struct Source {
  const std::string *Image_;
  double Share_ = 0;
  std::vector<double> Weights_; ///< One for each tail.
  double Heaviest_ = 0;         ///< Of these.
  std::uint64_t Pace_ = PaceGuard::FullPace;
};

/// The tails of one serving image.
struct Tail {
  const std::string *Image_;
  double Over_ = 0; ///< Logarithm by which it is expected to be too long.
};

} // namespace

static double getWorst(const std::vector<Tail> &Tails) {
  double Worst = 0;
  for (const Tail &Each : Tails)
    Worst = std::max(Worst, Each.Over_);
  return Worst;
}

/// The largest share at which the tails are as long as they may be; 0 if there
/// is none.
static double findShare(const std::vector<Tail> &Tails, const Source &From) {
  double Share = From.Share_;
  for (std::size_t I = 0; I < Tails.size(); ++I) {
    if (Tails[I].Over_ <= 0)
      continue;
    if (From.Weights_[I] <= 0)
      return 0;
    Share = std::min(Share, From.Share_ - Tails[I].Over_ / From.Weights_[I]);
  }
  return std::max(Share, 0.0);
}

/// All work more slowly where there are not processors enough for all.
static void share(std::vector<Source> &Sources, double Left) {
  double Asked = 0;
  for (const Source &Each : Sources)
    Asked += Each.Share_ * ServerRoom::UsedOfFilling * double(Each.Pace_) /
             double(PaceGuard::FullPace);
  if (Asked <= Left)
    return;
  const double Part = std::max(Left, 0.0) / Asked;
  for (Source &Each : Sources)
    Each.Pace_ = static_cast<std::uint64_t>(double(Each.Pace_) * Part);
}

ImagePaces jobs::planPaces(const TailEffects &Effects,
                           const std::map<std::string, double> &Bases,
                           const FillingUse &Asked, double LeftShare) {
  std::vector<Source> Sources;
  for (const auto &[Image, Share] : Asked)
    Sources.push_back({&Image, Share, {}});
  std::vector<Tail> Tails;
  for (const auto &[Image, Base] : Bases) {
    Tail Own{&Image, Base + Margin};
    for (Source &Each : Sources) {
      const double Weight = Effects.getWeight(Image, *Each.Image_);
      Each.Weights_.push_back(Weight);
      Own.Over_ += Weight * Each.Share_;
      Each.Heaviest_ = std::max(Each.Heaviest_, Weight);
    }
    Tails.push_back(Own);
  }
  std::stable_sort(Sources.begin(), Sources.end(),
                   [](const Source &A, const Source &B) {
                     return A.Heaviest_ > B.Heaviest_;
                   });
  for (Source &Each : Sources) {
    if (getWorst(Tails) <= 0)
      break;
    const double Share = findShare(Tails, Each);
    Each.Pace_ = static_cast<std::uint64_t>(double(PaceGuard::FullPace) *
                                            Share / Each.Share_);
    if (Each.Pace_ < LeastPace)
      Each.Pace_ = 0;
    const double Left = Each.Pace_ == 0 ? 0 : Share;
    for (std::size_t I = 0; I < Tails.size(); ++I)
      Tails[I].Over_ -= Each.Weights_[I] * (Each.Share_ - Left);
  }
  share(Sources, LeftShare);
  ImagePaces Paces;
  for (const Source &Each : Sources)
    if (Each.Pace_ < PaceGuard::FullPace)
      Paces[*Each.Image_] = Each.Pace_;
  return Paces;
}
