//===- SubmittedIds.h - Submissions that may be accepted --------*- C++ -*-===//
//
// The ids whose submission a leader may have accepted, by what this entry
// forwarded lately. Such an id must not be reported as not accepted. Bounded;
// other entries do not share it. No clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_SUBMITTEDIDS_H
#define TULIPWEIR_SRC_JOBSERVICE_SUBMITTEDIDS_H

#include "tulipweir/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace tulipweir::jobservice {

struct SubmittedIdsSettings {
  /// Longer than a caller stays away by Retry-After, several times over.
  Duration Retention_ = std::chrono::minutes(2);
  /// All submissions of a busy deployment during the retention.
  std::size_t MaxIds_ = 8192;
};

/// Not thread-safe. Ids are kept as hashes: a collision makes one answer less
/// certain and none untrue.
class SubmittedIds {
public:
  explicit SubmittedIds(const SubmittedIdsSettings &Settings)
      : Settings_(Settings) {}

  // Commands.

  void beginAttempt(std::string_view Id);
  /// Ends an attempt that beginAttempt began.
  void endAttempt(std::string_view Id, bool MayBeAccepted, TimePoint Now);

  // Queries.

  /// Returns whether an attempt is in progress or may have been accepted.
  bool mayBeAccepted(std::string_view Id, TimePoint Now) const;
  /// Returns the number of ids that are kept.
  std::size_t getCount() const { return KeptAt_.size(); }

private:
  using Key = std::uint64_t;
  void keep(Key Id, TimePoint Now);

  const SubmittedIdsSettings Settings_;
  std::unordered_map<Key, unsigned> Attempts_; ///< In progress.
  std::unordered_map<Key, TimePoint> KeptAt_;
  /// In order of time; a row whose time is not the kept one is outdated.
  std::deque<std::pair<TimePoint, Key>> Order_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_SUBMITTEDIDS_H
