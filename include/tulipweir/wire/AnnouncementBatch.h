//===- AnnouncementBatch.h - Many heartbeats in one message ----*- C++ -*-===//
//
// What an entry passes on of its backend servers' heartbeats, each batching
// period. An announcement that says the same as one that the leader holds from
// this entry travels as a digest of about two bytes. The reply names only what
// differs from the usual answer. docs/HEARTBEATS.md has the argument.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_ANNOUNCEMENTBATCH_H
#define TULIPWEIR_WIRE_ANNOUNCEMENTBATCH_H

#include "tulipweir/core/Error.h"
#include "tulipweir/wire/Messages.h"

#include <string_view>

namespace tulipweir::wire {

/// A whole announcement. Its number stands for it, and for nothing else, as
/// long as the entry process lives.
struct NumberedAnnouncement {
  std::uint64_t Number_ = 0;
  Announcement Value_;
  bool operator==(const NumberedAnnouncement &) const = default;
};

/// Says the same as the announcement of that number, with a later sequence.
struct AnnouncementDigest {
  std::uint64_t Number_ = 0;
  std::uint64_t Later_ = 0; ///< Sequence beyond that announcement's.
  auto operator<=>(const AnnouncementDigest &) const = default;
};

enum class BatchVerdict : std::uint8_t {
  Differs = 0,  ///< Commands_ and Renewals_ are the answer.
  SendFull = 1, ///< The number is not known: nothing was done.
  Refused = 2,  ///< By an error; nothing was done.
};

/// One announcement that is not answered as usual.
struct BatchException {
  std::uint32_t Position_ = 0; ///< In the batch: whole ones, then digests.
  BatchVerdict Verdict_ = BatchVerdict::Differs;
  std::vector<TaskCommand> Commands_;
  std::vector<LeaseRenewal> Renewals_;
  std::string Error_;   ///< Refused: the error's stable name.
  std::string Message_; ///< Refused: for people.
  bool operator==(const BatchException &) const = default;
};

struct AnnouncementBatchReply {
  std::uint32_t LeaseTtlMs_ = 0;
  std::uint32_t HeartbeatMs_ = 0;
  std::vector<BatchException> Exceptions_;
  bool operator==(const AnnouncementBatchReply &) const = default;
};

struct AnnouncementBatch {
  static constexpr MessageKind Kind = MessageKind::AnnouncementBatch;
  using Reply = AnnouncementBatchReply;

  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  std::vector<NumberedAnnouncement> Full_;
  std::string Digests_; ///< By packDigests.
  bool operator==(const AnnouncementBatch &) const = default;
};

/// Packs digests, sorted by number, as variable-length differences.
std::string packDigests(const std::vector<AnnouncementDigest> &Sorted);

/// Reads what packDigests wrote, or fails with Malformed.
Outcome<std::vector<AnnouncementDigest>> unpackDigests(std::string_view Bytes);

/// The usual answer: every running attempt is renewed, nothing is commanded.
/// Both sides make it by this, so that it need not travel.
AnnouncementReply makeUsualReply(const Announcement &To,
                                 std::uint32_t LeaseTtlMs,
                                 std::uint32_t HeartbeatMs);

/// Whether Now may travel as a digest of Last: only sequence, ages, progress,
/// service reports and usage by up to a half may differ.
bool saysTheSame(const Announcement &Now, const Announcement &Last);

/// Whether services or usage (by over 10%) were measured anew beyond noise:
/// the leader is to hear it within the refresh period.
bool hasNewMeasures(const Announcement &Now, const Announcement &Last);

/// Whether a service became so much slower, or faster again, that the leader
/// is to hear it at once.
bool hasTailMoved(const Announcement &Now, const Announcement &Last);

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_ANNOUNCEMENTBATCH_H
