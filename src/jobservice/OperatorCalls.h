//===- OperatorCalls.h - Operators' orders and reads ------------*- C++ -*-===//
//
// Carries out operators' calls before all other work of the leader. A member
// that does not lead passes orders and reads of the configuration on to the
// leader, so that every member answers them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_OPERATORCALLS_H
#define TULIPWEIR_SRC_JOBSERVICE_OPERATORCALLS_H

#include "tulipweir/jobs/JobLeader.h"
#include "tulipweir/jobservice/MemberLinks.h"

#include <functional>
#include <memory>
#include <string>

namespace tulipweir::jobservice {

/// Thread-safe. Callbacks run on the strand or on a network thread.
class OperatorCalls {
public:
  template <class Value> using Done = std::function<void(Outcome<Value>)>;
  /// Work with the job leader; nullptr if the replica is closed.
  using LeaderWork = std::function<void(jobs::JobLeader *)>;
  /// Runs the work on the strand before all work that is not urgent.
  using RunUrgent = std::function<void(LeaderWork)>;

  /// Links must outlive it.
  OperatorCalls(MemberLinks &Links, RunUrgent Run)
      : Links_(Links), Run_(std::move(Run)) {}
  /// Sets what open calls keep alive. Called once, before any call.
  void setOwner(std::weak_ptr<void> Owner) { Owner_ = std::move(Owner); }

  /// Carries the order out if this member leads; otherwise passes it on.
  void order(const jobs::Command &Order, Done<void> Reply);
  void readConfiguration(Done<jobs::Configuration> Reply);
  /// Fails with NotLeader on a member that does not lead.
  void showWave(std::uint64_t Wave, Done<jobs::WaveRecord> Reply);

  // Calls that another member passes on.

  void handleOrder(const std::string &Body, const net::LinkReply &Reply);
  void handleConfigurationQuery(const net::LinkReply &Reply);

private:
  /// Runs a member function of the leader that ends with the reply.
  template <class Value, class Function>
  void runOnLeader(Done<Value> Reply, Function Work);
  void orderHere(const jobs::Command &Order, Done<void> Reply);
  void readHere(Done<jobs::Configuration> Reply);
  /// Calls the leader that the failure names. Reply gets the failure itself if
  /// it names none, or if the leader is of a version that takes no such calls.
  void callLeader(const Error &Failure, wire::MessageKind Kind,
                  std::string Body, Done<std::string> Reply);

  MemberLinks &Links_;
  const RunUrgent Run_;
  std::weak_ptr<void> Owner_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_OPERATORCALLS_H
