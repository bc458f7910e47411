//===- ChangeNotes.h - Writes down what changed ----------------*- C++ -*-===//
//
// Makes the Changes of single effects and appends them to a list, if any.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_CHANGENOTES_H
#define TULIPWEIR_SRC_DATACENTRE_CHANGENOTES_H

#include "tulipweir/datacentre/Changes.h"
#include "tulipweir/datacentre/DataCentreState.h"

#include <vector>

namespace tulipweir::datacentre {

class ChangeNotes {
public:
  /// Changes may be null: then nothing is written down.
  explicit ChangeNotes(std::vector<Change> *Changes) : Changes_(Changes) {}

  void noteServer(ChangeKind Kind, const BackendServerId &Server);
  void noteJob(ChangeKind Kind, const JobId &Job);
  /// The task is waiting now, or ended for good.
  void noteTask(const TaskId &Task, const TaskRecord &Record);
  /// The task's place, or its reservation there, is new.
  void notePlaced(ChangeKind Kind, const TaskId &Task,
                  const TaskRecord &Record);
  /// The placed attempt that Record still shows ended.
  void noteEnd(const TaskId &Task, const TaskRecord &Record, AttemptEnd End);

private:
  void note(const Change &Value);

  std::vector<Change> *Changes_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_SRC_DATACENTRE_CHANGENOTES_H
