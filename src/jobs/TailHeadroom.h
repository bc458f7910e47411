//===- TailHeadroom.h - What serving tasks on a server still bear --*- C++ -*-===//
//
// How much filling work a server's serving tasks bear before a tail is expected
// to reach its target: what their own load leaves of it at the moment, less
// what the filling work there is known to add. A pair that disturbs may work
// beside a service in a quiet hour, and even one that hardly does may not
// beside a service at its peak. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_TAILHEADROOM_H
#define TULIPWEIR_SRC_JOBS_TAILHEADROOM_H

#include "jobs/ServingLoads.h"
#include "jobs/InterferenceModel.h"
#include "tulipweir/jobs/JobBook.h"

#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobs {

/// Of one server, for one plan. Not thread-safe; all that it is made of must
/// outlive it.
class TailRoom {
public:
  TailRoom(const TailEffects &Effects, const ServingLoads &Loads,
           const ServerRecord &Server);

  // Commands.

  /// So many more processors, thousandths, are filled by tasks of the image.
  void take(const std::string &Filling, std::int64_t MilliCpus);

  // Queries.

  /// Whether no tail is expected to reach its target with these, too.
  bool fits(const std::string &Filling, std::int64_t MilliCpus) const;
  /// The logarithm by which the longest tail may still grow; below zero when it
  /// is expected to be over its target.
  double getLeast() const;

private:
  /// The serving tasks of one image.
  struct Group {
    const std::string *Image_;
    double Left_ = 0; ///< Logarithm of its target over the expected tail.
  };
  /// One for each group; looked up once, as a plan asks for many tasks of few
  /// images.
  const std::vector<double> &getWeights(const std::string &Filling) const;

  const TailEffects &Effects_;
  const double Capacity_;
  std::vector<Group> Groups_;
  mutable std::vector<std::pair<std::string, std::vector<double>>> Weights_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_TAILHEADROOM_H
