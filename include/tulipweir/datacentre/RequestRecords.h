//===- RequestRecords.h - Records of non-repeatable requests ----*- C++ -*-===//
//
// Keeps the records that let a non-repeatable request run at most once. They
// are part of the data centre's replicated state and bounded by retention and
// count.
//
// A key that starts with TicketPrefix is a ticket issued by a data centre:
// "ticket:<data centre>.<wall ms of its issue>.<random>". It is refused as
// Expired once its record may have been removed. Any other key is chosen by
// the caller and may run again after its record was removed, which happens
// after the retention period.
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

/// Returns the wall clock time at which the ticket in Key was issued, or
/// nullopt if the key is not a well-formed ticket.
std::optional<std::uint64_t> parseTicketTime(const RequestKey &Key);

struct RecordLimits {
  std::uint64_t RetentionMs_ = 24ULL * 3600 * 1000;
  /// Further records are refused as Unavailable, because removing an old record
  /// early could let its request run twice.
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
  std::uint64_t Nonce_ = 0; ///< Nonce of the caller last told Run.
  std::uint64_t BegunWallMs_ = 0;
  /// Start of the retention period: the latest of begin, deadline and ticket
  /// issue.
  std::uint64_t RetentionStartMs_ = 0;
  std::optional<wire::StoredAnswer> Answer_;
  bool operator==(const RequestRecord &) const = default;
};

/// Deterministic: the current time is the highest WallMs applied so far. A
/// record that is still begun at the end of its retention becomes Unknown and
/// is kept for another retention period. Only ended records are removed, a
/// bounded number per command.
class RequestRecords {
public:
  explicit RequestRecords(const RecordLimits &Limits) : Limits_(Limits) {}

  // Commands.

  /// Returns how the request is to be handled. Fails with Unavailable when the
  /// records are full, and with InvalidArgument for a malformed ticket.
  Outcome<wire::BeginRequestReply> begin(const wire::BeginRequest &Request,
                                         std::uint64_t WallMs);
  /// Returns true if the outcome was recorded now or is already recorded. An
  /// answer over MaxAnswerBytes_ is not kept, and a retry is then told Unknown.
  bool finish(const wire::FinishRequest &Request, std::uint64_t WallMs);
  bool abandon(const wire::AbandonRequest &Request, std::uint64_t WallMs);
  /// Marks all requests that the entry process began as Unknown. Incarnation 0
  /// stands for every incarnation.
  void endEntry(const EntryId &Entry, std::uint64_t Incarnation);

  // Queries.

  const std::map<RequestKey, RequestRecord> &records() const {
    return Records_;
  }
  /// Returns the keys of begun records by entry.
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
