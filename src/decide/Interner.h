//===- Interner.h - Dense indexes for identifiers --------------*- C++ -*-===//
//
// Assigns each identifier a small index, so that tables can be plain vectors.
// At most MaxNames identifiers are distinguished. Later ones share the last
// index, which bounds the memory for any number of job classes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_INTERNER_H
#define TULIPWEIR_SRC_DECIDE_INTERNER_H

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

template <class Name> class Interner {
public:
  static constexpr std::uint32_t MaxNames = 4096;

  std::uint32_t intern(const Name &Id) {
    const auto It = Positions_.find(Id);
    if (It != Positions_.end())
      return It->second;
    if (Names_.size() >= MaxNames)
      return MaxNames - 1;
    const auto Position = static_cast<std::uint32_t>(Names_.size());
    Names_.push_back(Id);
    Positions_.emplace(Id, Position);
    return Position;
  }
  std::optional<std::uint32_t> find(const Name &Id) const {
    const auto It = Positions_.find(Id);
    if (It == Positions_.end())
      return std::nullopt;
    return It->second;
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(Names_.size());
  }
  const Name &getName(std::uint32_t Position) const { return Names_[Position]; }

private:
  std::unordered_map<Name, std::uint32_t> Positions_;
  std::vector<Name> Names_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_INTERNER_H
