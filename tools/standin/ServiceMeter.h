//===- ServiceMeter.h - A server's measurement of its services -*- C++ -*-===//
//
// Collects service times over periods; what it reports is the last period that
// is over, as old as the lag says.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_SERVICEMETER_H
#define TULIPWEIR_TOOLS_STANDIN_SERVICEMETER_H

#include "tulipweir/core/Time.h"
#include "tulipweir/wire/Messages.h"

#include <deque>
#include <map>
#include <vector>

namespace tulipweir::standin {

/// Not thread-safe.
class ServiceMeter {
public:
  ServiceMeter(std::uint32_t Slots, Duration Period, Duration Lag)
      : Slots_(Slots), Period_(Period), Lag_(Lag) {}

  void record(const ServiceId &Service, Duration Took);
  /// Closes the running period once it is over.
  void tick(TimePoint Now);
  /// The newest closed period that is at least as old as the lag.
  std::vector<wire::ServiceReport> getReports(TimePoint Now) const;

private:
  struct ClosedPeriod {
    TimePoint EndedAt_;
    std::vector<wire::ServiceReport> Reports_;
  };

  std::uint32_t Slots_;
  Duration Period_;
  Duration Lag_;
  TimePoint StartedAt_{};
  std::map<ServiceId, std::vector<Duration>> Times_;
  std::deque<ClosedPeriod> Closed_;
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_SERVICEMETER_H
