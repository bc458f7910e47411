//===- PlaceSurvey.h - In which data centres members are --------*- C++ -*-===//
//
// The leader asks the members for their data centres, over which the replica
// spreads the voters.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_PLACESURVEY_H
#define TULIPWEIR_SRC_JOBSERVICE_PLACESURVEY_H

#include "tulipweir/core/Time.h"
#include "tulipweir/replication/Replica.h"

#include <functional>
#include <string>

namespace tulipweir::jobservice {

/// Not thread-safe.
class PlaceSurvey {
public:
  /// Asks a member for its data centre and calls recordPlace with the answer.
  using AskMember = std::function<void(const std::string &Member)>;

  /// Self is this member's name. Its data centre is not known if it is empty.
  PlaceSurvey(const std::string &Self, const std::string &DataCentre,
              const Clock &Time, AskMember Ask);

  /// Asks the members whose data centre is not known, and tells the replica,
  /// which may have been opened again, those that are. Called periodically on
  /// the leader.
  void poll(const replication::ReplicaStatus &Status,
            replication::Replica &Group);
  void recordPlace(const std::string &Member, const std::string &DataCentre);

private:
  const Clock &Time_;
  const AskMember Ask_;
  replication::MemberPlaces Places_;
  TimePoint NextPoll_{};
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_PLACESURVEY_H
