//===- AnnouncementJson.h - JSON encoding of announcements -----*- C++ -*-===//
//
// Parses and renders the JSON that backend servers and entries exchange at
// /v1/announce. The fields are those of wire::Announcement in lowerCamel.
// Parsing is strict: a field of the wrong type, an unknown field or a size
// above AnnouncementLimits fails with an error that contains the path of the
// field.
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

/// Size limits of an announcement. They are far above the needs of any real
/// backend server and keep a faulty server from flooding the control processes
/// with data.
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

/// Parses the body of a POST to /v1/announce. Fails with Malformed if the body
/// is not JSON, InvalidArgument if a field is missing, unknown or of the wrong
/// type, and TooLarge if a size is above the limits.
Outcome<wire::Announcement> parseAnnouncement(std::string_view Text);
std::string renderAnnouncement(const wire::Announcement &Announcement);

/// Parses the reply to an announcement. Fails like parseAnnouncement.
Outcome<wire::AnnouncementReply> parseAnnouncementReply(std::string_view Text);
std::string renderAnnouncementReply(const wire::AnnouncementReply &Reply);

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ANNOUNCEMENTJSON_H
