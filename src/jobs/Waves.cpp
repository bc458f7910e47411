#include "tulipweir/jobs/Waves.h"

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Completed waves are kept for queries; a deployment has some waves a week
/// (docs/CAPACITY.md: 120 VMs are restarted or replaced on a day).
static constexpr std::size_t MaxKeptWaves = 256;

bool WaveRecord::hasBegun(const std::string &Vm) const {
  return std::find(Begun_.begin(), Begun_.end(), Vm) != Begun_.end();
}

bool WaveRegistry::start(const WaveSpec &Spec) {
  if (Waves_.count(Spec.Id_) != 0)
    return false;
  WaveRecord Record;
  Record.Spec_ = Spec;
  // A VM that is named twice counts once.
  std::set<std::string> Named;
  std::erase_if(Record.Spec_.Vms_, [&Named](const std::string &Vm) {
    return !Named.insert(Vm).second;
  });
  Waves_.emplace(Spec.Id_, std::move(Record));
  while (Waves_.size() > MaxKeptWaves) {
    const auto Oldest =
        std::find_if(Waves_.begin(), Waves_.end(), [](const auto &Entry) {
          return Entry.second.isCompleted();
        });
    if (Oldest == Waves_.end())
      break;
    Waves_.erase(Oldest);
  }
  return true;
}

bool WaveRegistry::markBegun(std::uint64_t Wave, const std::string &Vm) {
  const auto It = Waves_.find(Wave);
  if (It == Waves_.end() || It->second.hasBegun(Vm))
    return false;
  const std::vector<std::string> &Vms = It->second.Spec_.Vms_;
  if (std::find(Vms.begin(), Vms.end(), Vm) == Vms.end())
    return false;
  It->second.Begun_.push_back(Vm);
  return true;
}

const WaveRecord *WaveRegistry::find(std::uint64_t Wave) const {
  const auto It = Waves_.find(Wave);
  return It == Waves_.end() ? nullptr : &It->second;
}

bool WaveRegistry::hasOpenWave() const {
  return std::any_of(Waves_.begin(), Waves_.end(), [](const auto &Entry) {
    return !Entry.second.isCompleted();
  });
}

WaveRegistry WaveRegistry::makeFrom(std::vector<WaveRecord> Records) {
  WaveRegistry Registry;
  for (WaveRecord &Record : Records)
    Registry.Waves_[Record.Spec_.Id_] = std::move(Record);
  return Registry;
}
