//===- RequestRecords.h - Records of non-repeatable requests ----*- C++ -*-===//
//
// The records that make a non-repeatable request run at most once. Part of the
// data centre's state; bounded by retention and by count.
//
// A key that starts with TicketPrefix is a ticket of ours:
// "ticket:<data centre>.<wall ms of its issue>.<random>". It is refused as
// Expired once its record may be gone. Any other key is the caller's own and
// may run again once its record was dropped, which is after the retention.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_REQUESTRECORDS_H
#define TULIPWEIR_DATACENTRE_REQUESTRECORDS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"
#include "tulipweir/wire/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace tulipweir::datacentre {

inline constexpr std::string_view TicketPrefix = "ticket:";

/// The wall time at which the ticket in Key was issued; nullopt if the key is
/// not a well-formed ticket.
std::optional<std::uint64_t> parseTicketTime(const RequestKey &Key);

struct RecordLimits {
  std::uint64_t RetentionMs_ = 24ULL * 3600 * 1000;
  /// Beyond this many records, new ones are refused as Unavailable: dropping
  /// an old one early could let a request run twice.
  std::uint64_t MaxRecords_ = 1'000'000;
  std::uint64_t MaxAnswerBytes_ = 65'536;
  bool operator==(const RecordLimits &) const = default;
};

enum class RecordState : std::uint8_t { Begun, Served, Unknown, Abandoned };

struct RequestRecord {
  Digest Digest_;
  RecordState State_ = RecordState::Begun;
  std::uint64_t Attempt_ = 0;
  EntryId Entry_;
  std::uint64_t EntryIncarnation_ = 0;
  std::uint64_t Nonce_ = 0; ///< Of the asker that was told Run last.
  std::uint64_t BegunWallMs_ = 0;
  /// Retention counts from here: the latest of begin, deadline and issue.
  std::uint64_t RetentionStartMs_ = 0;
  std::optional<wire::StoredAnswer> Answer_;
  bool operator==(const RequestRecord &) const = default;
};

/// Deterministic; the time is the highest WallMs applied so far. A record that
/// is still begun when its retention ends becomes Unknown and is kept for one
/// more retention; only ended ones are dropped, a bounded number per command.
class RequestRecords {
public:
  explicit RequestRecords(const RecordLimits &Limits) : Limits_(Limits) {}

  // Commands.

  /// Fails with Unavailable when full; otherwise says how the request stands.
  /// A ticket that is malformed fails with InvalidArgument.
  Outcome<wire::BeginRequestReply> begin(const wire::BeginRequest &Request,
                                         std::uint64_t WallMs);
  /// True if it was recorded now or stands recorded the same already. An
  /// answer over MaxAnswerBytes_ is not kept; a resend is then told Unknown.
  bool finish(const wire::FinishRequest &Request, std::uint64_t WallMs);
  bool abandon(const wire::AbandonRequest &Request, std::uint64_t WallMs);
  /// Turns what that process had begun into Unknown. Incarnation 0: all.
  void endEntry(const EntryId &Entry, std::uint64_t Incarnation);

  // Queries.

  const std::map<RequestKey, RequestRecord> &records() const {
    return Records_;
  }
  /// The keys of begun records, by the entry that holds them.
  const std::map<EntryId, std::set<RequestKey>> &begunByEntry() const {
    return BegunByEntry_;
  }
  std::uint64_t wallMs() const { return WallMs_; }

  std::string encode() const;
  static Outcome<RequestRecords> decode(std::string_view Bytes,
                                        const RecordLimits &Limits);
  bool operator==(const RequestRecords &) const = default;

private:
  using RecordMap = std::map<RequestKey, RequestRecord>;

  void advanceClock(std::uint64_t WallMs);
  void expireRecord(const RequestKey &Key);
  void index(const RequestKey &Key, const RequestRecord &Record);
  void unindexBegun(const RequestKey &Key, const RequestRecord &Record);
  RequestRecord *findAttempt(const RequestKey &Key, std::uint64_t Attempt);

  RecordLimits Limits_;
  std::uint64_t WallMs_ = 0;
  RecordMap Records_;
  std::set<std::pair<std::uint64_t, RequestKey>> ByRetentionStart_;
  std::map<EntryId, std::set<RequestKey>> BegunByEntry_;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_REQUESTRECORDS_H
