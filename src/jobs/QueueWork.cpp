#include "jobs/QueueWork.h"

#include <algorithm>
#include <cmath>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The mean follows this many recent jobs, which is half a minute of a busy
/// queue.
static constexpr double MaxMeanCount = 100;
/// The recorded work is halved after this many jobs. A shorter history would
/// take the arrival of a few large jobs for a lack of starts.
static constexpr double MaxFadingCount = 400;
/// A size class is behind below this fraction of its share. Less than one, so
/// that the order is by value where shares differ little.
static constexpr double MinShare = 0.95;

void QueueWork::addJob(double Work) {
  MeanCount_ = std::min(MeanCount_ + 1, MaxMeanCount);
  Mean_ += (Work - Mean_) / MeanCount_;
  if (++FadingCount_ >= MaxFadingCount)
    fade();
  All_.Offered_ += Work;
  Sizes_.at(classify(Work)).Offered_ += Work;
}

void QueueWork::recordStart(double JobWork, double TaskWork) {
  All_.Started_ += TaskWork;
  Sizes_.at(classify(JobWork)).Started_ += TaskWork;
}

bool QueueWork::isBehind(double JobWork) const {
  const SizeWork &Size = Sizes_.at(classify(JobWork));
  return Size.Started_ * All_.Offered_ <
         MinShare * All_.Started_ * Size.Offered_;
}

std::size_t QueueWork::classify(double JobWork) const {
  if (Mean_ <= 0 || JobWork <= 0)
    return 0;
  constexpr double ClassesPerDoubling = 2;
  constexpr double ClassOfMean = 3;
  const double Class =
      std::floor(ClassesPerDoubling * std::log2(JobWork / Mean_)) + ClassOfMean;
  return static_cast<std::size_t>(
      std::clamp(Class, 0.0, static_cast<double>(SizeClasses - 1)));
}

void QueueWork::fade() {
  const auto Halve = [](SizeWork &Size) {
    Size.Offered_ /= 2;
    Size.Started_ /= 2;
  };
  FadingCount_ /= 2;
  Halve(All_);
  std::for_each(Sizes_.begin(), Sizes_.end(), Halve);
}
