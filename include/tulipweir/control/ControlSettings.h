//===- ControlSettings.h - Settings of a control process -------*- C++ -*-===//
//
// The control module holds a replica of the data centre's log and one of the
// fleet log, runs the leader's duties while its replica leads, and answers
// entries, operators and other control processes. This file declares its
// settings and the rules between them.
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

/// Settings of a control process; immutable after the start.
struct ControlSettings {
  std::string Name_;       ///< Unique in the fleet; one control process per VM.
  std::string DataCentre_; ///< Also the name of its replication group.
  std::string Region_;     ///< Shown to operators only; may be empty.
  net::Endpoint ListenLinks_;
  net::Endpoint ListenHttp_;
  std::string DataFolder_; ///< Empty only if MemoryOnly_ is set.
  bool MemoryOnly_ = false;
  /// Joins existing groups: the process does not bootstrap a group and waits
  /// until it is added as a learner.
  bool Join_ = false;
  std::string Secret_;
  /// The control processes of this data centre, including this one.
  std::vector<net::NamedEndpoint> DataCentreMembers_;
  /// The control processes that hold the fleet log, including this one.
  std::vector<net::NamedEndpoint> FleetMembers_;

  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration FleetElectionTimeout_ = std::chrono::milliseconds(1000);
  /// Interval between announcements of a backend server.
  Duration Heartbeat_ = std::chrono::milliseconds(500);
  /// A backend server that has been silent for this long gets no new requests.
  Duration Silence_ = std::chrono::milliseconds(1200);
  /// Maximum time that a task runs without a lease renewal.
  Duration LeaseTtl_ = std::chrono::seconds(5);
  /// Maximum clock rate error, in parts per million. This value and the two
  /// durations around it must be equal at all control processes of a data
  /// centre.
  std::int64_t DriftPpm_ = 1000;
  /// Maximum time that a backend server takes to stop a task after its lease
  /// expired.
  Duration StopGrace_ = std::chrono::milliseconds(200);
  /// Maximum time that an entry uses its slots without a renewal.
  Duration GrantTtl_ = std::chrono::seconds(3);
  /// Maximum duration of a request at an entry. The slots of a failed entry are
  /// released only after this time.
  Duration MaxRequest_ = std::chrono::seconds(60);
  /// Maximum time that a data centre keeps a batch job without contact to the
  /// fleet's leader.
  Duration AssignmentTtl_ = std::chrono::hours(2);
  /// A server that has been silent for this long and holds no tasks is removed.
  Duration ForgetAfter_ = std::chrono::seconds(60);
  /// Maximum duration of a planned stop.
  Duration Grace_ = std::chrono::seconds(20);
  /// How long answers to non-idempotent requests are kept.
  Duration RequestRetention_ = std::chrono::hours(24);
  std::int64_t MaxRecords_ = 1'000'000;
  std::int64_t SnapshotEvery_ = 10'000;
  std::int64_t Threads_ = 2;
  net::LogSettings Log_;
};

/// Adds all flags and the rules between them. Target must outlive parsing.
void addControlOptions(net::Options &Flags, ControlSettings &Target);

/// Returns a message for every violated rule; empty if the settings are valid.
std::vector<std::string> listSettingProblems(const ControlSettings &Settings);

/// Returns a warning for each allowed setting that does not survive a fault
/// which matters to operators. The warnings go to the log and to the operator
/// pages.
std::vector<std::string> listSettingWarnings(const ControlSettings &Settings);

} // namespace tulipweir::control

#endif // TULIPWEIR_CONTROL_CONTROLSETTINGS_H
