//===- SlotShares.cpp - Rules for sharing slots among entries -------------===//

#include "tulipweir/datacentre/SlotShares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

using namespace tulipweir::datacentre;

/// An entry without demand keeps this many slots in a group of servers, so that
/// it can send requests to the service at once.
static constexpr double MinEntrySlots = 2;
/// The number of entries that share a server under shareBySubset.
static constexpr std::size_t EntriesPerServer = 3;

static double sum(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

static double sum(const std::vector<std::uint32_t> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

/// Distributes one server's slots by weight. Credits carry the rounding
/// remainders from server to server, so that the totals are proportional to the
/// weights too.
static void distributeServerSlots(std::uint32_t Slots,
                                  const std::vector<double> &Weights,
                                  double WeightSum,
                                  std::vector<double> &Credits,
                                  std::vector<std::uint32_t> &Row) {
  for (std::size_t E = 0; E < Weights.size(); ++E)
    Credits[E] += Slots * Weights[E] / WeightSum;
  std::uint32_t Remaining = Slots;
  for (std::size_t E = 0; E < Weights.size(); ++E) {
    const double Whole = std::floor(std::max(Credits[E], 0.0));
    const auto Assigned =
        std::min(Remaining, static_cast<std::uint32_t>(Whole));
    Row[E] = Assigned;
    Credits[E] -= Assigned;
    Remaining -= Assigned;
  }
  for (; Remaining > 0; --Remaining) {
    const auto Largest = std::max_element(Credits.begin(), Credits.end());
    *Largest -= 1;
    ++Row[static_cast<std::size_t>(Largest - Credits.begin())];
  }
}

static ShareTable distributeByWeight(const std::vector<std::uint32_t> &Slots,
                                     const std::vector<double> &Weights) {
  ShareTable Table(Slots.size(), std::vector<std::uint32_t>(Weights.size()));
  const double WeightSum = sum(Weights);
  if (WeightSum <= 0)
    return Table;
  std::vector<double> Credits(Weights.size());
  for (std::size_t S = 0; S < Slots.size(); ++S)
    distributeServerSlots(Slots[S], Weights, WeightSum, Credits, Table[S]);
  return Table;
}

ShareTable
tulipweir::datacentre::shareEvenly(const std::vector<std::uint32_t> &Slots,
                                   const std::vector<double> &Demand) {
  return distributeByWeight(Slots, std::vector<double>(Demand.size(), 1.0));
}

ShareTable
tulipweir::datacentre::shareByDemand(const std::vector<std::uint32_t> &Slots,
                                     const std::vector<double> &Demand) {
  if (Demand.empty())
    return ShareTable(Slots.size());
  const double Entries = static_cast<double>(Demand.size());
  const double Total = sum(Slots);
  const double Headroom = std::max(0.0, Total - sum(Demand)) / Entries;
  const double Minimum = std::min(MinEntrySlots, Total / Entries);
  std::vector<double> Weights;
  Weights.reserve(Demand.size());
  for (const double Wanted : Demand)
    Weights.push_back(std::max(Wanted + Headroom, Minimum));
  // The minimum may have raised the sum above the total. Subtracts the excess
  // from the weights above the minimum.
  const double Excess = sum(Weights) - Minimum * Entries;
  const double Room = Total - Minimum * Entries;
  if (Excess > Room && Excess > 0)
    for (double &Weight : Weights)
      Weight = Minimum + (Weight - Minimum) * Room / Excess;
  return distributeByWeight(Slots, Weights);
}

ShareTable
tulipweir::datacentre::shareBySubset(const std::vector<std::uint32_t> &Slots,
                                     const std::vector<double> &Demand) {
  const std::size_t Entries = Demand.size();
  const std::size_t Sharers = std::min(EntriesPerServer, Entries);
  ShareTable Table(Slots.size(), std::vector<std::uint32_t>(Entries));
  if (Entries == 0)
    return Table;
  for (std::size_t S = 0; S < Slots.size(); ++S)
    for (std::uint32_t I = 0; I < Slots[S]; ++I)
      ++Table[S][(S * Sharers + I % Sharers) % Entries];
  return Table;
}
