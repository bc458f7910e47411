//===- RouteTable.h - Operators' paths and who answers them ----*- C++ -*-===//
//
// A table of method, path pattern and member function. In a pattern, "{}"
// stands for one segment.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ROUTETABLE_H
#define TULIPWEIR_SRC_CONTROL_ROUTETABLE_H

#include "tulipweir/wire/Messages.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::control {

/// Called exactly once, from any thread.
using OperatorDone = std::function<void(wire::OperatorAnswer)>;

/// An operator's call whose path matched a pattern.
struct RoutedCall {
  wire::OperatorCall Call_;
  std::vector<std::string> Words_; ///< What stood for each "{}".

  /// The decoded value of a query parameter; empty if there is none.
  std::string findQuery(std::string_view Name) const;
  /// The parameter as a number within the limits; Default when it is absent
  /// or no number.
  std::uint64_t findNumber(std::string_view Name, std::uint64_t Default,
                           std::uint64_t Most) const;
};

/// The segments that stand for "{}", or nullopt if Path does not match.
std::optional<std::vector<std::string>> matchPath(std::string_view Pattern,
                                                  std::string_view Path);

enum class RouteMatch { Handled, WrongMethod, UnknownPath };

/// A part of the operators' API.
class RouteSet {
public:
  virtual ~RouteSet() = default;
  /// Handled: Done is or will be called. Otherwise Done is left untouched.
  virtual RouteMatch handle(const wire::OperatorCall &Call,
                            OperatorDone &Done) = 0;
};

template <class Owner> struct RouteEntry {
  std::string_view Method_;
  std::string_view Pattern_;
  void (Owner::*Handle_)(const RoutedCall &Call, OperatorDone Done);
};

/// Finds the entry for Call and lets Self answer it.
template <class Owner, std::size_t Count>
RouteMatch routeCall(Owner &Self, const RouteEntry<Owner> (&Table)[Count],
                     const wire::OperatorCall &Call, OperatorDone &Done) {
  RouteMatch Best = RouteMatch::UnknownPath;
  for (const RouteEntry<Owner> &Entry : Table) {
    std::optional<std::vector<std::string>> Words =
        matchPath(Entry.Pattern_, Call.Path_);
    if (!Words)
      continue;
    if (Entry.Method_ == Call.Method_) {
      (Self.*Entry.Handle_)(RoutedCall{Call, std::move(*Words)},
                            std::move(Done));
      return RouteMatch::Handled;
    }
    Best = RouteMatch::WrongMethod;
  }
  return Best;
}

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ROUTETABLE_H
