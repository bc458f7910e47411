//===- ReportWitness.h - Has other members record reports -------*- C++ -*-===//
//
// A leader that receives a server's report itself has another member record it
// before it handles the report. If the leader is lost, the next one learns from
// that member until when the server may rely on its lease.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_REPORTWITNESS_H
#define TULIPWEIR_SRC_JOBSERVICE_REPORTWITNESS_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/jobs/LeaseMessages.h"
#include "tulipweir/replication/Replica.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace tulipweir::jobservice {

/// Returns whether the member is in the committed group and in the newest one,
/// so that every later leader asks it about leases or knows of its removal.
bool isSettledMember(const replication::ReplicaStatus &Status,
                     const std::string &Name);

/// All members are called on one executor, and callbacks run there.
class ReportWitness : public std::enable_shared_from_this<ReportWitness> {
public:
  using Done = std::function<void(bool IsRecorded)>;
  /// Sends a request to a member. Calls back once, on the executor.
  using SendRequest = std::function<void(const std::string &Member,
                                         const jobs::WitnessRequest &, Done)>;
  /// Returns the status of this member's replica.
  using GetStatus = std::function<replication::ReplicaStatus()>;

  /// Self is this member's name. Strand must outlive it.
  ReportWitness(std::string Self, Executor &Strand, GetStatus FindStatus,
                SendRequest Send);

  /// Has another member record a report of the server. Reply is called once,
  /// with false if the report must not be handled.
  void record(const std::string &ServerId, Done Reply);

private:
  using Batch = std::vector<std::pair<std::string, Done>>;

  void send();
  std::string chooseMember(const replication::ReplicaStatus &Status) const;
  void recordResult(const std::string &Member, bool IsRecorded);

  const std::string Self_;
  Executor &Strand_;
  const GetStatus FindStatus_;
  const SendRequest SendRequest_;
  Batch Waiting_; ///< Sent together after a short delay.
  /// The last member that answered, or the one after the last that did not.
  std::string Preferred_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_REPORTWITNESS_H
