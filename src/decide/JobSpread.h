//===- JobSpread.h - How a job's tasks stand over racks --------*- C++ -*-===//
//
// Counts each job's running tasks per rack, for the score that spreads them.
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
  /// Takes back one task; of any rack if the server told another one since.
  void remove(const JobId &Job, std::uint32_t Rack);
  /// How many of the job's tasks run, and how many of them in the rack.
  std::pair<std::uint32_t, std::uint32_t> countInRack(const JobId &Job,
                                                      std::uint32_t Rack) const;

private:
  std::unordered_map<JobId, std::vector<RackCount>> Racks_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_JOBSPREAD_H
