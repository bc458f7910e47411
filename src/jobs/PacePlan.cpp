#include "jobs/PacePlan.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// How near to its target a tail may be expected: readings scatter by a tenth,
/// of which some tasks on a server have the worse half (logarithm).
static constexpr double Margin = 0.05;
/// Below that filling work is not worth its disturbance, percent.
static constexpr std::uint64_t LeastPace = 10;

namespace {

/// What one filling image adds to the tails.
struct Source {
  const std::string *Image_;
  double Share_ = 0;
  double Heaviest_ = 0; ///< Of its weights.
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
static double findShare(const TailEffects &Effects,
                        const std::vector<Tail> &Tails, const Source &From) {
  double Telling = TailEffects::getTelling(From.Share_);
  const double Whole = Telling;
  for (const Tail &Each : Tails) {
    const double Weight = Effects.getWeight(*Each.Image_, *From.Image_);
    if (Each.Over_ > 0 && Weight <= 0)
      return 0;
    if (Each.Over_ > 0)
      Telling = std::min(Telling, Whole - Each.Over_ / Weight);
  }
  return Telling < 0 ? 0 : TailEffects::getShare(Telling);
}

ImagePaces jobs::planPaces(const TailEffects &Effects,
                           const std::map<std::string, double> &Bases,
                           const FillingUse &Asked) {
  std::vector<Source> Sources;
  for (const auto &[Image, Share] : Asked)
    Sources.push_back({&Image, Share});
  std::vector<Tail> Tails;
  for (const auto &[Image, Base] : Bases) {
    Tail Own{&Image, Base + Margin};
    for (Source &Each : Sources) {
      const double Weight = Effects.getWeight(Image, *Each.Image_);
      Own.Over_ += Weight * TailEffects::getTelling(Each.Share_);
      Each.Heaviest_ = std::max(Each.Heaviest_, Weight);
    }
    Tails.push_back(Own);
  }
  std::stable_sort(Sources.begin(), Sources.end(),
                   [](const Source &A, const Source &B) {
                     return A.Heaviest_ > B.Heaviest_;
                   });
  ImagePaces Paces;
  for (Source &Each : Sources) {
    if (getWorst(Tails) <= 0)
      break;
    const double Share = findShare(Effects, Tails, Each);
    Each.Pace_ = static_cast<std::uint64_t>(double(PaceGuard::FullPace) *
                                            Share / Each.Share_);
    if (Each.Pace_ < LeastPace)
      Each.Pace_ = 0;
    Paces[*Each.Image_] = std::min(Each.Pace_, PaceGuard::FullPace);
    const double Left = Each.Pace_ == 0 ? 0 : Share;
    for (Tail &To : Tails)
      To.Over_ -= Effects.getWeight(*To.Image_, *Each.Image_) *
                  (TailEffects::getTelling(Each.Share_) -
                   TailEffects::getTelling(Left));
  }
  return Paces;
}
