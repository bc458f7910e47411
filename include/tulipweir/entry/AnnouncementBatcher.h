//===- AnnouncementBatcher.h - Batches of heartbeats -----------*- C++ -*-===//
//
// Collects the announcements of backend servers for a short period and
// forwards them to the leader in one message. Announcements without changes
// are sent as digests. docs/HEARTBEATS.md explains the design.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_ENTRY_ANNOUNCEMENTBATCHER_H
#define TULIPWEIR_ENTRY_ANNOUNCEMENTBATCHER_H

#include "tulipweir/entry/ControlClient.h"
#include "tulipweir/entry/EntryState.h"
#include "tulipweir/entry/Timers.h"

#include <memory>

namespace tulipweir::entry {

struct BatcherSettings {
  /// The maximum time an announcement without changes waits for others.
  Duration Period_ = std::chrono::milliseconds(200);
  /// The maximum time a changed announcement waits for others.
  Duration UrgentPeriod_ = std::chrono::milliseconds(20);
  /// The maximum age of the service and usage measurements at the leader while
  /// new ones are available.
  Duration Refresh_ = std::chrono::seconds(10);
  /// The maximum time between two full announcements of a server without
  /// changes.
  Duration FullRefresh_ = std::chrono::seconds(60);
};

/// The dependencies of a batcher. Referenced objects outlive it.
struct BatcherDependencies {
  EntryIdentity Identity_;
  ControlClient &Control_;
  Timers &Timers_;
  const Clock &Clock_;
  BatcherSettings Settings_;
};

/// Sends announcements to the leader in batches. Thread-safe.
class AnnouncementBatcher {
public:
  explicit AnnouncementBatcher(const BatcherDependencies &Deps);
  ~AnnouncementBatcher();
  AnnouncementBatcher(const AnnouncementBatcher &) = delete;
  AnnouncementBatcher &operator=(const AnnouncementBatcher &) = delete;

  /// Forwards the announcement and calls Done exactly once, within Timeout plus
  /// one batching period.
  void announce(const wire::Announcement &Announcement, Duration Timeout,
                ControlCallback<wire::Announcement> Done);

private:
  class Queue;
  std::shared_ptr<Queue> Queue_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ANNOUNCEMENTBATCHER_H
