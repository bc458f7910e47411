//===- TailEffects.h - Which filling images lengthen which tails *- C++ -*-===//
//
// For each image that serves, a linear model of the logarithm of its tail over
// its target: a base and one weight for each filling image, times the share of
// the server's processors which that image uses. Learned from every report by
// recursive least squares; what was learned long ago fades. Figures in a report
// are of the same half second, so each sample is complete in itself. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_TAILEFFECTS_H
#define TULIPWEIR_SRC_JOBS_TAILEFFECTS_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// By filling image, the share of a server's processors that it uses.
using FillingUse = std::map<std::string, double>;

/// Not thread-safe.
class TailEffects {
public:
  // Commands.

  void reset();
  /// TailRatio is the tail over its target; above zero.
  void learn(const std::string &Serving, const FillingUse &Use,
             double TailRatio);

  // Queries.

  /// By how much the logarithm of the serving image's tail would grow if the
  /// filling image used all processors of the server; 0 where nothing is known.
  double getEffect(const std::string &Serving,
                   const std::string &Filling) const;

  /// Whether enough samples came for effects to mean something.
  bool hasLearned() const;
  /// The largest effect of the filling image on anything that serves.
  double getLargestOn(const std::string &Filling) const;
  /// The largest effect of anything that fills on the serving image.
  double getLargestOf(const std::string &Serving) const;

private:
  struct Model {
    std::vector<double> Weights_; ///< The base first.
    std::vector<double> Covariance_; ///< Square, row by row.
  };
  std::size_t findPosition(const std::string &Filling);
  static void grow(Model &To, std::size_t Size);

  std::uint64_t Samples_ = 0; ///< With something that fills.
  std::map<std::string, std::size_t> Positions_; ///< Of filling images.
  std::map<std::string, Model> Models_;          ///< By serving image.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_TAILEFFECTS_H
