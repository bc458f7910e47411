//===- ControlHandlers.h - One handler per kind of message -----*- C++ -*-===//
//
// Decodes frames from entries and other controls, hands them to whoever is in
// charge, and encodes the answers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H
#define TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H

#include "control/DataCentreDuties.h"
#include "control/FleetDuties.h"
#include "control/OperatorRouter.h"
#include "tulipweir/net/Link.h"

#include <atomic>
#include <string>

namespace tulipweir::control {

/// What the handlers work with; all outlive them.
struct HandlerParts {
  DataCentreId DataCentre_;
  replication::Replica &DataCentreGroup_;
  replication::Replica &FleetGroup_;
  DataCentreDuties &Duties_;
  FleetDuties &Fleet_;
  const OperatorRouter &Operators_;
  const Clock &Time_;
  net::Counter &Malformed_;
  net::Counter &TurnedAway_; ///< Answered with NotLeader.
};

/// Thread-safe; runs on network threads and never blocks.
class ControlHandlers {
public:
  explicit ControlHandlers(const HandlerParts &Parts);

  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply);
  /// Calls that were handed on and are not answered yet.
  std::uint64_t getInProgress() const { return *InProgress_; }

private:
  using Handler = void (ControlHandlers::*)(const std::string &,
                                            net::LinkReply);
  struct Entry {
    wire::MessageKind Kind_;
    Handler Handle_;
  };
  static const Entry Table[];

  void onReplication(const std::string &Body, net::LinkReply Reply);
  void onEntryReport(const std::string &Body, net::LinkReply Reply);
  void onAnnouncement(const std::string &Body, net::LinkReply Reply);
  void onAnnouncementBatch(const std::string &Body, net::LinkReply Reply);
  void onBegin(const std::string &Body, net::LinkReply Reply);
  void onFinish(const std::string &Body, net::LinkReply Reply);
  void onAbandon(const std::string &Body, net::LinkReply Reply);
  void onOperatorCall(const std::string &Body, net::LinkReply Reply);
  void onFleetCommand(const std::string &Body, net::LinkReply Reply);
  void onAssignmentReport(const std::string &Body, net::LinkReply Reply);

  /// Decodes; or answers Malformed and returns nullopt.
  template <class Message>
  std::optional<Message> read(const std::string &Body,
                              const net::LinkReply &Reply);
  /// Commits a command about a record, then answers by MakeReply.
  template <class MakeReply>
  void commitRecord(const datacentre::Command &Value, net::LinkReply Reply,
                    MakeReply Make);
  net::LinkReply track(net::LinkReply Reply);

  const HandlerParts Parts_;
  std::shared_ptr<std::atomic<std::uint64_t>> InProgress_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H
