//===- SlotAmount.h - Slots and connections of one server -------*- C++ -*-===//
//
// Each request occupies one slot and one connection.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_SLOTAMOUNT_H
#define TULIPWEIR_DATACENTRE_SLOTAMOUNT_H

#include <algorithm>
#include <compare>
#include <cstdint>

namespace tulipweir::datacentre {

struct SlotAmount {
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;

  auto operator<=>(const SlotAmount &) const = default;

  /// Returns the larger of the two amounts in each dimension.
  SlotAmount maxWith(const SlotAmount &Other) const {
    return {std::max(Slots_, Other.Slots_),
            std::max(Connections_, Other.Connections_)};
  }
  /// Returns the smaller of the two amounts in each dimension.
  SlotAmount minWith(const SlotAmount &Other) const {
    return {std::min(Slots_, Other.Slots_),
            std::min(Connections_, Other.Connections_)};
  }
  SlotAmount plus(const SlotAmount &Other) const {
    return {Slots_ + Other.Slots_, Connections_ + Other.Connections_};
  }
  /// Returns the difference in each dimension, or 0 where Other is larger.
  SlotAmount minusOrZero(const SlotAmount &Other) const {
    const SlotAmount Common = minWith(Other);
    return {Slots_ - Common.Slots_, Connections_ - Common.Connections_};
  }
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_SLOTAMOUNT_H
