//===- SlotShares.h - Rules for sharing slots among entries -----*- C++ -*-===//
//
// Rules for sharing the slots of servers with the same services.
// docs/LEASES.md explains the choice, and bench/datacentre compares the rules.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SLOTSHARES_H
#define TULIPWEIR_DATACENTRE_SLOTSHARES_H

#include <cstdint>
#include <vector>

namespace tulipweir::datacentre {

/// Slots by [server][entry]. The sum of a server's row is at most its slots.
using ShareTable = std::vector<std::vector<std::uint32_t>>;

/// A sharing rule. Slots holds the slots of each server, Demand the number of
/// requests that each entry has in flight at all of them.
using ShareRule = ShareTable (*)(const std::vector<std::uint32_t> &Slots,
                                 const std::vector<double> &Demand);

/// Gives every entry the same number of slots and distributes the remainder in
/// turn.
ShareTable shareEvenly(const std::vector<std::uint32_t> &Slots,
                       const std::vector<double> &Demand);

/// Gives each entry its demand and an equal part of the remaining slots, but at
/// least a small minimum. Without demand this is the even share.
ShareTable shareByDemand(const std::vector<std::uint32_t> &Slots,
                         const std::vector<double> &Demand);

/// Shares each server among a few entries only, in turn. Kept for comparison.
ShareTable shareBySubset(const std::vector<std::uint32_t> &Slots,
                         const std::vector<double> &Demand);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SLOTSHARES_H
