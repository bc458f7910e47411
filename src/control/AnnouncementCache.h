//===- AnnouncementCache.h - Expands announcement batches ------*- C++ -*-===//
//
// Caches full announcements at the leader by entry process and number. A
// digest is expanded into the announcement that it refers to, with the
// digest's own sequence number, and handled by the same code as a full one. So
// it renews, commands and proposes nothing that the full announcement would
// not. Each leadership has its own cache: a new leader knows no numbers and
// requests full announcements.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCACHE_H
#define TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCACHE_H

#include "tulipweir/core/Time.h"
#include "tulipweir/wire/AnnouncementBatch.h"

#include <functional>
#include <map>
#include <utility>

namespace tulipweir::control {

/// Not thread-safe; used on the leader's strand only.
class AnnouncementCache {
public:
  /// Handles one full announcement.
  using Handler = std::function<Outcome<wire::AnnouncementReply>(
      const wire::Announcement &)>;

  /// Handles the announcements of the batch in order. Now is used for eviction
  /// only. Returns NotLeader as soon as Handle does, and Malformed before any
  /// announcement is handled.
  Outcome<wire::AnnouncementBatchReply>
  onBatch(const wire::AnnouncementBatch &Batch, TimePoint Now,
          const Handler &Handle);

  /// Returns the number of cached announcements.
  std::size_t size() const;

private:
  struct CachedAnnouncement {
    wire::Announcement Value_;
    TimePoint ReceivedAt_;
    TimePoint UsedAt_;
  };
  /// The announcements of one entry process.
  struct Session {
    std::map<std::uint64_t, CachedAnnouncement> ByNumber_;
    std::map<BackendServerId, std::uint64_t> Latest_;
  };

  static wire::Announcement expand(const CachedAnnouncement &Stored,
                                   const wire::AnnouncementDigest &Digest,
                                   TimePoint Now);
  static void store(Session &EntrySession,
                    const wire::NumberedAnnouncement &Numbered, TimePoint Now);
  void evictUnused(TimePoint Now);

  std::map<std::pair<EntryId, std::uint64_t>, Session> Sessions_;
  TimePoint LastEvictionAt_{};
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTCACHE_H
