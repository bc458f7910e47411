//===- JobSpread.cpp - How a job's tasks stand over racks ---------------===//

#include "decide/JobSpread.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::decide;

static std::vector<RackCount>::iterator findRack(std::vector<RackCount> &Racks,
                                                 std::uint32_t Rack) {
  return std::find_if(Racks.begin(), Racks.end(), [&](const RackCount &Value) {
    return Value.Rack_ == Rack;
  });
}

void JobSpread::add(const JobId &Job, std::uint32_t Rack) {
  auto &Racks = Racks_[Job];
  const auto Same = findRack(Racks, Rack);
  if (Same == Racks.end())
    Racks.push_back({Rack, 1});
  else
    ++Same->Tasks_;
}

void JobSpread::remove(const JobId &Job, std::uint32_t Rack) {
  const auto Found = Racks_.find(Job);
  if (Found == Racks_.end())
    return;
  auto &Racks = Found->second;
  auto Same = findRack(Racks, Rack);
  if (Same == Racks.end())
    Same = Racks.begin();
  if (--Same->Tasks_ == 0)
    Racks.erase(Same);
  if (Racks.empty())
    Racks_.erase(Found);
}

std::pair<std::uint32_t, std::uint32_t>
JobSpread::countInRack(const JobId &Job, std::uint32_t Rack) const {
  std::uint32_t All = 0;
  std::uint32_t Here = 0;
  const auto Found = Racks_.find(Job);
  if (Found == Racks_.end())
    return {0, 0};
  for (const RackCount &Count : Found->second) {
    All += Count.Tasks_;
    Here += Count.Rack_ == Rack ? Count.Tasks_ : 0;
  }
  return {All, Here};
}
