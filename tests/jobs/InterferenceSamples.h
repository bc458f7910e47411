//===- InterferenceSamples.h - Simulated interference ----------*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H
#define TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H

#include "jobs/InterferenceModel.h"

#include <cmath>
#include <random>
#include <string>

namespace tulipweir::jobs::test {

/// Weights of an interfering pair and of any other: the logarithm by which a
/// tail grows for a whole server of filling work beside it.
inline constexpr double HeavyWeight = 5;
inline constexpr double LightWeight = 0.3;

/// Trains the model with some seconds of reports of a service beside two
/// filling images; the readings scatter (logarithm).
inline void trainPairs(InterferenceModel &Interference,
                       const std::string &Serving, const std::string &Heavy,
                       const std::string &Light, int Reports = 600,
                       double Scatter = 0.1, unsigned Seed = 3) {
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Share(0.02, 0.4);
  std::normal_distribution<double> Noise(0, Scatter);
  for (int I = 0; I < Reports; ++I) {
    const double HeavyShare = Share(Random);
    const double LightShare = Share(Random);
    Interference.learn(Serving, {{Heavy, HeavyShare}, {Light, LightShare}},
                       std::exp(HeavyWeight * HeavyShare +
                                LightWeight * LightShare + Noise(Random)));
  }
}

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H
