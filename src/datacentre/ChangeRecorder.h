//===- ChangeRecorder.h - Records the effects of commands -------*- C++ -*-===//
//
// Makes the Changes of single effects and appends them to a list, if any.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_CHANGERECORDER_H
#define TULIPWEIR_SRC_DATACENTRE_CHANGERECORDER_H

#include "tulipweir/datacentre/Changes.h"
#include "tulipweir/datacentre/DataCentreState.h"

#include <vector>

namespace tulipweir::datacentre {

class ChangeRecorder {
public:
  /// Changes may be null: then nothing is written down.
  explicit ChangeRecorder(std::vector<Change> *Changes) : Changes_(Changes) {}

  void recordServer(ChangeKind Kind, const BackendServerId &Server);
  void recordJob(ChangeKind Kind, const JobId &Job);
  /// The task is waiting now, or ended for good.
  void recordTask(const TaskId &Task, const TaskRecord &Record);
  /// The task's place, or its reservation there, is new.
  void recordPlacement(ChangeKind Kind, const TaskId &Task,
                       const TaskRecord &Record);
  /// The placed attempt that Record still shows ended.
  void recordAttemptEnd(const TaskId &Task, const TaskRecord &Record,
                        AttemptEnd End);

private:
  void record(const Change &NewChange);

  std::vector<Change> *Changes_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_SRC_DATACENTRE_CHANGERECORDER_H
