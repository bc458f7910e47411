//===- Entry.h - One entry, without its sockets ----------------*- C++ -*-===//
//
// Puts the parts of an entry together: the callers', backend servers' and
// operators' HTTP sides, routing, records, reports. The program gives it a
// client for backend servers, one for control processes, a clock and timers.
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

/// What an entry is made of; all of it outlives the entry.
struct EntryDependencies {
  EntryIdentity Identity_;
  /// Control processes by data centre, the own one among them.
  std::map<DataCentreId, std::shared_ptr<ControlClient>> Controls_;
  BackendClient &Backend_;
  Timers &Timers_;
  const Clock &Clock_;
  RandomBits Random_;
  net::Metrics &Metrics_;
  Duration ReportPeriod_ = std::chrono::milliseconds(500);
  /// No request is sent with a deadline further ahead. At most the controls'
  /// value, on which their account of slots rests.
  Duration MaxRequest_ = std::chrono::seconds(60);
  BatcherSettings Batching_ = {};
};

/// Thread-safe.
class Entry {
public:
  explicit Entry(EntryDependencies Deps);

  // Commands.

  /// Begins to report and to sweep.
  void start();
  /// Serves one HTTP call; unknown paths get 404.
  void handle(net::HttpRequest Request, net::HttpRespond Respond);
  /// Readiness is taken back; requests that come are still served.
  void beginStop();
  /// Gives the grants back, once nothing is in progress.
  void releaseGrants(std::function<void()> Done) {
    Reporter_.releaseGrants(std::move(Done));
  }

  // Queries.

  /// Empty when it serves, otherwise why not.
  std::string explainUnready() const;
  /// Requests and records under way.
  std::uint64_t getInProgress() const;
  /// The state as JSON.
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
