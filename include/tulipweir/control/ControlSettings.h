//===- ControlSettings.h - Settings of a control process -------*- C++ -*-===//
//
// The control module: replicas of the data centre's log and of the fleet log,
// the duties of whichever replica leads, and the answers to entries, operators
// and other controls. This file: its settings, with the rules between them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CONTROL_CONTROLSETTINGS_H
#define TULIPWEIR_CONTROL_CONTROLSETTINGS_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"
#include "tulipweir/net/Options.h"
#include "tulipweir/net/Process.h"

#include <cstdint>
#include <string>
#include <vector>

namespace tulipweir::control {

/// What a control process is told at its start; not changed afterwards.
struct ControlSettings {
  std::string Name_;       ///< Unique in the fleet; one control per VM.
  std::string DataCentre_; ///< Also the name of its replication group.
  std::string Region_;     ///< For people; empty is allowed.
  net::Endpoint ListenLinks_;
  net::Endpoint ListenHttp_;
  std::string DataFolder_; ///< Empty only together with MemoryOnly_.
  bool MemoryOnly_ = false;
  /// It comes to groups that run already: it founds nothing and waits until
  /// it is added as a learner.
  bool Join_ = false;
  std::string Secret_;
  /// The controls of this data centre, itself among them.
  std::vector<net::NamedEndpoint> DataCentreMembers_;
  /// The controls that hold the fleet log, itself among them.
  std::vector<net::NamedEndpoint> FleetMembers_;

  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration FleetElectionTimeout_ = std::chrono::milliseconds(1000);
  /// How often backend servers announce themselves.
  Duration Heartbeat_ = std::chrono::milliseconds(500);
  /// A backend server that was silent this long gets no new requests.
  Duration Silence_ = std::chrono::milliseconds(1200);
  /// How long a task may run on without a renewal.
  Duration LeaseTtl_ = std::chrono::seconds(5);
  /// How far any clock's rate may be off, in millionths. The same, like the
  /// two durations around it, at all controls of a data centre.
  std::int64_t DriftPpm_ = 1000;
  /// How long a backend server may take to stop a task whose lease ran out.
  Duration StopGrace_ = std::chrono::milliseconds(200);
  /// How long an entry may use its slots without a renewal.
  Duration GrantTtl_ = std::chrono::seconds(3);
  /// The longest time that entries let a request run. A dead entry's slots
  /// are free again only after it.
  Duration MaxRequest_ = std::chrono::seconds(60);
  /// How long a data centre holds a batch job without reaching the fleet.
  Duration AssignmentTtl_ = std::chrono::hours(2);
  /// A server that is silent this long and holds nothing is forgotten.
  Duration ForgetAfter_ = std::chrono::seconds(60);
  /// What a planned stop may take.
  Duration Grace_ = std::chrono::seconds(20);
  /// How long answers to non-repeatable requests are kept.
  Duration RequestRetention_ = std::chrono::hours(24);
  std::int64_t MaxRecords_ = 1'000'000;
  std::int64_t SnapshotEvery_ = 10'000;
  std::int64_t Threads_ = 2;
  net::LogSettings Log_;
};

/// Adds every flag and every rule between them. Target must outlive parsing.
void addControlOptions(net::Options &To, ControlSettings &Target);

/// Every rule between the settings that is broken; empty when all is well.
std::vector<std::string> listSettingProblems(const ControlSettings &Settings);

/// What is allowed but does not survive a fault that operators care about, for
/// the log and the operators' pages.
std::vector<std::string> listSettingWarnings(const ControlSettings &Settings);

} // namespace tulipweir::control

#endif // TULIPWEIR_CONTROL_CONTROLSETTINGS_H
