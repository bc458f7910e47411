//===- RequestRecords.cpp - Non-repeatable requests, once each ------------===//

#include "tulipweir/datacentre/RequestRecords.h"
#include "datacentre/Fields.h"

#include <algorithm>
#include <charconv>

using namespace tulipweir;
using namespace tulipweir::datacentre;
using wire::RequestDisposition;

/// Bounds the work of one command after a long silence.
static constexpr int MaxRetiredPerCommand = 64;

static wire::BeginRequestReply makeReply(RequestDisposition Disposition,
                                         std::uint64_t Attempt) {
  return wire::BeginRequestReply{Disposition, Attempt, std::nullopt};
}

/// How a request with a record in an ended or running state stands.
static wire::BeginRequestReply describe(const RequestRecord &Record) {
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

/// Whether Request is sent again by the asker that holds or held the record.
static bool isAskedAgain(const RequestRecord &Record,
                         const wire::BeginRequest &Request) {
  return Request.Nonce_ != 0 && Record.Nonce_ == Request.Nonce_ &&
         Record.Entry_ == Request.Entry_ &&
         Record.EntryIncarnation_ == Request.EntryIncarnation_;
}

Outcome<wire::BeginRequestReply>
RequestRecords::begin(const wire::BeginRequest &Request, std::uint64_t WallMs) {
  advance(WallMs);
  std::uint64_t IssuedMs = 0;
  if (Request.Key_.value().starts_with(TicketPrefix)) {
    const auto Time = parseTicketTime(Request.Key_);
    if (!Time || *Time > WallMs_ + Limits_.RetentionMs_)
      return fail(ErrorCode::InvalidArgument,
                  "not a ticket that was issued here: " + Request.Key_.value());
    IssuedMs = *Time;
  }
  const auto Found = Records_.find(Request.Key_);
  if (Found == Records_.end()) {
    if (IssuedMs != 0 && IssuedMs + Limits_.RetentionMs_ < WallMs_)
      return makeReply(RequestDisposition::Expired, 0);
    if (Records_.size() >= Limits_.MaxRecords_)
      return fail(ErrorCode::Unavailable,
                  "all " + std::to_string(Limits_.MaxRecords_) +
                      " records of non-repeatable requests are in use");
  } else {
    if (Found->second.Digest_ != Request.Digest_)
      return makeReply(RequestDisposition::Conflict, Found->second.Attempt_);
    const bool Again = isAskedAgain(Found->second, Request);
    if (Again && Found->second.State_ == RecordState::Begun)
      return makeReply(RequestDisposition::Run, Found->second.Attempt_);
    // The asker gave it back: a late copy of its question begins nothing.
    if (Again && Found->second.State_ == RecordState::Abandoned)
      return makeReply(RequestDisposition::Unknown, Found->second.Attempt_);
    if (Found->second.State_ != RecordState::Abandoned)
      return describe(Found->second);
    ByKeptFrom_.erase({Found->second.KeptFromMs_, Request.Key_});
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
  Record.KeptFromMs_ = std::max({WallMs_, DeadlineMs, IssuedMs});
  index(Request.Key_, Record);
  return makeReply(RequestDisposition::Run, Record.Attempt_);
}

bool RequestRecords::finish(const wire::FinishRequest &Request,
                            std::uint64_t WallMs) {
  advance(WallMs);
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
  advance(WallMs);
  RequestRecord *Record = findAttempt(Request.Key_, Request.Attempt_);
  if (!Record)
    return false;
  if (Record->State_ == RecordState::Abandoned)
    return true;
  // An Unknown one stays so: some of its bytes may have been sent.
  if (Record->State_ != RecordState::Begun)
    return false;
  unindexBegun(Request.Key_, *Record);
  Record->State_ = RecordState::Abandoned;
  return true;
}

void RequestRecords::endEntry(const EntryId &Entry, std::uint64_t Incarnation) {
  const auto Found = BegunByEntry_.find(Entry);
  if (Found == BegunByEntry_.end())
    return;
  std::set<RequestKey> &Keys = Found->second;
  for (auto At = Keys.begin(); At != Keys.end();) {
    RequestRecord &Record = Records_.at(*At);
    const bool Ends =
        Incarnation == 0 || Record.EntryIncarnation_ == Incarnation;
    if (Ends)
      Record.State_ = RecordState::Unknown;
    At = Ends ? Keys.erase(At) : std::next(At);
  }
  if (Keys.empty())
    BegunByEntry_.erase(Found);
}

void RequestRecords::advance(std::uint64_t WallMs) {
  WallMs_ = std::max(WallMs_, WallMs);
  for (int I = 0; I < MaxRetiredPerCommand && !ByKeptFrom_.empty(); ++I) {
    const auto Oldest = ByKeptFrom_.begin();
    if (Oldest->first + Limits_.RetentionMs_ >= WallMs_)
      return;
    const RequestKey Key = Oldest->second;
    ByKeptFrom_.erase(Oldest);
    retire(Key);
  }
}

void RequestRecords::retire(const RequestKey &Key) {
  RequestRecord &Record = Records_.at(Key);
  if (Record.State_ != RecordState::Begun) {
    Records_.erase(Key);
    return;
  }
  unindexBegun(Key, Record);
  Record.State_ = RecordState::Unknown;
  Record.KeptFromMs_ = WallMs_;
  index(Key, Record);
}

void RequestRecords::index(const RequestKey &Key, const RequestRecord &Record) {
  ByKeptFrom_.emplace(Record.KeptFromMs_, Key);
  if (Record.State_ == RecordState::Begun)
    BegunByEntry_[Record.Entry_].insert(Key);
}

void RequestRecords::unindexBegun(const RequestKey &Key,
                                  const RequestRecord &Record) {
  const auto Found = BegunByEntry_.find(Record.Entry_);
  assert(Found != BegunByEntry_.end() && "begun record without its index");
  Found->second.erase(Key);
  if (Found->second.empty())
    BegunByEntry_.erase(Found);
}

RequestRecord *RequestRecords::findAttempt(const RequestKey &Key,
                                           std::uint64_t Attempt) {
  const auto Found = Records_.find(Key);
  if (Found == Records_.end() || Found->second.Attempt_ != Attempt)
    return nullptr;
  return &Found->second;
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
      return fail(ErrorCode::Malformed, "records: a key stands twice");
    return Result;
  } catch (const std::exception &Problem) {
    return fail(ErrorCode::Malformed,
                std::string("records: ") + Problem.what());
  }
}
