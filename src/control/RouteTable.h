//===- RouteTable.h - Routing of the operator API --------------*- C++ -*-===//
//
// Maps a method and a path pattern to a member function. "{}" in a pattern
// matches one segment.
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

/// Called exactly once, on any thread.
using OperatorDone = std::function<void(wire::OperatorAnswer)>;

/// An operator's call whose path matched a pattern.
struct RoutedCall {
  wire::OperatorCall Call_;
  std::vector<std::string> PathParams_; ///< The segments that matched "{}".

  /// Returns the decoded value of a query parameter; empty if it is absent.
  std::string getQueryParam(std::string_view Name) const;
  /// Returns a query parameter as a number, limited to Max; Default if it is
  /// absent or not a number.
  std::uint64_t getNumberParam(std::string_view Name, std::uint64_t Default,
                               std::uint64_t Max) const;
};

/// Returns the segments that match "{}"; nullopt if Path does not match.
std::optional<std::vector<std::string>> matchPath(std::string_view Pattern,
                                                  std::string_view Path);

enum class RouteMatch { Handled, WrongMethod, UnknownPath };

/// A set of routes of the operator API.
class RouteSet {
public:
  virtual ~RouteSet() = default;
  /// Returns Handled if Done was or will be called; otherwise Done is left
  /// unchanged.
  virtual RouteMatch handle(const wire::OperatorCall &Call,
                            OperatorDone &Done) = 0;
};

template <class Owner> struct RouteEntry {
  std::string_view Method_;
  std::string_view Pattern_;
  void (Owner::*Handle_)(const RoutedCall &Call, OperatorDone Done);
};

/// Finds the entry for Call and calls its handler on Self.
template <class Owner, std::size_t Count>
RouteMatch routeCall(Owner &Self, const RouteEntry<Owner> (&Table)[Count],
                     const wire::OperatorCall &Call, OperatorDone &Done) {
  RouteMatch Result = RouteMatch::UnknownPath;
  for (const RouteEntry<Owner> &Entry : Table) {
    std::optional<std::vector<std::string>> Params =
        matchPath(Entry.Pattern_, Call.Path_);
    if (!Params)
      continue;
    if (Entry.Method_ == Call.Method_) {
      (Self.*Entry.Handle_)(RoutedCall{Call, std::move(*Params)},
                            std::move(Done));
      return RouteMatch::Handled;
    }
    Result = RouteMatch::WrongMethod;
  }
  return Result;
}

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ROUTETABLE_H
