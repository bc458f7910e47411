//===- InterferenceModel.h - Which filling images lengthen which tails *- C++ -*-===//
//
// For each image that serves, a linear model of the logarithm of its tail over
// what its own load explains: a base and one weight for each filling image,
// times the share of the server's processors that the image uses. Learned from
// every report by recursive least squares; what was learned long ago fades.
// Figures in a report are of the same half second, so each sample is complete
// in itself. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_INTERFERENCEMODEL_H
#define TULIPWEIR_SRC_JOBS_INTERFERENCEMODEL_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// By filling image, the share of a server's processors that it uses.
using FillingUse = std::map<std::string, double>;

/// How many tasks of each image serve on a server.
using ServingImages = std::map<std::string, std::uint64_t>;

/// Not thread-safe.
class TailEffects {
public:
  // Commands.

  void reset();
  /// TailRatio is the tail over what it would be without filling work, as far
  /// as that is known; above zero.
  void learn(const std::string &Serving, const FillingUse &Use,
             double TailRatio);

  // Queries.

  /// By how much the logarithm of the tail is expected to grow.
  double predict(const std::string &Serving, const FillingUse &Use) const;
  /// What the weight of the pair may well be: what was learned and a little
  /// more, the more the less is known.
  double getWeight(const std::string &Serving,
                   const std::string &Filling) const;
  /// Whether images that come now are no longer told apart, as too many came
  /// before.
  bool isFull() const;
  /// Whether enough samples came for effects to mean something.
  bool hasLearned() const;
  /// Whether the filling image is known to lengthen the serving image's tail.
  bool isDisturbing(const std::string &Serving,
                    const std::string &Filling) const;
  /// The same for at least one of several that serve: the keys of Serving.
  bool isDisturbingAny(const ServingImages &Serving,
                       const std::string &Filling) const;
  /// The part of the known filling images that could no longer work freely if
  /// the image came to serve beside those; 1 while little is known.
  double getAddedHarm(const ServingImages &Serving,
                      const std::string &Image) const;

private:
  struct Model {
    std::vector<double> Weights_;    ///< The base first.
    std::vector<double> Covariance_; ///< Square, row by row.
  };
  void judge(const std::string &Serving, const Model &Own,
             const FillingUse &Use);
  std::size_t findPosition(const std::string &Filling);
  static void grow(Model &To, std::size_t Size);

  std::uint64_t Samples_ = 0;                    ///< With something that fills.
  std::map<std::string, std::size_t> Positions_; ///< Of filling images.
  std::map<std::string, Model> Models_;          ///< By serving image.
  /// By serving image, the filling ones whose weight rose above the upper
  /// threshold and has not fallen below the lower one since.
  std::map<std::string, std::set<std::string>> Disturbing_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_INTERFERENCEMODEL_H
