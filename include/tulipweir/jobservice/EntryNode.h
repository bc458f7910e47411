//===- EntryNode.h - Forwards job calls to the leader -----------*- C++ -*-===//
//
// An entry node tracks the controls and their leader, and forwards job calls
// to the leader. It keeps no job state, so it never answers with stale data.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBSERVICE_ENTRYNODE_H
#define TULIPWEIR_JOBSERVICE_ENTRYNODE_H

#include "tulipweir/core/EventLog.h"
#include "tulipweir/jobs/JobCall.h"
#include "tulipweir/net/IoPool.h"
#include "tulipweir/net/Metrics.h"

#include <functional>
#include <memory>

namespace tulipweir::jobservice {

struct EntryNodeSettings {
  std::uint16_t LinkPort_ = 0; ///< The link port of the controls.
  std::vector<std::string> Seeds_;
  std::string Secret_;
  /// The data centre of this entry, which its submissions name; may be empty.
  std::string DataCentre_;
  /// How often the node asks the group for its leader.
  Duration LeaderPollInterval_ = std::chrono::milliseconds(500);
  /// How often it asks some of the controls while it knows no leader, and the
  /// time in which it asks each of them once.
  Duration OutagePollInterval_ = std::chrono::milliseconds(100);
  Duration OutagePollPeriod_ = std::chrono::milliseconds(750);
  /// Determines the order in which it asks them; differs between entries.
  std::uint64_t Seed_ = 0;
  /// The setting of the controls, from which the end of an election is
  /// estimated.
  Duration ElectionTimeout_ = std::chrono::milliseconds(600);
  /// How long a call waits for a leader if one answered recently, or if an
  /// election is likely to end soon.
  Duration LeaderWaitTimeout_ = std::chrono::milliseconds(1000);
  /// How long a call waits for a leader directly after the start; long enough
  /// for the first controls to answer. Without a leader in sight, calls do not
  /// wait.
  Duration NoLeaderTimeout_ = std::chrono::milliseconds(200);
};

/// The effect that a call without a reply may have had.
enum class CallEffect : std::uint8_t {
  NotRun,  ///< No control can have received the call.
  Unknown, ///< The call may have taken effect.
};

/// Thread-safe; callbacks run on a network thread.
class EntryNode {
public:
  struct Answer {
    std::optional<jobs::JobCallReply> Reply_;
    CallEffect Effect_ = CallEffect::NotRun; ///< Valid if there is no reply.
    /// When to call again: whole seconds, one or more. Valid if there is no
    /// reply.
    Duration RetryAfter_ = Duration(0);
  };
  using Done = std::function<void(Answer)>;

  EntryNode(const EntryNodeSettings &Settings, net::IoPool &Pool,
            const Clock &Time, net::Metrics &Metrics, EventLog &Log);
  ~EntryNode();
  EntryNode(const EntryNode &) = delete;
  EntryNode &operator=(const EntryNode &) = delete;

  // Commands.

  void start();
  void stop();
  /// Replaces the configured controls.
  void setSeeds(const std::vector<std::string> &Seeds);
  /// Calls Reply once, by Deadline at the latest. A call that a control may
  /// have received is sent to the next leader until then.
  void call(const jobs::JobCall &Call, TimePoint Deadline, Done Reply);

  // Queries.

  /// Returns why calls would fail; empty if a leader answered recently.
  std::string getUnreadyReason() const;
  std::string makeDump() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_ENTRYNODE_H
