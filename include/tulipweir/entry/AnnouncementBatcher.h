//===- AnnouncementBatcher.h - Heartbeats, passed on together --*- C++ -*-===//
//
// Collects backend servers' announcements for a short while and passes them on
// in one message; those that say nothing new as digests. docs/HEARTBEATS.md
// has the argument.
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
  /// How long an announcement that says nothing new may wait for others.
  Duration Period_ = std::chrono::milliseconds(200);
  /// The same for one that says something new.
  Duration UrgentPeriod_ = std::chrono::milliseconds(20);
  /// New measures of services and usage go out at least this often.
  Duration Refresh_ = std::chrono::seconds(10);
  /// Without anything new a whole announcement goes out at least this often.
  Duration FullRefresh_ = std::chrono::seconds(60);
};

/// What a batcher works with; the references outlive it.
struct BatcherDependencies {
  EntryIdentity Identity_;
  ControlClient &Control_;
  Timers &Timers_;
  const Clock &Clock_;
  BatcherSettings Settings_;
};

/// Thread-safe.
class AnnouncementBatcher {
public:
  explicit AnnouncementBatcher(const BatcherDependencies &Deps);
  ~AnnouncementBatcher();
  AnnouncementBatcher(const AnnouncementBatcher &) = delete;
  AnnouncementBatcher &operator=(const AnnouncementBatcher &) = delete;

  /// Passes the announcement on and calls Done once, within Timeout and a
  /// batching period.
  void announce(const wire::Announcement &Announcement, Duration Timeout,
                ControlCallback<wire::Announcement> Done);

private:
  class Queue;
  std::shared_ptr<Queue> Queue_;
};

} // namespace tulipweir::entry

#endif // TULIPWEIR_ENTRY_ANNOUNCEMENTBATCHER_H
