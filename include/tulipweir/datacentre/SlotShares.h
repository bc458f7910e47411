//===- SlotShares.h - Rules for sharing slots among entries -----*- C++ -*-===//
//
// The ways in which the slots of alike servers can be shared. docs/LEASES.md
// says what was weighed; bench/datacentre measures them against each other.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SLOTSHARES_H
#define TULIPWEIR_DATACENTRE_SLOTSHARES_H

#include <cstdint>
#include <vector>

namespace tulipweir::datacentre {

/// Slots by [server][entry]. Each server's row sums to at most its slots.
using ShareTable = std::vector<std::vector<std::uint32_t>>;

/// A way to share: Slots holds each server's slots, Demand how many requests
/// each entry has in flight at all of them.
using ShareRule = ShareTable (*)(const std::vector<std::uint32_t> &Slots,
                                 const std::vector<double> &Demand);

/// The same for every entry, the odd slots dealt in turn.
ShareTable shareEvenly(const std::vector<std::uint32_t> &Slots,
                       const std::vector<double> &Demand);

/// Each entry gets its demand and the same part of what is left over, and
/// never less than a small minimum. Without demand this is the even share.
ShareTable shareByDemand(const std::vector<std::uint32_t> &Slots,
                         const std::vector<double> &Demand);

/// Each server is shared by a few entries only, in turn. Kept for comparison.
ShareTable shareBySubset(const std::vector<std::uint32_t> &Slots,
                         const std::vector<double> &Demand);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SLOTSHARES_H
