//===- AnnouncementCheck.h - Validation of announcements -------*- C++ -*-===//
//
// Announcements come from outside the fleet's own processes: those with
// implausible sizes or of another data centre are rejected before any of their
// content is stored.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H
#define TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

namespace tulipweir::control {

/// Returns InvalidArgument with the violated limit if the announcement is
/// invalid.
Outcome<void> checkAnnouncement(const wire::Announcement &Announced,
                                const DataCentreId &DataCentre);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCHECK_H
