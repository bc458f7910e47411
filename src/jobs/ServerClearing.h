//===- ServerClearing.h - Servers left to filling work ---------*- C++ -*-===//
//
// Some filling images disturb whatever serves, so they find no room while
// something serves everywhere, though the serving tasks would fit on fewer
// servers. Where such work waits, the servers with the least that serves are
// cleared: their serving tasks move to servers where others serve already, one
// at a time as their jobs allow, and new ones go elsewhere. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SERVERCLEARING_H
#define TULIPWEIR_SRC_JOBS_SERVERCLEARING_H

#include "jobs/ServerBoard.h"
#include "jobs/ServerHealth.h"
#include "jobs/ServerRoom.h"
#include "jobs/TailEffects.h"

#include <map>
#include <string>

namespace tulipweir::jobs {

/// Not thread-safe.
class ServerClearing {
public:
  /// Both must outlive it.
  ServerClearing(const TailEffects &Effects, const ServerHealth &Health)
      : Effects_(Effects), Health_(Health) {}

  // Commands.

  void reset();
  /// Now and then: looks for filling work without room, and chooses servers.
  void plan(const JobBook &Book, const ServerBoard &Board, TimePoint Now);
  /// Whether the serving task, which runs on a server that is being cleared,
  /// finds room where something serves; takes that room.
  bool takeRoom(const JobBook &Book, const TaskKey &Task);

  // Queries.

  /// Whether the server is left to filling work.
  bool isKept(const std::string &ServerId) const {
    return Kept_.count(ServerId) != 0;
  }

private:
  std::int64_t measureStarved(const JobBook &Book, const ServerBoard &Board,
                              TimePoint Now) const;
  bool isUsable(const ServerBoard &Board, const std::string &Id,
                TimePoint Now) const;
  void listTargets(const JobBook &Book, const ServerBoard &Board,
                   TimePoint Now);
  /// The server to which the task could move, by id; empty for none.
  std::string findTarget(const JobBook &Book, const TaskKey &Task,
                         const std::map<std::string, ServerRoom> &Rooms) const;
  bool canBeCleared(const JobBook &Book, const ServerRecord &Server) const;
  void keepOneMore(const JobBook &Book, const ServerBoard &Board,
                   TimePoint Now);

  const TailEffects &Effects_;
  const ServerHealth &Health_;
  std::map<std::string, TimePoint> Kept_; ///< Since when.
  /// Rooms where something serves, as of the last plan, less what was taken.
  std::map<std::string, ServerRoom> Targets_;
  TimePoint NextPlan_{};
  TimePoint NextChoice_{};
  TimePoint StarvedUntil_{}; ///< When work without room was last seen.
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SERVERCLEARING_H
