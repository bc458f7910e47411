//===- Ids.h - Strongly typed identifiers ----------------------*- C++ -*-===//
//
// Identifiers of different things do not mix: each is a type of its own around
// a string or a number, ordered and hashable.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CORE_IDS_H
#define TULIPWEIR_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tulipweir {

/// A value of type Rep that is only comparable with ids of the same Tag.
template <class Tag, class Rep> class Id {
public:
  Id() = default;
  explicit Id(Rep Value) : Value_(std::move(Value)) {}

  const Rep &value() const { return Value_; }
  auto operator<=>(const Id &) const = default;

private:
  Rep Value_{};
};

using DataCentreId = Id<struct DataCentreTag, std::string>;
using RackId = Id<struct RackTag, std::string>;
/// Names the VM a backend server runs on; one backend server per VM.
using BackendServerId = Id<struct BackendServerTag, std::string>;
/// Changes whenever a VM restarts, so that work of an earlier boot is known
/// to be gone.
using BootId = Id<struct BootTag, std::string>;
using EntryId = Id<struct EntryTag, std::string>;
using ServiceId = Id<struct ServiceTag, std::string>;
using CallerId = Id<struct CallerTag, std::string>;
using TeamId = Id<struct TeamTag, std::string>;
using JobId = Id<struct JobTag, std::string>;
/// Groups jobs that behave alike, so that sizes and interference are learned.
using JobClassId = Id<struct JobClassTag, std::string>;
/// The key under which a non-repeatable request runs at most once.
using RequestKey = Id<struct RequestKeyTag, std::string>;
/// A content hash, in lower-case hexadecimal.
using Digest = Id<struct DigestTag, std::string>;
using OperatorId = Id<struct OperatorTag, std::string>;
/// Rises with each accepted bundle; 0 means that none was accepted yet.
using BundleVersion = Id<struct BundleVersionTag, std::uint64_t>;
/// Counts the starts of one task; the first attempt is 1.
using AttemptNumber = Id<struct AttemptTag, std::uint64_t>;

/// One task of a job.
struct TaskId {
  JobId Job_;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskId &) const = default;
  /// Returns "job/index".
  std::string toString() const {
    return Job_.value() + "/" + std::to_string(Index_);
  }
};

/// Orders all placements ever committed in one data centre's log. A backend
/// server refuses a command whose token is lower than one it has seen for the
/// same task.
struct FencingToken {
  std::uint64_t Term_ = 0;
  std::uint64_t Index_ = 0;

  auto operator<=>(const FencingToken &) const = default;
};

} // namespace tulipweir

template <class Tag, class Rep> struct std::hash<tulipweir::Id<Tag, Rep>> {
  std::size_t operator()(const tulipweir::Id<Tag, Rep> &Value) const {
    return std::hash<Rep>()(Value.value());
  }
};

template <> struct std::hash<tulipweir::TaskId> {
  std::size_t operator()(const tulipweir::TaskId &Task) const {
    constexpr std::size_t Mix = 0x9e3779b97f4a7c15ULL;
    return std::hash<tulipweir::JobId>()(Task.Job_) * Mix + Task.Index_;
  }
};

#endif // TULIPWEIR_CORE_IDS_H
