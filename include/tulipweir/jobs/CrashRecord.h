//===- CrashRecord.h - Server crashes under a task -------------*- C++ -*-===//
//
// A task may crash every server that starts it, and a server may crash by
// itself under healthy tasks. The crash records of a task tell the two apart:
// a crash counts in full only if no other recently started run was on the
// server and the server was stable. Deterministic: no clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_CRASHRECORD_H
#define TULIPWEIR_JOBS_CRASHRECORD_H

#include "tulipweir/jobs/Commands.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The crash of one server under a run.
struct CrashRecord {
  std::uint64_t Run_ = 0;
  std::string Server_; ///< The incarnation that crashed.
  std::string Address_;
  /// How long the server's reports had listed the run.
  std::uint64_t AgeMs_ = 0;
  /// Many other servers crashed at the same time.
  bool IsCorrelated_ = false;
  /// No other run can have caused the crash, and the server was stable.
  bool IsConclusive_ = false;
  /// Another incarnation registered at the address. Until then the server may
  /// only be partitioned from the leader.
  bool IsConfirmed_ = false;
  /// The run had settled while others on the server had not. The record
  /// isolates the task's next run and has no other effect.
  bool OnlyIsolates_ = false;
  bool operator==(const CrashRecord &) const = default;
};

/// The crashes under one task since its last run that was shown to be harmless,
/// oldest first. Bounded.
using CrashRecords = std::vector<CrashRecord>;

/// A run that was placed on a crashed server.
struct CrashSuspect {
  TaskKey Task_;
  std::uint64_t Run_ = 0;
  std::uint64_t AgeMs_ = 0; ///< How long it was reported; 0 if never.
  bool IsIsolated_ = false; ///< No other run started beside it.
};

/// A run that has been reported for this long did not cause its server's crash.
inline constexpr std::uint64_t HarmlessAgeMs = 10'000;
/// A run of a task without crash records that has been reported for this long
/// is not among the first suspects.
inline constexpr std::uint64_t SettledAgeMs = 1'000;

/// Adds the record, or replaces the one of the same run and server.
void addCrash(CrashRecords &Records, CrashRecord Record);

/// Returns whether the task's next run must be isolated from other runs. A
/// single record does not require it if it is one of many simultaneous crashes,
/// or if the server may only have lost its lease.
bool needsIsolation(const CrashRecords &Records);

/// Returns how long a run of the task must be reported before others may start
/// beside it, in milliseconds.
std::uint64_t getIsolationMs(const CrashRecords &Records);

/// Returns whether the task's job must be failed: the task certainly crashes
/// servers, or has used up the starts allowed to a suspect.
bool shouldGiveUp(const CrashRecords &Records);

/// Returns whether a server at the address has crashed under the task.
bool hasCrashedAt(const CrashRecords &Records, const std::string &Address);

/// Returns whether the most recent of several crashes is unconfirmed, so that
/// the server may only be partitioned.
bool isLastCrashUnconfirmed(const CrashRecords &Records);

/// Formats the crashed servers for logs: "i-1, i-2".
std::string listServers(const CrashRecords &Records);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_CRASHRECORD_H
