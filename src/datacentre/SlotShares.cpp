//===- SlotShares.cpp - How slots are dealt to entries --------------------===//

#include "tulipweir/datacentre/SlotShares.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

using namespace tulipweir::datacentre;

/// An entry without demand keeps this many slots in a group of servers, so
/// that it can reach the service at once when requests come.
static constexpr double MinShare = 2;
/// Entries that share one server under shareBySubset.
static constexpr std::size_t SubsetSize = 3;

static double sum(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

static double sum(const std::vector<std::uint32_t> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

/// Deals one server's slots by weight. Credits carry what rounding left over
/// from server to server, so that the totals come out by weight too.
static void dealServer(std::uint32_t Slots, const std::vector<double> &Weights,
                       double WeightSum, std::vector<double> &Credits,
                       std::vector<std::uint32_t> &Row) {
  for (std::size_t E = 0; E < Weights.size(); ++E)
    Credits[E] += Slots * Weights[E] / WeightSum;
  std::uint32_t Left = Slots;
  for (std::size_t E = 0; E < Weights.size(); ++E) {
    const double Whole = std::floor(std::max(Credits[E], 0.0));
    const auto Given = std::min(Left, static_cast<std::uint32_t>(Whole));
    Row[E] = Given;
    Credits[E] -= Given;
    Left -= Given;
  }
  for (; Left > 0; --Left) {
    const auto Most = std::max_element(Credits.begin(), Credits.end());
    *Most -= 1;
    ++Row[static_cast<std::size_t>(Most - Credits.begin())];
  }
}

static ShareTable deal(const std::vector<std::uint32_t> &Slots,
                       const std::vector<double> &Weights) {
  ShareTable Table(Slots.size(), std::vector<std::uint32_t>(Weights.size()));
  const double WeightSum = sum(Weights);
  if (WeightSum <= 0)
    return Table;
  std::vector<double> Credits(Weights.size());
  for (std::size_t S = 0; S < Slots.size(); ++S)
    dealServer(Slots[S], Weights, WeightSum, Credits, Table[S]);
  return Table;
}

ShareTable
tulipweir::datacentre::shareEvenly(const std::vector<std::uint32_t> &Slots,
                                   const std::vector<double> &Demand) {
  return deal(Slots, std::vector<double>(Demand.size(), 1.0));
}

ShareTable
tulipweir::datacentre::shareByDemand(const std::vector<std::uint32_t> &Slots,
                                     const std::vector<double> &Demand) {
  if (Demand.empty())
    return ShareTable(Slots.size());
  const double Entries = static_cast<double>(Demand.size());
  const double Total = sum(Slots);
  const double Headroom = std::max(0.0, Total - sum(Demand)) / Entries;
  const double Least = std::min(MinShare, Total / Entries);
  std::vector<double> Weights;
  Weights.reserve(Demand.size());
  for (const double Wanted : Demand)
    Weights.push_back(std::max(Wanted + Headroom, Least));
  // The minimum may have pushed the sum over the total; take it from those
  // that are above the minimum.
  const double Above = sum(Weights) - Least * Entries;
  const double Room = Total - Least * Entries;
  if (Above > Room && Above > 0)
    for (double &Weight : Weights)
      Weight = Least + (Weight - Least) * Room / Above;
  return deal(Slots, Weights);
}

ShareTable
tulipweir::datacentre::shareBySubset(const std::vector<std::uint32_t> &Slots,
                                     const std::vector<double> &Demand) {
  const std::size_t Entries = Demand.size();
  const std::size_t Sharers = std::min(SubsetSize, Entries);
  ShareTable Table(Slots.size(), std::vector<std::uint32_t>(Entries));
  if (Entries == 0)
    return Table;
  for (std::size_t S = 0; S < Slots.size(); ++S)
    for (std::uint32_t I = 0; I < Slots[S]; ++I)
      ++Table[S][(S * Sharers + I % Sharers) % Entries];
  return Table;
}
