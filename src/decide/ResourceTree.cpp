//===- ResourceTree.cpp - Finds a server with room ----------------------===//

#include "decide/ResourceTree.h"

using namespace tulipweir;
using namespace tulipweir::decide;

void ResourceTree::set(ServerIndex Server, const Resources &Room) {
  while (Server >= Leaves_) {
    std::vector<Resources> Larger(std::size_t{Leaves_} * 4, Unavailable);
    for (ServerIndex I = 0; I < Leaves_; ++I)
      Larger[std::size_t{Leaves_} * 2 + I] = Nodes_[Leaves_ + I];
    Leaves_ *= 2;
    Nodes_ = std::move(Larger);
    for (std::size_t Node = Leaves_ - 1; Node > 0; --Node)
      Nodes_[Node] = Nodes_[Node * 2].maxWith(Nodes_[Node * 2 + 1]);
  }
  std::size_t Node = std::size_t{Leaves_} + Server;
  Nodes_[Node] = Room;
  for (Node /= 2; Node > 0; Node /= 2) {
    const Resources Maximum = Nodes_[Node * 2].maxWith(Nodes_[Node * 2 + 1]);
    if (Nodes_[Node] == Maximum)
      break;
    Nodes_[Node] = Maximum;
  }
}

std::optional<ServerIndex>
ResourceTree::findFrom(ServerIndex From, const Resources &Needed) const {
  From = From % Leaves_;
  const auto Result = findIn(1, 0, Leaves_, From, Needed);
  if (Result || From == 0)
    return Result;
  return findIn(1, 0, Leaves_, 0, Needed);
}

std::optional<ServerIndex>
ResourceTree::findIn(std::size_t Node, ServerIndex Begin, ServerIndex Width,
                     ServerIndex From, const Resources &Needed) const {
  if (Begin + Width <= From || !Needed.fitsIn(Nodes_[Node]))
    return std::nullopt;
  if (Width == 1)
    return Begin;
  const ServerIndex Half = Width / 2;
  const auto InLeftChild = findIn(Node * 2, Begin, Half, From, Needed);
  if (InLeftChild)
    return InLeftChild;
  return findIn(Node * 2 + 1, Begin + Half, Half, From, Needed);
}
