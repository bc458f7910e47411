//===- CommandApplier.h - Applies one command to the state -----*- C++ -*-===//
//
// One member function per command; each checks first and changes then, so that
// a refused command changes nothing.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H
#define TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H

#include "datacentre/ChangeNotes.h"
#include "tulipweir/datacentre/DataCentreState.h"

namespace tulipweir::datacentre {

class CommandApplier {
public:
  /// Changes may be null.
  CommandApplier(DataCentreState &State, FencingToken Token,
                 std::vector<Change> *Changes)
      : State_(State), Token_(Token), Notes_(Changes) {}

  CommandResult apply(const RegisterServer &Value);
  CommandResult apply(const ForgetServer &Value);
  CommandResult apply(const AdoptJob &Value);
  CommandResult apply(const PlaceTask &Value);
  CommandResult apply(const ChangeReservation &Value);
  CommandResult apply(const EndAttempt &Value);
  CommandResult apply(const CancelJob &Value);
  CommandResult apply(const DropJob &Value);
  CommandResult apply(const BeginRecord &Value);
  CommandResult apply(const FinishRecord &Value);
  CommandResult apply(const AbandonRecord &Value);
  CommandResult apply(const EndEntry &Value);
  CommandResult apply(const ReleaseJob &Value);

private:
  JobRecord *findJob(const JobId &Job);
  TaskRecord *findTask(const TaskId &Task);
  /// The task while just this attempt of it is placed; else nullptr with the
  /// Refusal, which says Otherwise of the attempt.
  TaskRecord *findPlaced(const TaskId &Id, const AttemptNumber &Attempt,
                         const char *Otherwise, CommandResult &Refusal);
  std::string findPlacementProblem(const PlaceTask &Value, ErrorCode &Code);
  void endPlaced(const EndAttempt &Value, TaskRecord &Task);
  void setTaskState(const TaskId &Id, TaskRecord &Task, TaskState State);
  void rememberDropped(const JobId &Job, std::uint64_t Assignment);

  DataCentreState &State_;
  FencingToken Token_;
  ChangeNotes Notes_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H
