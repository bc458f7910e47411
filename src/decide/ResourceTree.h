//===- ResourceTree.h - Finds a server with enough room ------------*- C++
//-*-===//
//
// A binary tree over all servers in which each node holds the most room of any
// server below it, per dimension. A search goes down only where the maxima
// allow, so that finding a server, or knowing that there is none, visits about
// log2(servers) nodes. At worst (one server has the processors and another the
// memory, over and over) it visits all nodes once.
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

/// Position of a server in the planner's tables.
using ServerIndex = std::uint32_t;

class ResourceTree {
public:
  /// Room of a server that may not be chosen at all.
  static constexpr Resources Unavailable{-1, -1, -1};

  void set(ServerIndex Server, const Resources &Room);

  /// The first server at or after From, going round, that holds Needed.
  std::optional<ServerIndex> findFrom(ServerIndex From,
                                      const Resources &Needed) const;
  /// The most room of any server, per dimension.
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
