//===- CapacitySurvey.h - Where there is room, over all servers ----*- C++ -*-===//
//
// A plan is made for one server at a time; whether a task would do better
// elsewhere is known from the last survey of all of them, some twenty a second.
// Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H
#define TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H

#include "jobs/ReadyTimes.h"
#include "jobs/ServerBoard.h"
#include "jobs/ServerHealth.h"
#include "jobs/RemainingCapacity.h"
#include "jobs/ServingLoads.h"
#include "jobs/InterferenceModel.h"
#include "jobs/TailHeadroom.h"

#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// Not thread-safe.
class RoomSurvey {
public:
  /// Both must outlive it.
  RoomSurvey(const TailEffects &Effects, const ServingLoads &Loads,
             const ServerHealth &Health)
      : Effects_(Effects), Loads_(Loads), Health_(Health) {}

  // Commands.

  void take(const JobBook &Book, const ServerBoard &Board, ReadyTimes &Waits,
            TimePoint Now);
  /// Takes idle processors where the step's filling image disturbs nothing, if
  /// there are enough. Images are surveyed once they were asked about.
  bool takeSafeRoom(const StepSpec &Step);

  // Queries, all as of the last survey.

  /// Whether so many tasks that need so much fit where only their image serves.
  bool hasRoomAmongEquals(const std::string &Image, const Resources &Need,
                          std::uint64_t Tasks) const;
  /// Whether one fits where nothing serves.
  bool hasRoomAlone(const Resources &Need) const;
  /// What is kept on the server for a task that lasts; nullptr for nothing.
  const Resources *findHeld(const std::string &ServerId) const;
  bool isAnyLastingWaiting() const { return AnyLastingWaits_; }
  /// Whether most of the processors are not reserved.
  bool isRoomy() const { return IsRoomy_; }

private:
  /// A server that takes starts; of the book.
  struct Usable {
    const ServerRecord *Server_;
    bool IsSound_;
  };
  std::vector<Usable> surveyServers(const JobBook &Book,
                                    const ServerBoard &Board, TimePoint Now);
  void surveyMoving(const JobBook &Book, const std::vector<Usable> &Servers);
  void holdRoom(const JobBook &Book, std::vector<Usable> Servers,
                ReadyTimes &Waits, TimePoint Now);

  const TailEffects &Effects_;
  const ServingLoads &Loads_;
  const ServerHealth &Health_;

  /// By filling image, room on servers that would bear one more of its tasks,
  /// thousandths of processors; for the images that were asked about lately.
  std::map<std::string, std::int64_t> SafeRoom_;
  /// These, with the most that one of their tasks needs.
  std::map<std::string, std::int64_t> MovingImages_;
  TimePoint NextMoving_{};
  /// What is free where only that image serves, and where none does, of servers
  /// that may start something.
  std::map<std::string, std::vector<Resources>> FreeAmongEquals_;
  std::vector<Resources> FreeAlone_;
  /// By server, what is kept there for a task that lasts and has waited long.
  std::map<std::string, Resources> Held_;
  bool AnyLastingWaits_ = false;
  bool IsRoomy_ = false;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_CAPACITYSURVEY_H
