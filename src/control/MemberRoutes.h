//===- MemberRoutes.h - Members of the groups, shown and changed -*- C++ -*-==//
//
// GET /members and POST /members/{group}/add|promote|remove|replace.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_MEMBERROUTES_H
#define TULIPWEIR_SRC_CONTROL_MEMBERROUTES_H

#include "control/PeerCaller.h"
#include "control/RouteTable.h"
#include "tulipweir/core/Executor.h"
#include "tulipweir/replication/Replica.h"

#include <memory>
#include <string>
#include <vector>

namespace tulipweir::control {

/// One group as this process takes part in it.
struct GroupHandle {
  std::string Group_;
  replication::Replica *Replica_ = nullptr; ///< Not owned.
};

/// Changes are made by the group's leader; calls for a group that another
/// control leads are passed on to it once. Every change may be repeated: a
/// step that is done already is skipped.
class MemberRoutes final : public RouteSet {
public:
  MemberRoutes(std::vector<GroupHandle> Groups, PeerCaller &Peers,
               Executor &Timers, const Clock &Time);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  struct Change;

  void list(const RoutedCall &Call, OperatorDone Done);
  void add(const RoutedCall &Call, OperatorDone Done);
  void promote(const RoutedCall &Call, OperatorDone Done);
  void remove(const RoutedCall &Call, OperatorDone Done);
  void replace(const RoutedCall &Call, OperatorDone Done);

  using Action = void (MemberRoutes::*)(std::shared_ptr<Change>);
  /// Reads the body, finds the leader, and runs What here or passes it on.
  void start(const RoutedCall &Call, OperatorDone Done, Action What);
  void passOn(const RoutedCall &Call, const std::string &Leader,
              OperatorDone Done);

  void runAdd(std::shared_ptr<Change> Work);
  void runPromote(std::shared_ptr<Change> Work);
  void runRemove(std::shared_ptr<Change> Work);
  void runReplace(std::shared_ptr<Change> Work);
  void removeOther(std::shared_ptr<Change> Work);
  void addNew(std::shared_ptr<Change> Work);
  void promoteNew(std::shared_ptr<Change> Work);
  void finish(const std::shared_ptr<Change> &Work, Outcome<void> Result);

  static const RouteEntry<MemberRoutes> Table[];

  const std::vector<GroupHandle> Groups_;
  PeerCaller &Peers_;
  Executor &Timers_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_MEMBERROUTES_H
