//===- HashedMap.h - Ordered map with lookups by hash -----------*- C++ -*-===//
//
// A map by name that is iterated in order and looked up by hash. A lookup in an
// ordered map compares a dozen names in scattered nodes when there are
// thousands of entries; a hashed one compares a single name at any size.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_HASHEDMAP_H
#define TULIPWEIR_CORE_HASHEDMAP_H

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace tulipweir {

/// Not thread-safe. References to values stay valid until their entry is
/// erased, also when the map is moved.
template <class Value> class HashedMap {
public:
  using Ordered = std::map<std::string, Value>;

  HashedMap() = default;
  HashedMap(const HashedMap &Other) : Ordered_(Other.Ordered_) { index(); }
  HashedMap(HashedMap &&) noexcept = default;
  HashedMap &operator=(HashedMap Other) noexcept {
    Ordered_.swap(Other.Ordered_);
    Index_.swap(Other.Index_);
    return *this;
  }
  ~HashedMap() = default;

  // Commands.

  /// Returns the value of the name, which is a new one if there was none, and
  /// whether it is new.
  std::pair<Value &, bool> tryEmplace(const std::string &Name) {
    if (Value *Known = find(Name))
      return {*Known, false};
    const auto It = Ordered_.try_emplace(Name).first;
    Index_.emplace(It->first, It);
    return {It->second, true};
  }
  Value &operator[](const std::string &Name) { return tryEmplace(Name).first; }
  bool erase(const std::string &Name) {
    const auto It = Index_.find(Name);
    if (It == Index_.end())
      return false;
    const auto Entry = It->second;
    Index_.erase(It);
    Ordered_.erase(Entry);
    return true;
  }
  void clear() {
    Index_.clear();
    Ordered_.clear();
  }
  /// Returns the entries for changes of their values.
  auto begin() { return Ordered_.begin(); }
  auto end() { return Ordered_.end(); }

  // Queries.

  Value *find(std::string_view Name) {
    const auto It = Index_.find(Name);
    return It == Index_.end() ? nullptr : &It->second->second;
  }
  const Value *find(std::string_view Name) const {
    const auto It = Index_.find(Name);
    return It == Index_.end() ? nullptr : &It->second->second;
  }
  /// The entry must exist.
  const Value &at(std::string_view Name) const {
    return Index_.at(Name)->second;
  }
  Value &at(std::string_view Name) { return Index_.at(Name)->second; }
  const Ordered &ordered() const { return Ordered_; }

private:
  void index() {
    for (auto It = Ordered_.begin(); It != Ordered_.end(); ++It)
      Index_.emplace(It->first, It);
  }

  Ordered Ordered_;
  /// The names are those of the entries, which never move.
  std::unordered_map<std::string_view, typename Ordered::iterator> Index_;
};

} // namespace tulipweir

#endif // TULIPWEIR_CORE_HASHEDMAP_H
