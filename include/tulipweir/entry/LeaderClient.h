//===- LeaderClient.h - Control client that locates the leader --*- C++ -*-===//
//
// A ControlClient over one link per control process. It sends each call to the
// last known leader, follows a NotLeader reply to the process that it names,
// and tries the other processes until the call's deadline.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_LEADERCLIENT_H
#define TULIPWEIR_ENTRY_LEADERCLIENT_H

#include "tulipweir/entry/ControlClient.h"
#include "tulipweir/entry/Timers.h"
#include "tulipweir/wire/MessageKind.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace tulipweir::entry {

/// A connection to one control process, as provided by net::LinkClient.
class ControlLink {
public:
  virtual ~ControlLink() = default;
  virtual const std::string &name() const = 0;
  virtual void call(wire::MessageKind Kind, std::string Body, Duration Timeout,
                    std::function<void(Outcome<std::string>)> Done) = 0;
};

class LeaderClient final : public ControlClient {
public:
  LeaderClient(std::vector<std::unique_ptr<ControlLink>> Links, Timers &Timers,
               const Clock &Clock);
  ~LeaderClient() override;

  void report(const wire::EntryReport &Report, Duration Timeout,
              ControlCallback<wire::EntryReport> Done) override;
  void announce(const wire::Announcement &Announcement, Duration Timeout,
                ControlCallback<wire::Announcement> Done) override;
  void announceBatch(const wire::AnnouncementBatch &Batch, Duration Timeout,
                     ControlCallback<wire::AnnouncementBatch> Done) override;
  void begin(const wire::BeginRequest &Request, Duration Timeout,
             ControlCallback<wire::BeginRequest> Done) override;
  void finish(const wire::FinishRequest &Request, Duration Timeout,
              ControlCallback<wire::FinishRequest> Done) override;
  void abandon(const wire::AbandonRequest &Request, Duration Timeout,
               ControlCallback<wire::AbandonRequest> Done) override;
  void callOperator(const wire::OperatorCall &Call, Duration Timeout,
                    ControlCallback<wire::OperatorCall> Done) override;

  /// Returns the name of the process that last answered as leader, or an empty
  /// string if none has.
  std::string getLeaderName() const;

private:
  struct Call;
  class Impl;

  template <class Request>
  void send(const Request &Message, Duration Timeout,
            ControlCallback<Request> Done);

  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_LEADERCLIENT_H
