//===- AnnouncementDigests.h - Batches, read as announcements --*- C++ -*-===//
//
// The leader's memory of whole announcements, by entry process and number. A
// digest is read as the announcement that it stands for, with the digest's own
// sequence, and handled by the very code that handles whole ones: so nothing
// is renewed, commanded or proposed that a whole one would not bring about.
// One object per leadership: a new leader knows no number and asks for whole
// ones.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTDIGESTS_H
#define TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTDIGESTS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/wire/AnnouncementBatch.h"

#include <functional>
#include <map>
#include <utility>

namespace tulipweir::control {

/// Not thread-safe: the leader's strand owns it.
class AnnouncementDigests {
public:
  /// Takes in one whole announcement.
  using Handler = std::function<Outcome<wire::AnnouncementReply>(
      const wire::Announcement &)>;

  /// Handles each announcement of the batch in its order; Now is only used to
  /// forget. Fails with NotLeader as soon as Handle does, with Malformed
  /// before anything was done.
  Outcome<wire::AnnouncementBatchReply>
  onBatch(const wire::AnnouncementBatch &Batch, TimePoint Now,
          const Handler &Handle);

  /// Whole announcements that are remembered.
  std::size_t size() const;

private:
  struct Known {
    wire::Announcement Value_;
    TimePoint SaidAt_;
    TimePoint UsedAt_;
  };
  /// What one entry process has said.
  struct Session {
    std::map<std::uint64_t, Known> ByNumber_;
    std::map<BackendServerId, std::uint64_t> Latest_;
  };

  static wire::Announcement expand(const Known &Stored,
                                   const wire::AnnouncementDigest &Digest,
                                   TimePoint Now);
  static void remember(Session &Of, const wire::NumberedAnnouncement &Full,
                       TimePoint Now);
  void forgetUnused(TimePoint Now);

  std::map<std::pair<EntryId, std::uint64_t>, Session> Sessions_;
  TimePoint SweptAt_{};
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_ANNOUNCEMENTDIGESTS_H
