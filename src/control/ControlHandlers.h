//===- ControlHandlers.h - Handlers by message kind ------------*- C++ -*-===//
//
// Decodes messages from entries and other control processes, dispatches them
// and encodes the replies.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H
#define TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H

#include "control/DataCentreService.h"
#include "control/FleetService.h"
#include "control/OperatorRouter.h"
#include "tulipweir/net/Link.h"

#include <atomic>
#include <string>

namespace tulipweir::control {

/// The dependencies of the handlers; all must outlive them.
struct HandlerParts {
  DataCentreId DataCentre_;
  replication::Replica &DataCentreGroup_;
  replication::Replica &FleetGroup_;
  DataCentreService &DataCentreService_;
  FleetService &FleetService_;
  const OperatorRouter &Operators_;
  const Clock &Time_;
  net::Counter &Malformed_;
  net::Counter &NotLeaderReplies_; ///< Calls answered with NotLeader.
};

/// Thread-safe; runs on network threads and never blocks.
class ControlHandlers {
public:
  explicit ControlHandlers(const HandlerParts &Parts);

  void handle(wire::MessageKind Kind, std::string Body, net::LinkReply Reply);
  /// Returns the number of calls without a reply yet.
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

  /// Decodes a message. On failure replies with Malformed and returns nullopt.
  template <class Message>
  std::optional<Message> decodeOrReply(const std::string &Body,
                                       const net::LinkReply &Reply);
  /// Commits a command about a record, then calls Make to send the reply.
  template <class MakeReply>
  void commitRecord(const datacentre::Command &Cmd, net::LinkReply Reply,
                    MakeReply Make);
  net::LinkReply trackCall(net::LinkReply Reply);

  const HandlerParts Parts_;
  std::shared_ptr<std::atomic<std::uint64_t>> InProgress_ =
      std::make_shared<std::atomic<std::uint64_t>>(0);
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_CONTROLHANDLERS_H
