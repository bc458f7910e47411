//===- AnnouncementJson.h - Announcements as JSON --------------*- C++ -*-===//
//
// The JSON that backend servers and entries exchange at /v1/announce. Fields
// are those of wire::Announcement in lowerCamel. Reading is strict: a field of
// the wrong type, an unknown field or a size beyond AnnouncementLimits is an
// error that names its place.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ANNOUNCEMENTJSON_H
#define TULIPWEIR_ENTRY_ANNOUNCEMENTJSON_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::entry {

/// What an announcement may hold at most. Beyond any real backend server, so
/// that a broken one cannot make the control processes carry its garbage.
struct AnnouncementLimits {
  static constexpr std::size_t MaxNameBytes = 128;
  static constexpr std::size_t MaxTextBytes = 65'536;
  static constexpr std::size_t MaxAttempts = 1'000;
  static constexpr std::size_t MaxServices = 256;
  static constexpr std::uint64_t MaxSlots = 1'000'000;
  static constexpr std::int64_t MaxMilliCpus = 10'000'000;
  static constexpr std::int64_t MaxMemoryMib = 1'000'000'000;
  static constexpr std::int64_t MaxAccelerators = 10'000;
};

/// Reads the body of a POST to /v1/announce. Fails with Malformed (no JSON),
/// InvalidArgument (a field is missing, unknown, or of the wrong type) or
/// TooLarge (a size beyond the limits).
Outcome<wire::Announcement> parseAnnouncement(std::string_view Text);
std::string renderAnnouncement(const wire::Announcement &Value);

/// Reads the answer to it; fails as parseAnnouncement does.
Outcome<wire::AnnouncementReply> parseAnnouncementReply(std::string_view Text);
std::string renderAnnouncementReply(const wire::AnnouncementReply &Value);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ANNOUNCEMENTJSON_H
