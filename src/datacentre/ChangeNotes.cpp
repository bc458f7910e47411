//===- ChangeNotes.cpp - Writes down what changed -------------------------===//

#include "datacentre/ChangeNotes.h"

using namespace tulipweir;
using namespace tulipweir::datacentre;

void ChangeNotes::note(const Change &Value) {
  if (Changes_)
    Changes_->push_back(Value);
}

void ChangeNotes::noteServer(ChangeKind Kind, const BackendServerId &Server) {
  Change Value;
  Value.Kind_ = Kind;
  Value.Server_ = Server;
  note(Value);
}

void ChangeNotes::noteJob(ChangeKind Kind, const JobId &Job) {
  Change Value;
  Value.Kind_ = Kind;
  Value.Task_.Job_ = Job;
  note(Value);
}

void ChangeNotes::noteTask(const TaskId &Task, const TaskRecord &Record) {
  Change Value;
  Value.Task_ = Task;
  Value.Attempt_ = Record.Attempt_;
  Value.Kind_ = ChangeKind::TaskEnded;
  if (Record.State_ == TaskState::Waiting) {
    Value.Kind_ = ChangeKind::TaskWaiting;
    Value.Attempt_ = AttemptNumber(Record.Attempt_.value() + 1);
  }
  note(Value);
}

void ChangeNotes::notePlaced(ChangeKind Kind, const TaskId &Task,
                             const TaskRecord &Record) {
  Change Value;
  Value.Kind_ = Kind;
  Value.Server_ = Record.Server_;
  Value.Task_ = Task;
  Value.Attempt_ = Record.Attempt_;
  Value.Reservation_ = Record.Reservation_;
  note(Value);
}

void ChangeNotes::noteEnd(const TaskId &Task, const TaskRecord &Record,
                          AttemptEnd End) {
  Change Value;
  Value.Kind_ = ChangeKind::AttemptEnded;
  Value.Server_ = Record.Server_;
  Value.Task_ = Task;
  Value.Attempt_ = Record.Attempt_;
  Value.End_ = End;
  Value.Reservation_ = Record.Reservation_;
  note(Value);
}
