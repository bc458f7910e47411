//===- Placer.h - Filters and scores servers -------------------*- C++ -*-===//
//
// Chooses a server for one task: samples random servers with room from the
// index, excludes some by a table of filters, scores the others by a table of
// weighted terms, and picks the best. The number of servers considered is
// bounded.
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
  /// BestScore, or why no server was chosen.
  ReasonCode Reason_ = ReasonCode::BestScore;
  std::vector<Candidate> Candidates_; ///< Best first.
};

class Placer {
public:
  Placer(const PlannerState &State, std::uint64_t Seed);

  PlacementChoice choose(const TaskInfo &Task, TimePoint Now);
  /// Returns the resources that would be reserved for the task now.
  Resources computeReservation(const TaskInfo &Task) const;
  /// Returns why no server has Needed free, according to the indexes.
  ReasonCode findRejectionReason(const Resources &Needed) const;

private:
  /// One task and a server that is evaluated for it.
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
    /// Returns 0 to 1.
    double (Placer::*Compute_)(const PlacementContext &) const;
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
