//===- Placer.h - Filter, score and pick -----------------------*- C++ -*-===//
//
// Chooses a server for one task: draws a handful of random servers that have
// room from the index, rules out by a table of filters, scores by a table of
// weighted parts, picks the best. Looks at a bounded number of servers however
// many there are.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DECIDE_PLACER_H
#define TULIPWEIR_SRC_DECIDE_PLACER_H

#include "decide/PlannerState.h"
#include "decide/TailModel.h"

#include <random>

namespace tulipweir::decide {

struct PlacementChoice {
  std::optional<ServerIndex> Server_;
  Resources Reservation_;
  ReasonCode Reason_ = ReasonCode::BestScore; ///< Or why there is none.
  std::vector<Candidate> Candidates_;         ///< Best first.
};

class Placer {
public:
  Placer(const PlannerState &State, std::uint64_t Seed);

  PlacementChoice choose(const TaskInfo &Task, TimePoint Now);
  /// What would be set aside for the task now.
  Resources computeReservation(const TaskInfo &Task) const;
  /// Why nothing can take an amount, by what the indexes say.
  ReasonCode findRejectionReason(const Resources &Needed) const;

private:
  /// One task against one server.
  struct PlacementContext {
    const TaskInfo &Task_;
    const Resources &Needed_;
    const ServerEntry &Server_;
    ClassLoad Load_;
    TailPressure Pressure_;
    TimePoint Now_;
  };
  struct Filter {
    const char *Name_;
    ReasonCode Reason_;
    bool (Placer::*Rejects_)(const PlacementContext &) const;
  };
  struct ScoreTerm {
    const char *Name_;
    double Policy::*Weight_;
    double (Placer::*Compute_)(const PlacementContext &) const; ///< 0 to 1.
  };
  static const Filter Filters[];
  static const ScoreTerm ScoreTerms[];

  bool isAvoided(const PlacementContext &Context) const;
  bool hasTooManyUnmeasured(const PlacementContext &Context) const;
  bool isTailOver(const PlacementContext &Context) const;
  bool isTailAtRisk(const PlacementContext &Context) const;
  double scoreTail(const PlacementContext &Context) const;
  double scorePacking(const PlacementContext &Context) const;
  double scoreSafety(const PlacementContext &Context) const;
  double scoreSpread(const PlacementContext &Context) const;

  std::vector<ServerIndex> sampleServers(const Resources &Needed);
  Candidate evaluateCandidate(const PlacementContext &Context,
                              ReasonCode &Reason) const;

  const PlannerState &State_;
  TailModel TailModel_;
  std::mt19937_64 Random_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLACER_H
