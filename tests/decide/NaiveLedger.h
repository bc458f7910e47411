//===- NaiveLedger.h - Reference model of placements -----------*- C++ -*-===//
//
// A list of the committed placements, whose sums are recomputed on each query.
// Tests compare the planner's sums and indexes with it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_DECIDE_NAIVELEDGER_H
#define TULIPWEIR_TESTS_DECIDE_NAIVELEDGER_H

#include "tulipweir/decide/Planner.h"

#include <algorithm>
#include <map>

namespace tulipweir::decide {

struct LedgerEntry {
  TaskInfo Info_;
  AttemptNumber Attempt_;
  BackendServerId Server_;
  Resources Reservation_;
};

/// Stands in for the replicated state machine, which refuses placements that
/// would overfill a server.
class NaiveLedger {
public:
  Resources sumReservedOn(const BackendServerId &Server) const {
    Resources Sum;
    for (const auto &[Id, Entry] : Placed_)
      if (Entry.Server_ == Server)
        Sum = Sum + Entry.Reservation_;
    return Sum;
  }
  Resources sumReservedBy(const TeamId &Team) const {
    Resources Sum;
    for (const auto &[Id, Entry] : Placed_)
      if (Entry.Info_.Team_ == Team)
        Sum = Sum + Entry.Reservation_;
    return Sum;
  }
  std::size_t countOn(const BackendServerId &Server) const {
    return static_cast<std::size_t>(
        std::count_if(Placed_.begin(), Placed_.end(), [&](const auto &Pair) {
          return Pair.second.Server_ == Server;
        }));
  }
  bool fits(const BackendServerId &Server, const Resources &Added) const {
    const auto It = Servers_.find(Server);
    return It != Servers_.end() &&
           (sumReservedOn(Server) + Added)
               .fitsIn(It->second.Capacity_ - It->second.ServiceShare_);
  }
  bool anyFits(const Resources &Added) const {
    return std::any_of(Servers_.begin(), Servers_.end(), [&](const auto &Pair) {
      return !Pair.second.Draining_ && fits(Pair.first, Added);
    });
  }

  std::map<BackendServerId, ServerInfo> Servers_;
  std::map<TaskId, LedgerEntry> Placed_;
};

inline BackendServerId makeServerId(int I) {
  return BackendServerId("vm-" + std::to_string(I));
}

inline ServerInfo makeServer(int I, const Resources &Capacity,
                             int PerRack = 8) {
  ServerInfo Info;
  Info.Server_ = makeServerId(I);
  Info.Rack_ = RackId("rack-" + std::to_string(I / PerRack));
  Info.Capacity_ = Capacity;
  return Info;
}

inline TaskInfo makeTask(const std::string &Job, std::uint32_t Index,
                         const Resources &Declared,
                         std::uint32_t Priority = 0) {
  TaskInfo Info;
  Info.Task_ = {JobId(Job), Index};
  Info.NextAttempt_ = AttemptNumber(1);
  Info.Team_ = TeamId("team");
  Info.Class_ = JobClassId(Job);
  Info.Priority_ = Priority;
  Info.Declared_ = Declared;
  return Info;
}

/// Returns the decisions of one kind.
inline std::vector<Decision> filterByKind(const std::vector<Decision> &All,
                                          DecisionKind Kind) {
  std::vector<Decision> Matching;
  std::copy_if(All.begin(), All.end(), std::back_inserter(Matching),
               [&](const Decision &D) { return D.Kind_ == Kind; });
  return Matching;
}

} // namespace tulipweir::decide

#endif // TULIPWEIR_TESTS_DECIDE_NAIVELEDGER_H
