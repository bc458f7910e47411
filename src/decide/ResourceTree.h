//===- ResourceTree.h - Finds a server with room ---------------*- C++ -*-===//
//
// A binary tree over all servers in which each node holds the maximum of the
// servers below it, per dimension. A search descends only where the maxima
// allow it, so that it visits about log2(servers) nodes to find a server or to
// see that there is none. In the worst case (one server has free processors
// and the next free memory, repeatedly) it visits all nodes once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_RESOURCETREE_H
#define TULIPWEIR_SRC_DECIDE_RESOURCETREE_H

#include "tulipweir/core/Resources.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tulipweir::decide {

/// Index of a server in the planner's tables.
using ServerIndex = std::uint32_t;

class ResourceTree {
public:
  /// Value for a server that must not be chosen.
  static constexpr Resources Unavailable{-1, -1, -1};

  void set(ServerIndex Server, const Resources &Room);

  /// Returns the first server at or after From, wrapping around, that has
  /// Needed.
  std::optional<ServerIndex> findFrom(ServerIndex From,
                                      const Resources &Needed) const;
  /// Returns the maximum over all servers, per dimension.
  const Resources &maximum() const { return Nodes_[1]; }
  ServerIndex size() const { return Leaves_; }

private:
  std::optional<ServerIndex> findIn(std::size_t Node, ServerIndex Begin,
                                    ServerIndex Width, ServerIndex From,
                                    const Resources &Needed) const;

  ServerIndex Leaves_ = 1;
  std::vector<Resources> Nodes_ = {Unavailable, Unavailable};
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_RESOURCETREE_H
