//===- Leadership.cpp - Leadership checks and clock drift -----------------===//

#include "tulipweir/datacentre/Leadership.h"

#include <cassert>

using namespace tulipweir;

static constexpr std::int64_t Million = 1'000'000;

Duration tulipweir::datacentre::stretchForDrift(Duration Length,
                                                std::uint32_t DriftPpm) {
  assert(DriftPpm < Million && "the drift must be below one million ppm");
  // The other clock may be slow while this one is fast, so the factor is (1 +
  // d) / (1 - d), rounded up.
  const std::int64_t SlowestRate = Million - DriftPpm;
  const std::int64_t Extra = 2 * std::int64_t{DriftPpm};
  // Computes the quotient and remainder separately, because Length in
  // nanoseconds times a million would overflow.
  const std::int64_t Whole = Length.count() / SlowestRate;
  const std::int64_t Remainder = Length.count() % SlowestRate;
  const std::int64_t Increase =
      Whole * Extra + (Remainder * Extra) / SlowestRate + 1;
  return Length + Duration(Increase);
}
