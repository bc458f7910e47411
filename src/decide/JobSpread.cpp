//===- JobSpread.cpp - Distribution of jobs over racks -------------------===//

#include "decide/JobSpread.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

static std::vector<RackCount>::iterator findRack(std::vector<RackCount> &Racks,
                                                 std::uint32_t Rack) {
  return std::find_if(Racks.begin(), Racks.end(), [&](const RackCount &Count) {
    return Count.Rack_ == Rack;
  });
}

void JobSpread::add(const JobId &Job, std::uint32_t Rack) {
  auto &Racks = Racks_[Job];
  const auto Entry = findRack(Racks, Rack);
  if (Entry == Racks.end())
    Racks.push_back({Rack, 1});
  else
    ++Entry->Tasks_;
}

void JobSpread::remove(const JobId &Job, std::uint32_t Rack) {
  const auto It = Racks_.find(Job);
  if (It == Racks_.end())
    return;
  auto &Racks = It->second;
  auto Entry = findRack(Racks, Rack);
  if (Entry == Racks.end())
    Entry = Racks.begin();
  if (--Entry->Tasks_ == 0)
    Racks.erase(Entry);
  if (Racks.empty())
    Racks_.erase(It);
}

std::pair<std::uint32_t, std::uint32_t>
JobSpread::countInRack(const JobId &Job, std::uint32_t Rack) const {
  std::uint32_t All = 0;
  std::uint32_t InRack = 0;
  const auto It = Racks_.find(Job);
  if (It == Racks_.end())
    return {0, 0};
  for (const RackCount &Count : It->second) {
    All += Count.Tasks_;
    InRack += Count.Rack_ == Rack ? Count.Tasks_ : 0;
  }
  return {All, InRack};
}
