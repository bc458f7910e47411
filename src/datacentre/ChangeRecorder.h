//===- ChangeRecorder.h - Records the effects of commands -------*- C++ -*-===//
//
// Creates the Change of each effect of a command and appends it to a list, if
// there is one.
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
  /// Changes may be null; then nothing is recorded.
  explicit ChangeRecorder(std::vector<Change> *Changes) : Changes_(Changes) {}

  void recordServer(ChangeKind Kind, const BackendServerId &Server);
  void recordJob(ChangeKind Kind, const JobId &Job);
  /// Records that the task waits for its next attempt or has ended.
  void recordTask(const TaskId &Task, const TaskRecord &Record);
  /// Records a new placement of the task or a new reservation of it.
  void recordPlacement(ChangeKind Kind, const TaskId &Task,
                       const TaskRecord &Record);
  /// Records the end of an attempt. Record still holds its placement.
  void recordAttemptEnd(const TaskId &Task, const TaskRecord &Record,
                        AttemptEnd End);

private:
  void record(const Change &NewChange);

  std::vector<Change> *Changes_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_SRC_DATACENTRE_CHANGERECORDER_H
