//===- InterferenceModel.h - Interference between images -------*- C++ -*-===//
//
// For each serving image, a linear model of the logarithm of its tail relative
// to the tail that its own load explains: an intercept, and for each filling
// image a weight times the share of the server's processors that the image
// uses. The model is fitted to every report by recursive least squares with
// exponential forgetting. All values of a report cover the same half second,
// so each sample is complete in itself. Pure.
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

/// Number of serving tasks of each image on a server.
using ServingImages = std::map<std::string, std::uint64_t>;

/// The learned weights of all pairs of images. Not thread-safe.
class InterferenceModel {
public:
  // Commands.

  void reset();
  /// Adds a sample. TailRatio is the tail over the expected tail without
  /// filling tasks, as far as that is known; above zero.
  void learn(const std::string &Serving, const FillingUse &Use,
             double TailRatio);

  // Queries.

  /// Returns by how much the logarithm of the tail is expected to grow.
  double predict(const std::string &Serving, const FillingUse &Use) const;
  /// Returns an upper estimate of the pair's weight: the learned weight plus a
  /// margin that is larger the fewer samples there are.
  double getWeight(const std::string &Serving,
                   const std::string &Filling) const;
  /// Returns whether the table is full, so that further images get no weight of
  /// their own.
  bool isFull() const;
  /// Returns whether enough samples arrived for the weights to be meaningful.
  bool hasLearned() const;
  /// Returns whether the filling image is known to lengthen the serving image's
  /// tail.
  bool isInterfering(const std::string &Serving,
                     const std::string &Filling) const;
  /// Returns the same for at least one of several serving images: the keys of
  /// Serving.
  bool isInterferingWithAny(const ServingImages &Serving,
                            const std::string &Filling) const;
  /// Returns the share of the known filling images that interfere with Image
  /// but with none of the images in Serving; 1 until enough samples arrived.
  double getAddedInterference(const ServingImages &Serving,
                              const std::string &Image) const;

private:
  struct Model {
    std::vector<double> Weights_;    ///< The intercept first.
    std::vector<double> Covariance_; ///< A square matrix, row by row.
  };
  void updateInterfering(const std::string &Serving, const Model &ServingModel,
                         const FillingUse &Use);
  std::size_t findPosition(const std::string &Filling);
  static void grow(Model &Target, std::size_t Size);

  std::uint64_t Samples_ = 0; ///< Samples with at least one filling image.
  /// By filling image, its index in the weights.
  std::map<std::string, std::size_t> Positions_;
  std::map<std::string, Model> Models_; ///< By serving image.
  /// By serving image, the filling images whose weight rose above the upper
  /// threshold and has not fallen below the lower one since.
  std::map<std::string, std::set<std::string>> Interfering_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_INTERFERENCEMODEL_H
