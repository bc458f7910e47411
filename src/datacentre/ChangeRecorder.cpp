//===- ChangeRecorder.cpp - Records the effects of commands ---------------===//

#include "datacentre/ChangeRecorder.h"

using namespace tulipweir;
using namespace tulipweir::datacentre;

void ChangeRecorder::record(const Change &NewChange) {
  if (Changes_)
    Changes_->push_back(NewChange);
}

void ChangeRecorder::recordServer(ChangeKind Kind,
                                  const BackendServerId &Server) {
  Change NewChange;
  NewChange.Kind_ = Kind;
  NewChange.Server_ = Server;
  record(NewChange);
}

void ChangeRecorder::recordJob(ChangeKind Kind, const JobId &Job) {
  Change NewChange;
  NewChange.Kind_ = Kind;
  NewChange.Task_.Job_ = Job;
  record(NewChange);
}

void ChangeRecorder::recordTask(const TaskId &Task, const TaskRecord &Record) {
  Change NewChange;
  NewChange.Task_ = Task;
  NewChange.Attempt_ = Record.Attempt_;
  NewChange.Kind_ = ChangeKind::TaskEnded;
  if (Record.State_ == TaskState::Waiting) {
    NewChange.Kind_ = ChangeKind::TaskWaiting;
    NewChange.Attempt_ = AttemptNumber(Record.Attempt_.value() + 1);
  }
  record(NewChange);
}

void ChangeRecorder::recordPlacement(ChangeKind Kind, const TaskId &Task,
                                     const TaskRecord &Record) {
  Change NewChange;
  NewChange.Kind_ = Kind;
  NewChange.Server_ = Record.Server_;
  NewChange.Task_ = Task;
  NewChange.Attempt_ = Record.Attempt_;
  NewChange.Reservation_ = Record.Reservation_;
  record(NewChange);
}

void ChangeRecorder::recordAttemptEnd(const TaskId &Task,
                                      const TaskRecord &Record,
                                      AttemptEnd End) {
  Change NewChange;
  NewChange.Kind_ = ChangeKind::AttemptEnded;
  NewChange.Server_ = Record.Server_;
  NewChange.Task_ = Task;
  NewChange.Attempt_ = Record.Attempt_;
  NewChange.End_ = End;
  NewChange.Reservation_ = Record.Reservation_;
  record(NewChange);
}
