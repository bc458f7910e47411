//===- StandInJson.h - The announcement as the stand-in says it -*- C++ -*-===//
//
// The JSON of POST /v1/announce from the backend server's side. On purpose it
// shares no code with entry/AnnouncementJson: a field that one side misnames is
// then refused by the other, which two uses of one function would hide. That
// makes it repeat the names of the fields, as any backend server does.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_STANDINJSON_H
#define TULIPWEIR_TOOLS_STANDIN_STANDINJSON_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

#include <string>

namespace tulipweir::standin {

const char *getStateName(wire::AttemptState State);
std::string writeAnnouncement(const wire::Announcement &Value);
/// Fails with Malformed when a field is missing or of another type.
Outcome<wire::AnnouncementReply> readReply(const std::string &Text);

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_STANDINJSON_H
