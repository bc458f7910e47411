//===- AnnouncementCheck.h - Limits on what servers announce ---*- C++ -*-===//
//
// A backend server's announcement comes from outside: absurd sizes and foreign
// data centres are refused before anything is kept of them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H
#define TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

namespace tulipweir::control {

/// Fails with InvalidArgument, saying what is wrong and what is allowed.
Outcome<void> checkAnnouncement(const wire::Announcement &Value,
                                const DataCentreId &DataCentre);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H
