//===- FadingHistogram.cpp - A distribution whose samples fade -----------===//

#include "tulipweir/core/FadingHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace tulipweir;

static constexpr double BucketGrowth = 1.03;
/// Upper bound of the first bucket, in the caller's units.
static constexpr double FirstEdge = 10;
/// The part of the total weight that counts as spread evenly over all buckets
/// when a sample between bounds is added. Without it an empty bucket would
/// never receive weight from such samples.
static constexpr float EvenPart = 0.05F;

std::size_t FadingHistogram::findBucket(std::int64_t Amount) {
  const double Ratio = std::max(1.0, static_cast<double>(Amount) / FirstEdge);
  const auto Bucket = static_cast<std::size_t>(
      std::ceil(std::log(Ratio) / std::log(BucketGrowth)));
  return std::min(Bucket, Buckets - 1);
}

void FadingHistogram::fade() {
  if (Total_ < MaxTotalWeight_)
    return;
  for (float &Weight : Weights_)
    Weight /= 2;
  Total_ /= 2;
}

void FadingHistogram::add(std::int64_t Amount, float Weight) {
  Weights_[findBucket(Amount)] += Weight;
  Total_ += Weight;
  fade();
}

void FadingHistogram::addBetween(std::int64_t Lowest, std::int64_t Highest,
                                 float Weight) {
  const std::size_t First = findBucket(Lowest);
  const std::size_t Last = std::max(First, findBucket(Highest));
  const auto Begin = Weights_.begin() + static_cast<std::ptrdiff_t>(First);
  const auto End = Weights_.begin() + static_cast<std::ptrdiff_t>(Last) + 1;
  const float Even =
      EvenPart * std::max(Total_, 1.0F) / static_cast<float>(Buckets);
  const float Held = std::accumulate(Begin, End, 0.0F) +
                     Even * static_cast<float>(Last - First + 1);
  for (auto It = Begin; It != End; ++It)
    *It += Weight * (*It + Even) / Held;
  Total_ += Weight;
  fade();
}

std::int64_t FadingHistogram::getQuantile(double Fraction) const {
  float Remaining = Total_ * static_cast<float>(Fraction);
  double Edge = FirstEdge;
  for (const float Weight : Weights_) {
    Remaining -= Weight;
    if (Remaining <= 0)
      break;
    Edge *= BucketGrowth;
  }
  return Total_ > 0 ? static_cast<std::int64_t>(
                          std::ceil(Edge / std::sqrt(BucketGrowth)))
                    : 0;
}
