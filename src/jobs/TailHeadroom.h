//===- TailHeadroom.h - Interference that a server tolerates ---*- C++ -*-===//
//
// How much filling work the serving tasks of a server tolerate before a tail
// is expected to reach its target: the distance that their own load leaves,
// less the known effect of the filling tasks there. An interfering pair may
// run together while the service is idle, and even a weakly interfering one
// may not while it is at its peak. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_TAILHEADROOM_H
#define TULIPWEIR_SRC_JOBS_TAILHEADROOM_H

#include "jobs/InterferenceModel.h"
#include "jobs/ServingLoads.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// The headroom of one server during one plan. Not thread-safe; all arguments
/// must outlive it.
class TailHeadroom {
public:
  TailHeadroom(const InterferenceModel &Interference, const ServingLoads &Loads,
               const ServerRecord &Server);

  // Commands.

  /// Subtracts a task of the image that uses this many more processors,
  /// thousandths.
  void place(const std::string &Filling, std::int64_t MilliCpus);

  // Queries.

  /// Returns whether no tail is expected to reach its target with this task
  /// added.
  bool fits(const std::string &Filling, std::int64_t MilliCpus) const;
  /// Returns the logarithm by which the longest tail may still grow; below zero
  /// if it is expected to exceed its target.
  double getMinHeadroom() const;

private:
  /// The serving tasks of one image.
  struct Group {
    const std::string *Image_;
    double Headroom_ = 0; ///< Logarithm of the target over the expected tail.
  };
  /// Returns one weight for each group; cached, as a plan asks for many tasks
  /// of few images.
  const std::vector<double> &getWeights(const std::string &Filling) const;

  const InterferenceModel &Interference_;
  const double Capacity_;
  std::vector<Group> Groups_;
  mutable std::vector<std::pair<std::string, std::vector<double>>> Weights_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_TAILHEADROOM_H
