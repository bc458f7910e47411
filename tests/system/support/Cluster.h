//===- Cluster.h - The whole product on loopback ---------------*- C++ -*-===//
//
// Starts controls, entries and stand-ins of several data centres as processes
// of their own, and speaks to them as callers and operators do.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_SYSTEM_SUPPORT_CLUSTER_H
#define TULIPWEIR_TESTS_SYSTEM_SUPPORT_CLUSTER_H

#include "system/support/Audit.h"
#include "system/support/Child.h"
#include "system/support/Forwarder.h"
#include "system/support/HttpCall.h"

#include "tulipweir/fleet/Signing.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::system_test {

/// How long a test waits for something that takes seconds at most.
inline constexpr Milliseconds LongEnough = std::chrono::seconds(40);

struct ClusterShape {
  std::size_t DataCentres_ = 1;
  std::size_t ControlsEach_ = 1;
  std::size_t EntriesEach_ = 1;
  std::size_t ServersEach_ = 2;
  /// Links between controls of different data centres can be cut.
  bool CanCut_ = false;
  std::vector<std::string> ControlFlags_;
  std::vector<std::string> StandInFlags_;
};

struct ControlProcess {
  std::string Name_;
  std::size_t DataCentre_ = 0;
  std::string DataFolder_;
  std::uint16_t LinkPort_ = 0;
  std::uint16_t HttpPort_ = 0;
  std::unique_ptr<Child> Child_;
};

struct EntryProcess {
  std::string Name_;
  std::size_t DataCentre_ = 0;
  std::uint16_t Port_ = 0;
  std::unique_ptr<Child> Child_;
};

/// One process that speaks for all backend servers of a data centre.
struct StandInProcess {
  std::uint16_t AdminPort_ = 0;
  std::string AuditFile_;
  std::unique_ptr<Child> Child_;
};

/// What a bundle of the tests names.
struct BundleOptions {
  std::uint64_t Version_ = 1;
  std::uint64_t ParentVersion_ = 0;
  std::string ParentDigest_;
  std::string Note_ = "for a test";
};

class Cluster {
public:
  explicit Cluster(const ClusterShape &Shape);
  ~Cluster();

  /// Starts everything, accepts the first bundle, and waits until each entry
  /// serves. False (with the reason in whatFailed) when that does not come.
  bool start();
  const std::string &whatFailed() const { return WhatFailed_; }

  ControlProcess &control(std::size_t DataCentre, std::size_t Number = 0);
  EntryProcess &entry(std::size_t DataCentre, std::size_t Number = 0);
  StandInProcess &standIn(std::size_t DataCentre);
  std::string serverName(std::size_t DataCentre, std::size_t Number) const;
  std::uint16_t entryPort(std::size_t DataCentre = 0, std::size_t Number = 0) {
    return entry(DataCentre, Number).Port_;
  }

  /// Separates that data centre's controls from all others.
  void setCut(std::size_t DataCentre, bool Cut);
  /// The number of the control that leads its data centre's group, or
  /// nothing while nobody is known to lead.
  std::optional<std::size_t> findLeader(std::size_t DataCentre);
  /// Waits for a leader; fails the test if none comes.
  std::size_t waitForLeader(std::size_t DataCentre);

  HttpAnswer operate(const std::string &Method, const std::string &Path,
                     const nlohmann::json &Body = {},
                     std::size_t DataCentre = 0, std::size_t Entry = 0);
  std::string makeBundle(const BundleOptions &Options) const;
  /// Proposes with the first operator's signature, which is enough.
  HttpAnswer proposeBundle(const std::string &Text, std::size_t DataCentre = 0,
                           std::size_t Entry = 0);
  /// Whether the answer says that the bundle is in force, now or already.
  static bool isAccepted(const HttpAnswer &Answer);
  /// Options for a bundle that follows the one in force.
  BundleOptions followCurrent(std::size_t DataCentre = 0);

  /// Asks that data centre's entry; Preferred is where it should run.
  bool submitJob(const std::string &Job, std::size_t Tasks,
                 const nlohmann::json &Payload, std::size_t DataCentre = 0,
                 const std::string &Preferred = "");
  /// "finished", "failed", ...; empty if it cannot be told.
  std::string readJobState(const std::string &Job, std::size_t DataCentre = 0);
  bool waitForJob(const std::string &Job, const std::string &State,
                  std::size_t DataCentre = 0,
                  Milliseconds Limit = std::chrono::seconds(60));

  /// One request that may not be repeated.
  HttpAnswer charge(std::uint16_t Port, const std::string &Path,
                    const std::string &Key, Milliseconds Deadline,
                    const std::string &Query = "");
  std::string takeTicket(std::uint16_t Port);
  bool setFault(std::size_t DataCentre, const std::string &Server,
                const std::string &Fault, std::int64_t Value = 1);

  Audit readAudit() const;
  /// Sends SIGTERM to all: stand-ins, entries, controls. Names those that did
  /// not end with exit code 0.
  std::vector<std::string> stopAll();
  /// The last lines of each process, for a failing test.
  std::string showOutputs();
  const std::string &folder() const { return Folder_.path(); }

private:
  void placeControls();
  void placeEntries();
  void placeStandIns();
  std::string listMembers(const ControlProcess &For, bool WholeFleet);
  std::string listOtherControls(std::size_t DataCentre);
  std::uint16_t findPort(std::size_t From, const ControlProcess &To);
  std::vector<Child *> allChildren();
  bool waitUntilServing();
  bool fails(const std::string &What);

  ClusterShape Shape_;
  TempFolder Folder_;
  std::string WhatFailed_;
  fleet::KeyPair Operator_;
  fleet::KeyPair SecondOperator_;
  std::vector<ControlProcess> Controls_;
  std::vector<EntryProcess> Entries_;
  std::vector<StandInProcess> StandIns_;
  /// Wires from one data centre to a control of another.
  std::map<std::pair<std::size_t, std::string>, std::unique_ptr<Forwarder>>
      Wires_;
};

} // namespace tulipweir::system_test

#endif // TULIPWEIR_TESTS_SYSTEM_SUPPORT_CLUSTER_H
