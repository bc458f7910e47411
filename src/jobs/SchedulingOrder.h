//===- SchedulingOrder.h - In which order waiting steps are served *- C++ -*-===//
//
// The first waiting steps in the order in which they get room, with what their
// tasks need. Made anew when steps have come, but not for each of some thousand
// reports a second: a long queue would then cost most where there is most to
// do. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H
#define TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H

#include "jobs/JobValue.h"
#include "jobs/ReadyTimes.h"

#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

namespace tulipweir::jobs {

/// The least that any waiting task needs, thousandths of processors and MiB.
struct LeastNeeds {
  std::int64_t Memory_ = 0;
  std::int64_t PlainCpus_ = 0;
  std::int64_t FillingCpus_ = 0;
};

/// A waiting step as a plan looks at it first.
struct Candidate {
  static constexpr std::size_t NotFilling =
      std::numeric_limits<std::size_t>::max();

  ReadyStep Step_;
  Resources Reserved_;          ///< Of each task.
  std::int64_t IdleNeeded_ = 0; ///< Idle processors, of each that fills.
  /// Which of the order's filling images its tasks have.
  std::size_t FillingImage_ = NotFilling;
  TimePoint WaitsSince_{};
  bool IsIdleJob_ = false; ///< Nothing of its job ran when the order was made.
};

/// Not thread-safe.
class ServiceOrder {
public:
  // Commands.

  void reset();
  /// Makes the order anew if steps came since, or it is old.
  void update(const JobBook &Book, ReadyTimes &Waits, TimePoint Now,
              WallTime Wall);

  // Queries, as of the last update.

  const std::vector<Candidate> &candidates() const { return Candidates_; }
  const LeastNeeds &leastNeeds() const { return Least_; }
  std::size_t countFillingImages() const { return FillingImages_.size(); }

private:
  void noteNewJobs(const JobBook &Book);
  void add(const JobBook &Book, const ReadyStep &Ready, ReadyTimes &Waits,
           TimePoint Now);

  std::vector<Candidate> Candidates_;
  LeastNeeds Least_;
  std::unordered_map<std::string, std::size_t> FillingImages_;
  JobValue Value_;
  std::uint64_t LastValued_ = 0; ///< Sequence of the newest job in Value_.
  std::uint64_t Version_ = 0;    ///< Of the book's ready steps, when made.
  TimePoint MadeAt_ = TimePoint::min();
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SCHEDULINGORDER_H
