//===- AuditLog.h - What a stand-in really ran -----------------*- C++ -*-===//
//
// One JSON object a line for each start and end of a task attempt and for each
// request that was run, so that tests can count what ran twice or got lost.
// Times are milliseconds of the machine's monotonic clock, which all processes
// of one machine share. Lines reach the file before the call returns.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_AUDITLOG_H
#define TULIPWEIR_TOOLS_STANDIN_AUDITLOG_H

#include "standin/TaskTable.h"

#include "tulipweir/core/Error.h"

#include <memory>
#include <mutex>
#include <string>

namespace tulipweir::standin {

/// Who writes the line.
struct AuditSource {
  std::string Server_;
  std::string Boot_;
};

/// A request as it arrived at a stand-in.
struct AuditRequest {
  std::string Service_;
  std::string Method_;
  std::string Path_;
  std::string RequestId_;
  std::string Key_;
};

/// Thread-safe.
class AuditLog {
public:
  /// Path empty: nothing is written.
  static Outcome<std::unique_ptr<AuditLog>> open(const std::string &Path);
  ~AuditLog();
  AuditLog(const AuditLog &) = delete;
  AuditLog &operator=(const AuditLog &) = delete;

  void writeTask(const AuditSource &Source, const TaskEvent &Event);
  /// Event is "request" (it runs), "answered", "busy" or "dropped".
  void writeRequest(const AuditSource &Source, const char *Event,
                    const AuditRequest &Request);
  /// Event is "boot", "crash", "draining" or "left".
  void writeServer(const AuditSource &Source, const char *Event);

private:
  explicit AuditLog(int File) : File_(File) {}
  void writeLine(const std::string &Line);

  std::mutex Lock_;
  int File_;
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_AUDITLOG_H
