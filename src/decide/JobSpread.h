//===- JobSpread.h - Distribution of jobs over racks -----------*- C++ -*-===//
//
// Counts each job's running tasks per rack, for the score term that spreads
// them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_JOBSPREAD_H
#define TULIPWEIR_SRC_DECIDE_JOBSPREAD_H

#include "tulipweir/core/Ids.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

struct RackCount {
  std::uint32_t Rack_ = 0;
  std::uint32_t Tasks_ = 0;
};

class JobSpread {
public:
  void add(const JobId &Job, std::uint32_t Rack);
  /// Removes one task. If the server's rack has changed since the task was
  /// added, the task is removed from any rack.
  void remove(const JobId &Job, std::uint32_t Rack);
  /// Returns the number of the job's running tasks, in total and in the rack.
  std::pair<std::uint32_t, std::uint32_t> countInRack(const JobId &Job,
                                                      std::uint32_t Rack) const;

private:
  std::unordered_map<JobId, std::vector<RackCount>> Racks_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_JOBSPREAD_H
