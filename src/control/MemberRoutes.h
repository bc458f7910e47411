//===- MemberRoutes.h - Routes of group members ----------------*- C++ -*-===//
//
// Serves GET /members and POST /members/{group}/add|promote|remove|replace.
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

/// A replication group that this process is a member of.
struct GroupHandle {
  std::string Group_;
  replication::Replica *Replica_ = nullptr; ///< Not owned.
};

/// The group's leader makes the changes; calls for a group that another control
/// process leads are forwarded to it once. Every change is idempotent: steps
/// that are already done are skipped.
class MemberRoutes final : public RouteSet {
public:
  MemberRoutes(std::vector<GroupHandle> Groups, PeerCaller &Peers,
               Executor &Timers, const Clock &Time);

  RouteMatch handle(const wire::OperatorCall &Call,
                    OperatorDone &Done) override;

private:
  struct MembershipChange;

  void list(const RoutedCall &Call, OperatorDone Done);
  void add(const RoutedCall &Call, OperatorDone Done);
  void promote(const RoutedCall &Call, OperatorDone Done);
  void remove(const RoutedCall &Call, OperatorDone Done);
  void replace(const RoutedCall &Call, OperatorDone Done);

  using ChangeHandler =
      void (MemberRoutes::*)(std::shared_ptr<MembershipChange>);
  /// Parses the body, finds the leader and either runs Handler here or forwards
  /// the call.
  void start(const RoutedCall &Call, OperatorDone Done, ChangeHandler Handler);
  void forward(const RoutedCall &Call, const std::string &Leader,
               OperatorDone Done);

  void runAdd(std::shared_ptr<MembershipChange> Pending);
  void runPromote(std::shared_ptr<MembershipChange> Pending);
  void runRemove(std::shared_ptr<MembershipChange> Pending);
  void runReplace(std::shared_ptr<MembershipChange> Pending);
  void removeOtherIncarnations(std::shared_ptr<MembershipChange> Pending);
  void addNewIncarnation(std::shared_ptr<MembershipChange> Pending);
  void promoteNewIncarnation(std::shared_ptr<MembershipChange> Pending);
  void finish(const std::shared_ptr<MembershipChange> &Pending,
              Outcome<void> Result);

  static const RouteEntry<MemberRoutes> Table[];

  const std::vector<GroupHandle> Groups_;
  PeerCaller &Peers_;
  Executor &Timers_;
  const Clock &Time_;
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_MEMBERROUTES_H
