//===- Waves.h - Planned maintenance of VMs --------------------*- C++ -*-===//
//
// An operator orders a wave: each of some VMs is to have its maintenance by a
// time, at most so many of them at once. Which of them have begun it is
// replicated, so that a new leader goes on where the last one was. Part of
// JobRegistry's state.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_WAVES_H
#define TULIPWEIR_JOBS_WAVES_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tulipweir::jobs {

struct WaveSpec {
  std::uint64_t Id_ = 0;
  std::vector<std::string> Vms_;
  std::uint64_t DeadlineMs_ = 0; ///< From its acceptance.
  std::uint64_t MostAtOnce_ = 1; ///< Of its VMs in maintenance.
  bool operator==(const WaveSpec &) const = default;
};

struct WaveRecord {
  WaveSpec Spec_;
  /// VMs whose maintenance has begun for certain, or that are no more.
  std::vector<std::string> Begun_;
  bool operator==(const WaveRecord &) const = default;

  bool hasBegun(const std::string &Vm) const;
  bool isCompleted() const { return Begun_.size() == Spec_.Vms_.size(); }
};

/// Not thread-safe.
class WaveBook {
public:
  // Commands. Each says whether it changed anything.

  /// Nothing changes for a number that is known.
  bool start(const WaveSpec &Spec);
  bool noteBegun(std::uint64_t Wave, const std::string &Vm);

  // Queries.

  const WaveRecord *find(std::uint64_t Wave) const;
  const std::map<std::uint64_t, WaveRecord> &waves() const { return Waves_; }
  /// Whether any wave is not completed.
  bool isAnyOpen() const;

  static WaveBook makeOf(std::vector<WaveRecord> Records);

private:
  std::map<std::uint64_t, WaveRecord> Waves_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_WAVES_H
