//===- LearnedRunTimes.h - Run times by queue and image ---------*- C++ -*-===//
//
// The distributions of actual in proportion to declared run times, by queue and
// image, and of runs in proportion to the median of their own step. Filling
// work is kept apart, as it gets only idle processors, and so is work that
// declares no run time. Bounded in memory. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_LEARNEDRUNTIMES_H
#define TULIPWEIR_SRC_JOBS_LEARNEDRUNTIMES_H

#include "jobs/RunTimeBounds.h"
#include "tulipweir/core/FadingHistogram.h"
#include "tulipweir/jobs/Configuration.h"
#include "tulipweir/jobs/JobSpec.h"
#include "tulipweir/jobs/LoadStatus.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class LearnedRunTimes {
public:
  static constexpr std::uint64_t MinSamples = 20;
  // Quantiles that cost nothing to read.
  static constexpr double MedianFraction = 0.5;
  static constexpr double TailFraction = 0.95;

  // Commands.

  /// Adds a run of a step. Median is that of the step's own runs, zero if
  /// unknown.
  void add(const QueuePolicy &Queue, const StepSpec &Step,
           const RunTimeBounds &RunTime, Duration Median, double Weight);

  // Queries.

  /// Returns a quantile of the run times of a step of which nothing else is
  /// known; nullopt if too little was learned.
  std::optional<Duration> findQuantile(const QueuePolicy &Queue,
                                       const StepSpec &Step,
                                       double Fraction) const;
  /// Returns a quantile of the runs of a step in proportion to their median;
  /// nullopt if too little was learned.
  std::optional<double> findSpread(const QueuePolicy &Queue,
                                   const StepSpec &Step, double Fraction) const;
  std::vector<LearnedRunTime> list() const;

private:
  struct Key {
    std::string Queue_;
    std::string Image_;
    bool Fills_ = false;
    bool IsDeclared_ = true;
  };
  /// A key that owns nothing, as most look-ups are for a known key.
  struct KeyView {
    std::string_view Host_;
    std::string_view PathPrefix_;
    std::string_view Image_;
    bool Fills_ = false;
    bool IsDeclared_ = true;
  };
  struct Hash {
    // NOLINTNEXTLINE(readability-identifier-naming): as the library names it.
    using is_transparent = void;
    std::size_t operator()(const Key &Value) const;
    std::size_t operator()(const KeyView &Value) const;
  };
  struct Equal {
    // NOLINTNEXTLINE(readability-identifier-naming): as the library names it.
    using is_transparent = void;
    bool operator()(const Key &A, const Key &B) const;
    bool operator()(const KeyView &A, const Key &B) const;
    bool operator()(const Key &A, const KeyView &B) const {
      return (*this)(B, A);
    }
  };
  struct Class {
    FadingHistogram Ratios_;
    FadingHistogram Spreads_;
    std::uint64_t RatioCount_ = 0;
    std::uint64_t SpreadCount_ = 0;
    std::uint64_t LastUse_ = 0; ///< In samples of all classes.
    // Read for each waiting step and each run, so they are not computed then.
    std::int64_t Median_ = 0; ///< Of Ratios_.
    std::int64_t Tail_ = 0;   ///< Of Ratios_.
    std::int64_t SpreadTail_ = 0;
    Class();
  };

  static KeyView makeView(const QueuePolicy &Queue, const StepSpec &Step);
  const Class *find(const QueuePolicy &Queue, const StepSpec &Step) const;
  Class &findOrAdd(const KeyView &View);

  std::unordered_map<Key, Class, Hash, Equal> Classes_;
  std::uint64_t Uses_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_LEARNEDRUNTIMES_H
