//===- Changes.h - Effects of applied commands ------------------*- C++ -*-===//
//
// A command can change more than it names: a new boot ends attempts, a
// cancellation ends waiting tasks. Changes name every effect, so that a
// listener (the planner, the job tracker) need not compare states.
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
  ServerChanged,      ///< Server_ registered, or its details changed.
  ServerForgotten,    ///< Server_.
  JobAdopted,         ///< Task_.Job_; its waiting tasks follow.
  JobCancelling,      ///< Task_.Job_.
  JobReleasing,       ///< Task_.Job_; its waiting tasks are not placed.
  JobEnded,           ///< Task_.Job_: every task of it ended.
  JobDropped,         ///< Task_.Job_.
  TaskWaiting,        ///< Task_ may be placed; the next attempt is Attempt_.
  TaskPlaced,         ///< Attempt_ on Server_ with Reservation_.
  ReservationChanged, ///< Attempt_ on Server_ to Reservation_.
  AttemptEnded,       ///< Attempt_ on Server_, for the reason End_.
  TaskEnded,          ///< Task_ is finished, failed or cancelled for good.
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
