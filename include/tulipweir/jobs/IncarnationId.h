//===- IncarnationId.h - Names one incarnation of a server ------*- C++ -*-===//
//
// A backend server may start again under its id. It then holds nothing of
// before, and its sequence numbers and its clock begin anew. Everything that
// belongs to one incarnation is kept under the text of its IncarnationId.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_INCARNATIONID_H
#define TULIPWEIR_JOBS_INCARNATIONID_H

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::jobs {

/// A server's id and the time of its start. The start time distinguishes
/// incarnations but does not order them, as clocks may be set back.
class IncarnationId {
public:
  /// Makes the id of an incarnation that started at BornMs by its own time of
  /// day, as Unix time in milliseconds; 0 if the server does not report it.
  static IncarnationId make(std::string ServerId, std::uint64_t BornMs);
  /// Parses what toString returned. A text without a start time is a server's
  /// id.
  static IncarnationId parse(std::string_view Text);

  const std::string &getServerId() const { return ServerId_; }
  std::uint64_t getBornMs() const { return BornMs_; }
  bool hasStartTime() const { return BornMs_ != 0; }
  /// Returns the server's id, followed by a slash and the start time if it is
  /// known. A server's id has no slash.
  std::string toString() const;

  auto operator<=>(const IncarnationId &) const = default;

private:
  IncarnationId(std::string ServerId, std::uint64_t BornMs)
      : ServerId_(std::move(ServerId)), BornMs_(BornMs) {}

  std::string ServerId_;
  std::uint64_t BornMs_ = 0;
};

/// Separates the id from the start time in the text of an IncarnationId.
inline constexpr char IncarnationSeparator = '/';

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_INCARNATIONID_H
