//===- FadingHistogram.h - A distribution whose samples fade ----*- C++ -*-===//
//
// A histogram with buckets that grow by 3% each, from 10 to about 120,000 of
// the caller's units. The weight of old samples decays with the samples that
// follow. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_FADINGHISTOGRAM_H
#define TULIPWEIR_CORE_FADINGHISTOGRAM_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace tulipweir {

/// Memory is constant. Not thread-safe.
class FadingHistogram {
public:
  /// When the total weight reaches MaxTotalWeight, all weights are halved.
  explicit FadingHistogram(float MaxTotalWeight = 512)
      : MaxTotalWeight_(MaxTotalWeight) {}

  // Commands.

  void add(std::int64_t Amount, float Weight = 1);
  /// Adds a sample that is known only within bounds. Its weight is spread over
  /// the buckets between them in proportion to what they hold, so that wide
  /// bounds do not change the shape of the distribution.
  void addBetween(std::int64_t Lowest, std::int64_t Highest, float Weight = 1);

  // Queries.

  /// Returns the middle of the bucket that holds the quantile; 0 when empty.
  std::int64_t getQuantile(double Fraction) const;

private:
  static constexpr std::size_t Buckets = 320;

  static std::size_t findBucket(std::int64_t Amount);
  void fade();

  float MaxTotalWeight_;
  std::array<float, Buckets> Weights_{};
  float Total_ = 0;
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_FADINGHISTOGRAM_H
