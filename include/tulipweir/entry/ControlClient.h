//===- ControlClient.h - Calls to a data centre's leader -------*- C++ -*-===//
//
// Declares the calls that an entry makes to the control processes of one data
// centre.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_CONTROLCLIENT_H
#define TULIPWEIR_ENTRY_CONTROLCLIENT_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/wire/AnnouncementBatch.h"
#include "tulipweir/wire/Messages.h"

#include <functional>

namespace tulipweir::entry {

template <class Request>
using ControlCallback = std::function<void(Outcome<typename Request::Reply>)>;

/// Sends calls to the leader, which it locates itself. Each call completes
/// exactly once within Timeout: with the leader's reply, with Unavailable if
/// the call certainly had no effect, with Timeout if its effect is unknown, or
/// with the leader's error. Thread-safe.
class ControlClient {
public:
  virtual ~ControlClient() = default;
  virtual void report(const wire::EntryReport &Report, Duration Timeout,
                      ControlCallback<wire::EntryReport> Done) = 0;
  virtual void announce(const wire::Announcement &Announcement,
                        Duration Timeout,
                        ControlCallback<wire::Announcement> Done) = 0;
  /// Fails with VersionMismatch if the control processes do not support
  /// batches; the caller then sends the announcements individually.
  virtual void announceBatch(const wire::AnnouncementBatch &Batch,
                             Duration Timeout,
                             ControlCallback<wire::AnnouncementBatch> Done);
  virtual void begin(const wire::BeginRequest &Request, Duration Timeout,
                     ControlCallback<wire::BeginRequest> Done) = 0;
  virtual void finish(const wire::FinishRequest &Request, Duration Timeout,
                      ControlCallback<wire::FinishRequest> Done) = 0;
  virtual void abandon(const wire::AbandonRequest &Request, Duration Timeout,
                       ControlCallback<wire::AbandonRequest> Done) = 0;
  virtual void callOperator(const wire::OperatorCall &Call, Duration Timeout,
                            ControlCallback<wire::OperatorCall> Done) = 0;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_CONTROLCLIENT_H
