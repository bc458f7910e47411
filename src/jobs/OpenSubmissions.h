//===- OpenSubmissions.h - Submissions without a known outcome --*- C++ -*-===//
//
// The ids of jobs whose proposals are under way or have ended with an unknown
// outcome. They may be accepted at any moment, so they must not be rejected.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_OPENSUBMISSIONS_H
#define TULIPWEIR_SRC_JOBS_OPENSUBMISSIONS_H

#include "tulipweir/jobs/JobRegistry.h"

#include <string>
#include <unordered_map>

namespace tulipweir::jobs {

/// Not thread-safe.
class OpenSubmissions {
public:
  static constexpr std::size_t MaxIds = 8192;

  // Commands.

  /// Called when this member begins to lead: it has applied all that earlier
  /// leaders have committed, and nothing else of theirs is committed any more.
  void reset() {
    Open_.clear();
    HasOverflowed_ = false;
  }
  /// Adds the id of a job that is about to be proposed.
  void begin(const std::string &Id) {
    const auto It = Open_.find(Id);
    if (It != Open_.end())
      ++It->second;
    else if (Open_.size() < MaxIds)
      Open_.emplace(Id, 1);
    else
      HasOverflowed_ = true;
  }
  /// Called when the outcome of a proposal is known.
  void end(const std::string &Id) {
    const auto It = Open_.find(Id);
    if (It != Open_.end() && --It->second == 0)
      Open_.erase(It);
  }
  /// Removes the jobs that the registry knows.
  void prune(const JobRegistry &Registry) {
    std::erase_if(Open_, [&Registry](const auto &Entry) {
      return Registry.findJob(Entry.first) != nullptr;
    });
  }

  // Queries.

  /// Returns whether a job may be accepted by an earlier proposal; always true
  /// once there were too many of them to remember.
  bool mayContain(const std::string &Id) const {
    return HasOverflowed_ || Open_.count(Id) != 0;
  }
  std::size_t size() const { return Open_.size(); }

private:
  std::unordered_map<std::string, std::uint64_t> Open_; ///< Proposals by id.
  bool HasOverflowed_ = false;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_OPENSUBMISSIONS_H
