//===- Resources.h - Amounts of processors, memory, accelerators -*- C++ -*-==//
//
// The three dimensions in which a VM can be filled.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_RESOURCES_H
#define TULIPWEIR_CORE_RESOURCES_H

#include <algorithm>
#include <compare>
#include <cstdint>

namespace tulipweir {

/// An amount in every dimension: thousandths of a processor, MiB of memory,
/// whole accelerators. Valid amounts are not negative.
struct Resources {
  std::int64_t MilliCpus_ = 0;
  std::int64_t MemoryMib_ = 0;
  std::int64_t Accelerators_ = 0;

  static constexpr Resources makeFor(std::int64_t MilliCpus,
                                     std::int64_t MemoryMib,
                                     std::int64_t Accelerators = 0) {
    return Resources{MilliCpus, MemoryMib, Accelerators};
  }

  /// Whether this amount is within Room in every dimension.
  constexpr bool fitsIn(const Resources &Room) const {
    return MilliCpus_ <= Room.MilliCpus_ && MemoryMib_ <= Room.MemoryMib_ &&
           Accelerators_ <= Room.Accelerators_;
  }
  constexpr bool isValid() const {
    return MilliCpus_ >= 0 && MemoryMib_ >= 0 && Accelerators_ >= 0;
  }
  constexpr Resources operator+(const Resources &Other) const {
    return {MilliCpus_ + Other.MilliCpus_, MemoryMib_ + Other.MemoryMib_,
            Accelerators_ + Other.Accelerators_};
  }
  constexpr Resources operator-(const Resources &Other) const {
    return {MilliCpus_ - Other.MilliCpus_, MemoryMib_ - Other.MemoryMib_,
            Accelerators_ - Other.Accelerators_};
  }
  /// The larger amount in each dimension.
  constexpr Resources maxWith(const Resources &Other) const {
    return {std::max(MilliCpus_, Other.MilliCpus_),
            std::max(MemoryMib_, Other.MemoryMib_),
            std::max(Accelerators_, Other.Accelerators_)};
  }
  constexpr bool operator==(const Resources &) const = default;
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_RESOURCES_H
