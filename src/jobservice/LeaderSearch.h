//===- LeaderSearch.h - Which members an entry asks who leads ---*- C++ -*-===//
//
// Without a leader every entry asks members until one leads. Hundreds of
// entries that ask dozens of members each time keep the members from electing,
// so a round asks a part of them, and different entries ask in different
// orders. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LEADERSEARCH_H
#define TULIPWEIR_SRC_JOBSERVICE_LEADERSEARCH_H

#include "tulipweir/core/Time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace tulipweir::jobservice {

/// Not thread-safe.
class LeaderSearch {
public:
  /// Each member is asked once in Period, in rounds that are RoundInterval
  /// apart. Seed differs between entries.
  LeaderSearch(Duration Period, Duration RoundInterval, std::uint64_t Seed)
      : Rounds_(static_cast<std::size_t>(
            std::max<std::int64_t>(Period / RoundInterval, 1))),
        Seed_(Seed) {}

  /// Returns the members to ask in the next round. Every member is in one of
  /// the rounds of a period, and the possible leaders are in each round: only
  /// the leader itself can confirm that it leads.
  std::set<std::string>
  chooseNext(const std::set<std::string> &Members,
             const std::set<std::string> &PossibleLeaders = {});

private:
  const std::size_t Rounds_; ///< In a period.
  const std::uint64_t Seed_;
  std::size_t Next_ = 0; ///< In the order of this entry.
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LEADERSEARCH_H
