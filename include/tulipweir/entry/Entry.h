//===- Entry.h - Entry process without its sockets -------------*- C++ -*-===//
//
// Combines the components of an entry: the HTTP APIs for callers, backend
// servers and operators, routing, request records and reports. The program
// supplies clients for backend servers and control processes, a clock and
// timers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ENTRY_H
#define TULIPWEIR_ENTRY_ENTRY_H

#include "tulipweir/entry/CallersApi.h"
#include "tulipweir/entry/ControlProxy.h"
#include "tulipweir/entry/KeyedSender.h"
#include "tulipweir/entry/Reporter.h"

#include <map>
#include <memory>

namespace tulipweir::entry {

/// The dependencies of an entry. Referenced objects outlive it.
struct EntryDependencies {
  EntryIdentity Identity_;
  /// Clients for the control processes by data centre, including the entry's
  /// own data centre.
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Controls_;
  BackendClient &Backend_;
  Timers &Timers_;
  const Clock &Clock_;
  RandomBits Random_;
  net::Metrics &Metrics_;
  Duration ReportPeriod_ = std::chrono::milliseconds(500);
  /// The maximum time from sending a request to its deadline. It must not
  /// exceed the value of the control processes, which use it to account for
  /// slots in use.
  Duration MaxRequest_ = std::chrono::seconds(60);
  BatcherSettings Batching_ = {};
};

/// Serves callers, backend servers and operators. Thread-safe.
class Entry {
public:
  explicit Entry(EntryDependencies Deps);

  // Commands.

  /// Starts the periodic reports and sweeps.
  void start();
  /// Handles one HTTP request. Unknown paths get 404.
  void handle(net::HttpRequest Request, net::HttpRespond Respond);
  /// Marks the entry as not ready. Requests that still arrive are served.
  void beginStop();
  /// Returns the grants to the leader. To be called when no request is in
  /// progress.
  void releaseGrants(std::function<void()> Done) {
    Reporter_.releaseGrants(std::move(Done));
  }

  // Queries.

  /// Returns why the entry is not ready, or an empty string if it is.
  std::string explainUnready() const;
  /// Returns the number of requests and record writes in progress.
  std::uint64_t getInProgress() const;
  /// Returns the state as JSON.
  std::string dump() const;

private:
  void sweep();

  const EntryIdentity Identity_;
  Timers &Timers_;
  const Clock &Clock_;
  EntryFlags Flags_;
  EntryMetrics Metrics_;
  ConfigurationHolder Configuration_;
  CallerLimits Limits_;
  RequestTable Table_;
  RecordHomes Homes_;
  Router Router_;
  RequestSender Plain_;
  KeyedSender Keyed_;
  CallersApi Callers_;
  AnnouncementBatcher Batcher_;
  ControlProxy Proxy_;
  Reporter Reporter_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ENTRY_H
