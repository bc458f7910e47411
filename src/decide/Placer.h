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
  Resources reserveFor(const TaskInfo &Task) const;
  /// Why nothing can take an amount, by what the indexes say.
  ReasonCode whyNoRoom(const Resources &Needed) const;

private:
  /// One task against one server.
  struct Match {
    const TaskInfo &Task_;
    const Resources &Needed_;
    const ServerEntry &Server_;
    ClassLoad Load_;
    Pressure Pressure_;
    TimePoint Now_;
  };
  struct Filter {
    const char *Name_;
    ReasonCode Reason_;
    bool (Placer::*Forbids_)(const Match &) const;
  };
  struct ScorePart {
    const char *Name_;
    double Policy::*Weight_;
    double (Placer::*Rate_)(const Match &) const; ///< 0 to 1.
  };
  static const Filter Filters[];
  static const ScorePart ScoreParts[];

  bool isAvoided(const Match &Value) const;
  bool isUnproven(const Match &Value) const;
  bool isTailOver(const Match &Value) const;
  bool isTailAtRisk(const Match &Value) const;
  double rateTail(const Match &Value) const;
  double ratePacking(const Match &Value) const;
  double rateSafety(const Match &Value) const;
  double rateSpread(const Match &Value) const;

  std::vector<ServerIndex> drawCandidates(const Resources &Needed);
  Candidate judge(const Match &Value, ReasonCode &Reason) const;

  const PlannerState &State_;
  TailModel Tail_;
  std::mt19937_64 Random_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_SRC_DECIDE_PLACER_H
