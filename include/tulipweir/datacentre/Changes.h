//===- Changes.h - Effects of applied commands ------------------*- C++ -*-===//
//
// A command can change more than it names: a new boot ends attempts, and a
// cancellation ends waiting tasks. A Change describes one effect, so that
// listeners such as the planner and the job tracker need not compare states.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_CHANGES_H
#define TULIPWEIR_DATACENTRE_CHANGES_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Resources.h"
#include "tulipweir/datacentre/Commands.h"

#include <cstdint>

namespace tulipweir::datacentre {

enum class ChangeKind : std::uint8_t {
  ServerChanged,      ///< Server_ was registered or changed.
  ServerForgotten,    ///< Server_ was removed.
  JobAdopted,         ///< Task_.Job_; TaskWaiting follows.
  JobCancelling,      ///< Task_.Job_.
  JobReleasing,       ///< Task_.Job_ places no more tasks.
  JobEnded,           ///< All tasks of Task_.Job_ ended.
  JobDropped,         ///< Task_.Job_.
  TaskWaiting,        ///< Attempt_ of Task_ is the next one.
  TaskPlaced,         ///< Attempt_ holds Reservation_.
  ReservationChanged, ///< Attempt_ now holds Reservation_.
  AttemptEnded,       ///< Attempt_ ended with End_.
  TaskEnded,          ///< Task_ will not run again.
};

struct Change {
  ChangeKind Kind_ = ChangeKind::ServerChanged;
  BackendServerId Server_;
  TaskId Task_;
  AttemptNumber Attempt_;
  AttemptEnd End_ = AttemptEnd::Finished;
  Resources Reservation_;
  bool operator==(const Change &) const = default;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_CHANGES_H
