//===- AdmissionStatus.h - What operators see of the admission --*- C++ -*-===//

#ifndef TULIPWEIR_JOBS_ADMISSIONSTATUS_H
#define TULIPWEIR_JOBS_ADMISSIONSTATUS_H

#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// The admission of one queue.
struct QueueAdmission {
  std::string Queue_;
  double Backlog_ = 0; ///< Processor seconds that wait and are of use.
  /// Processors that served its backlog at the last rejection; 0 if none.
  double Rate_ = 0;
  // Since this member began to lead:
  std::uint64_t TooLate_ = 0;     ///< Rejected as they would end too late.
  std::uint64_t LastingFull_ = 0; ///< Rejected long-running work.
  std::uint64_t Returned_ = 0;    ///< Accepted when they returned in time.
  bool operator==(const QueueAdmission &) const = default;
};

struct AdmissionStatus {
  bool IsEnabled_ = false;
  bool IsReliable_ = false;            ///< Enough is known to reject jobs.
  std::uint64_t Promises_ = 0;         ///< Callers that were told to return.
  std::vector<QueueAdmission> Queues_; ///< Sorted by name.
  bool operator==(const AdmissionStatus &) const = default;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_ADMISSIONSTATUS_H
