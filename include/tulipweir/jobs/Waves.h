//===- Waves.h - Planned maintenance of VMs in waves -----------*- C++ -*-===//
//
// An operator orders a wave: every VM of a list is to be put into maintenance
// by a deadline, with a limit on how many are down at once. The VMs whose
// maintenance has begun are replicated as a part of JobRegistry's state, so
// that a new leader continues where the last one stopped.
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
  std::uint64_t DeadlineMs_ = 0; ///< Counted from the acceptance of the wave.
  std::uint64_t MaxConcurrent_ = 1; ///< Of its VMs that are in maintenance.
  bool operator==(const WaveSpec &) const = default;
};

struct WaveRecord {
  WaveSpec Spec_;
  /// VMs whose maintenance has certainly begun, or that no longer exist.
  std::vector<std::string> Begun_;
  bool operator==(const WaveRecord &) const = default;

  bool hasBegun(const std::string &Vm) const;
  bool isCompleted() const { return Begun_.size() == Spec_.Vms_.size(); }
};

/// Holds the waves of the data centre. Not thread-safe.
class WaveRegistry {
public:
  // Commands. Each returns whether it changed anything.

  /// Adds a wave; does nothing if its id is already known.
  bool start(const WaveSpec &Spec);
  bool markBegun(std::uint64_t Wave, const std::string &Vm);

  // Queries.

  const WaveRecord *find(std::uint64_t Wave) const;
  const std::map<std::uint64_t, WaveRecord> &waves() const { return Waves_; }
  /// Returns whether any wave is not completed.
  bool hasOpenWave() const;

  static WaveRegistry makeFrom(std::vector<WaveRecord> Records);

private:
  std::map<std::uint64_t, WaveRecord> Waves_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_WAVES_H
