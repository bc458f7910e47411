//===- RequestRecords.cpp - Records of non-repeatable requests ------------===//

#include "tulipweir/datacentre/RequestRecords.h"
#include "datacentre/Fields.h"

#include <algorithm>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::RequestDisposition;

/// Bounds the work of the first command after a long idle time.
static constexpr int MaxExpiredPerCommand = 64;

static wire::BeginRequestReply makeReply(RequestDisposition Disposition,
                                         std::uint64_t Attempt) {
  return wire::BeginRequestReply{Disposition, Attempt, std::nullopt};
}

/// Returns the reply to a request whose record is begun, served or unknown.
static wire::BeginRequestReply describeRecord(const RequestRecord &Record) {
  if (Record.State_ == RecordState::Begun)
    return makeReply(RequestDisposition::Running, Record.Attempt_);
  if (Record.State_ != RecordState::Served || !Record.Answer_)
    return makeReply(RequestDisposition::Unknown, Record.Attempt_);
  wire::BeginRequestReply Reply =
      makeReply(RequestDisposition::Replay, Record.Attempt_);
  Reply.Answer_ = Record.Answer_;
  return Reply;
}

std::optional<std::uint64_t>
tulipweir::datacentre::parseTicketTime(const RequestKey &Key) {
  std::string_view Text = Key.value();
  if (!Text.starts_with(TicketPrefix))
    return std::nullopt;
  const std::size_t Last = Text.rfind('.');
  if (Last == std::string_view::npos || Last + 1 == Text.size())
    return std::nullopt;
  Text = Text.substr(0, Last);
  const std::size_t First = Text.rfind('.');
  if (First == std::string_view::npos || First + 1 == Text.size())
    return std::nullopt;
  std::uint64_t Time = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data() + First + 1, End, Time);
  if (Code != std::errc() || Stop != End)
    return std::nullopt;
  return Time;
}

/// Returns whether Request is a retry by the same caller that the record
/// belongs to.
static bool isRetry(const RequestRecord &Record,
                    const wire::BeginRequest &Request) {
  return Request.Nonce_ != 0 && Record.Nonce_ == Request.Nonce_ &&
         Record.Entry_ == Request.Entry_ &&
         Record.EntryIncarnation_ == Request.EntryIncarnation_;
}

Outcome<wire::BeginRequestReply>
RequestRecords::begin(const wire::BeginRequest &Request, std::uint64_t WallMs) {
  advanceClock(WallMs);
  std::uint64_t IssuedMs = 0;
  if (Request.Key_.value().starts_with(TicketPrefix)) {
    const auto Time = parseTicketTime(Request.Key_);
    if (!Time || *Time > WallMs_ + Limits_.RetentionMs_)
      return fail(
          ErrorCode::InvalidArgument,
          "malformed ticket, or its issue time is too far in the future: " +
              Request.Key_.value());
    IssuedMs = *Time;
  }
  const auto It = Records_.find(Request.Key_);
  if (It == Records_.end()) {
    if (IssuedMs != 0 && IssuedMs + Limits_.RetentionMs_ < WallMs_)
      return makeReply(RequestDisposition::Expired, 0);
    if (Records_.size() >= Limits_.MaxRecords_)
      return fail(ErrorCode::Unavailable,
                  "all " + std::to_string(Limits_.MaxRecords_) +
                      " records of non-repeatable requests are in use");
  } else {
    if (It->second.Digest_ != Request.Digest_)
      return makeReply(RequestDisposition::Conflict, It->second.Attempt_);
    const bool SameCaller = isRetry(It->second, Request);
    if (SameCaller && It->second.State_ == RecordState::Begun)
      return makeReply(RequestDisposition::Run, It->second.Attempt_);
    // The caller abandoned this attempt, so a delayed copy of its request must
    // not begin a new one.
    if (SameCaller && It->second.State_ == RecordState::Abandoned)
      return makeReply(RequestDisposition::Unknown, It->second.Attempt_);
    if (It->second.State_ != RecordState::Abandoned)
      return describeRecord(It->second);
    ByRetentionStart_.erase({It->second.RetentionStartMs_, Request.Key_});
  }
  RequestRecord &Record = Records_[Request.Key_];
  Record.Digest_ = Request.Digest_;
  Record.State_ = RecordState::Begun;
  ++Record.Attempt_;
  Record.Entry_ = Request.Entry_;
  Record.EntryIncarnation_ = Request.EntryIncarnation_;
  Record.Nonce_ = Request.Nonce_;
  Record.BegunWallMs_ = WallMs_;
  const std::uint64_t DeadlineMs =
      std::min(Request.DeadlineWallMs_, WallMs_ + Limits_.RetentionMs_);
  Record.RetentionStartMs_ = std::max({WallMs_, DeadlineMs, IssuedMs});
  index(Request.Key_, Record);
  return makeReply(RequestDisposition::Run, Record.Attempt_);
}

bool RequestRecords::finish(const wire::FinishRequest &Request,
                            std::uint64_t WallMs) {
  advanceClock(WallMs);
  RequestRecord *Record = findAttempt(Request.Key_, Request.Attempt_);
  if (!Record || Record->State_ == RecordState::Abandoned)
    return false;
  const bool Keep =
      Request.Answer_ &&
      Request.Answer_->Body_.size() + Request.Answer_->ContentType_.size() <=
          Limits_.MaxAnswerBytes_;
  if (Record->State_ == RecordState::Served)
    return Request.Answer_ &&
           (Keep ? Record->Answer_ == Request.Answer_ : !Record->Answer_);
  if (Record->State_ == RecordState::Begun)
    unindexBegun(Request.Key_, *Record);
  Record->State_ = Request.Answer_ ? RecordState::Served : RecordState::Unknown;
  if (Keep)
    Record->Answer_ = Request.Answer_;
  return true;
}

bool RequestRecords::abandon(const wire::AbandonRequest &Request,
                             std::uint64_t WallMs) {
  advanceClock(WallMs);
  RequestRecord *Record = findAttempt(Request.Key_, Request.Attempt_);
  if (!Record)
    return false;
  if (Record->State_ == RecordState::Abandoned)
    return true;
  // An Unknown record stays unchanged, because part of its request may have
  // been sent.
  if (Record->State_ != RecordState::Begun)
    return false;
  unindexBegun(Request.Key_, *Record);
  Record->State_ = RecordState::Abandoned;
  return true;
}

void RequestRecords::endEntry(const EntryId &Entry, std::uint64_t Incarnation) {
  const auto It = BegunByEntry_.find(Entry);
  if (It == BegunByEntry_.end())
    return;
  std::set<RequestKey> &Keys = It->second;
  for (auto KeyIt = Keys.begin(); KeyIt != Keys.end();) {
    RequestRecord &Record = Records_.at(*KeyIt);
    const bool Ends =
        Incarnation == 0 || Record.EntryIncarnation_ == Incarnation;
    if (Ends)
      Record.State_ = RecordState::Unknown;
    KeyIt = Ends ? Keys.erase(KeyIt) : std::next(KeyIt);
  }
  if (Keys.empty())
    BegunByEntry_.erase(It);
}

void RequestRecords::advanceClock(std::uint64_t WallMs) {
  WallMs_ = std::max(WallMs_, WallMs);
  for (int I = 0; I < MaxExpiredPerCommand && !ByRetentionStart_.empty(); ++I) {
    const auto Oldest = ByRetentionStart_.begin();
    if (Oldest->first + Limits_.RetentionMs_ >= WallMs_)
      return;
    const RequestKey Key = Oldest->second;
    ByRetentionStart_.erase(Oldest);
    expireRecord(Key);
  }
}

void RequestRecords::expireRecord(const RequestKey &Key) {
  RequestRecord &Record = Records_.at(Key);
  if (Record.State_ != RecordState::Begun) {
    Records_.erase(Key);
    return;
  }
  unindexBegun(Key, Record);
  Record.State_ = RecordState::Unknown;
  Record.RetentionStartMs_ = WallMs_;
  index(Key, Record);
}

void RequestRecords::index(const RequestKey &Key, const RequestRecord &Record) {
  ByRetentionStart_.emplace(Record.RetentionStartMs_, Key);
  if (Record.State_ == RecordState::Begun)
    BegunByEntry_[Record.Entry_].insert(Key);
}

void RequestRecords::unindexBegun(const RequestKey &Key,
                                  const RequestRecord &Record) {
  const auto It = BegunByEntry_.find(Record.Entry_);
  assert(It != BegunByEntry_.end() && "a begun record must be indexed");
  It->second.erase(Key);
  if (It->second.empty())
    BegunByEntry_.erase(It);
}

RequestRecord *RequestRecords::findAttempt(const RequestKey &Key,
                                           std::uint64_t Attempt) {
  const auto It = Records_.find(Key);
  if (It == Records_.end() || It->second.Attempt_ != Attempt)
    return nullptr;
  return &It->second;
}

std::string RequestRecords::encode() const {
  pack::Writer Out;
  Out.write(WallMs_);
  Out.write(static_cast<std::uint64_t>(Records_.size()));
  for (const auto &[Key, Record] : Records_) {
    Out.write(Key);
    Out.write(Record);
  }
  return Out.take();
}

Outcome<RequestRecords> RequestRecords::decode(std::string_view Bytes,
                                               const RecordLimits &Limits) {
  try {
    RequestRecords Result(Limits);
    pack::Stream In(Bytes);
    Result.WallMs_ = In.next<std::uint64_t>();
    const auto Count = In.next<std::uint64_t>();
    for (std::uint64_t I = 0; I < Count; ++I) {
      auto Key = In.next<RequestKey>();
      auto Record = In.next<RequestRecord>();
      Result.index(Key, Record);
      Result.Records_.emplace_hint(Result.Records_.end(), std::move(Key),
                                   std::move(Record));
    }
    In.expectEnd();
    if (Result.Records_.size() != Count)
      return fail(ErrorCode::Malformed, "records: duplicate request key");
    return Result;
  } catch (const std::exception &Exception) {
    return fail(ErrorCode::Malformed,
                std::string("records: ") + Exception.what());
  }
}
