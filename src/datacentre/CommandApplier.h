//===- CommandApplier.h - Applies one command to the state ------*- C++ -*-===//
//
// Has one member function per command. Each checks all conditions before it
// changes anything, so that a refused command changes nothing.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H
#define TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H

#include "datacentre/ChangeRecorder.h"
#include "tulipweir/datacentre/DataCentreState.h"

namespace tulipweir::datacentre {

class CommandApplier {
public:
  /// Changes may be null.
  CommandApplier(DataCentreState &State, FencingToken Token,
                 std::vector<Change> *Changes)
      : State_(State), Token_(Token), Recorder_(Changes) {}

  CommandResult apply(const RegisterServer &Cmd);
  CommandResult apply(const ForgetServer &Cmd);
  CommandResult apply(const AdoptJob &Cmd);
  CommandResult apply(const PlaceTask &Cmd);
  CommandResult apply(const ChangeReservation &Cmd);
  CommandResult apply(const EndAttempt &Cmd);
  CommandResult apply(const CancelJob &Cmd);
  CommandResult apply(const DropJob &Cmd);
  CommandResult apply(const BeginRecord &Cmd);
  CommandResult apply(const FinishRecord &Cmd);
  CommandResult apply(const AbandonRecord &Cmd);
  CommandResult apply(const EndEntry &Cmd);
  CommandResult apply(const ReleaseJob &Cmd);

private:
  JobRecord *findJob(const JobId &Job);
  TaskRecord *findTask(const TaskId &Task);
  /// Returns the task if exactly this attempt of it is placed. Otherwise
  /// returns nullptr and sets Refusal, with Reason as the text about the
  /// attempt.
  TaskRecord *findPlacedTask(const TaskId &Id, const AttemptNumber &Attempt,
                             const char *Reason, CommandResult &Refusal);
  std::string findPlacementProblem(const PlaceTask &Cmd, ErrorCode &Code);
  void endPlacedAttempt(const EndAttempt &Cmd, TaskRecord &Task);
  void setTaskState(const TaskId &Id, TaskRecord &Task, TaskState State);
  void recordDroppedJob(const JobId &Job, std::uint64_t Assignment);

  DataCentreState &State_;
  FencingToken Token_;
  ChangeRecorder Recorder_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_SRC_DATACENTRE_COMMANDAPPLIER_H
