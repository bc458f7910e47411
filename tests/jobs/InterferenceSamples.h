//===- InterferenceSamples.h - Pairs of images as they were measured --------------===//

#ifndef TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H
#define TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H

#include "jobs/InterferenceModel.h"

#include <cmath>
#include <random>
#include <string>

namespace tulipweir::jobs::test {

/// Of a pair that disturbs, and of any other: the logarithm by which a tail
/// grows for each whole server that fills beside it.
inline constexpr double HeavyWeight = 5;
inline constexpr double LightWeight = 0.3;

/// Reports of a service beside two images that fill, some seconds of them;
/// their figures scatter (logarithm).
inline void teachPairs(TailEffects &Effects, const std::string &Serving,
                       const std::string &Heavy, const std::string &Light,
                       int Reports = 600, double Scatter = 0.1,
                       unsigned Seed = 3) {
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Share(0.02, 0.4);
  std::normal_distribution<double> Noise(0, Scatter);
  for (int I = 0; I < Reports; ++I) {
    const double Much = Share(Random);
    const double Little = Share(Random);
    Effects.learn(
        Serving, {{Heavy, Much}, {Light, Little}},
        std::exp(HeavyWeight * Much + LightWeight * Little + Noise(Random)));
  }
}

} // namespace tulipweir::jobs::test

#endif // TULIPWEIR_TESTS_JOBS_INTERFERENCESAMPLES_H
