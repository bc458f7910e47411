//===- SendTimeBound.h - When a server sent its reports ---------*- C++ -*-===//
//
// A report may be delayed for seconds and arrive after its sender has crashed.
// The server's clock in the report bounds when it was sent.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_SENDTIMEBOUND_H
#define TULIPWEIR_SRC_JOBS_SENDTIMEBOUND_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <optional>

namespace tulipweir::jobs {

/// Bounds the sending times of the reports of one incarnation.
class SendTimeBound {
public:
  /// Returns the latest time at which a report that was received at ReceivedAt
  /// can have been sent. Reports must be passed in the order in which they were
  /// sent. ServerClockMs is the server's steady clock at the sending, 0 if
  /// unknown; it runs at most DriftPercent slow.
  TimePoint compute(TimePoint ReceivedAt, std::uint64_t ServerClockMs,
                    std::uint64_t DriftPercent);

private:
  /// The report that was delayed least, as far as known.
  struct Reference {
    TimePoint ReceivedAt_;
    std::uint64_t ServerClockMs_ = 0;
  };

  std::optional<Reference> Reference_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_SENDTIMEBOUND_H
