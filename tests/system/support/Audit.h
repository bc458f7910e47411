//===- Audit.h - What the stand-ins really ran -----------------*- C++ -*-===//
//
// Reads the audit logs of stand-ins and looks for what must never be there.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_SYSTEM_SUPPORT_AUDIT_H
#define TULIPWEIR_TESTS_SYSTEM_SUPPORT_AUDIT_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tulipweir::system_test {

struct AuditLine {
  std::int64_t AtMs_ = 0;
  std::string Event_;
  std::string Server_;
  std::string Boot_;
  std::string Task_;
  std::uint64_t Attempt_ = 0;
  std::string State_;
  std::string Checkpoint_;
  std::string Path_;
  std::string Key_;
};

class Audit {
public:
  static Audit read(const std::vector<std::string> &Files);

  /// How often each request with that path was run.
  std::size_t countRuns(const std::string &Path) const;
  /// How often that task ended with that state.
  std::size_t countEnds(const std::string &Task,
                        const std::string &State) const;
  /// How often tasks of that job were started in that data centre.
  std::size_t countStarts(const std::string &Job,
                          const std::string &DataCentre) const;
  /// Promises that are broken, in words: a task in two places, an attempt
  /// started twice, a task finished twice, an overfull VM, a keyed request run
  /// twice. Empty when all hold.
  std::vector<std::string> listBrokenPromises() const;
  /// Starts of tasks and requests at that server after AfterMs.
  std::vector<AuditLine> listNewWork(const std::string &Server,
                                     std::int64_t AfterMs) const;
  std::vector<AuditLine> listEvents(const std::string &Event) const;

private:
  void checkOnePlace(std::vector<std::string> &Broken) const;
  void checkCounts(std::vector<std::string> &Broken) const;

  std::vector<AuditLine> Lines_;
};

} // namespace tulipweir::system_test

#endif // TULIPWEIR_TESTS_SYSTEM_SUPPORT_AUDIT_H
