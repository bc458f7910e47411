//===- EntryNode.h - Forwards job calls to the leader -----------*- C++ -*-===//
//
// Keeps track of the controls and of their leader, and passes calls about jobs
// on to it. Holds no state of its own, so it can't answer with an old one.
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
  std::uint16_t LinkPort_ = 0; ///< Of the controls.
  std::vector<std::string> Seeds_;
  std::string Secret_;
  /// How often the group is asked who leads.
  Duration LeaderPollInterval_ = std::chrono::milliseconds(500);
  /// How long a call looks for a leader before it is given up: an election,
  /// where one led a moment ago,
  Duration LeaderWaitTimeout_ = std::chrono::milliseconds(1000);
  /// and a round of questions where nobody has led for a while. Whoever is told
  /// early can come back in time.
  Duration NoLeaderTimeout_ = std::chrono::milliseconds(200);
};

/// How a call that got no answer was left.
enum class CallEffect : std::uint8_t {
  NotRun,  ///< No control can have taken it.
  Unknown, ///< It may have taken effect.
};

/// Thread-safe; callbacks run on a network thread.
class EntryNode {
public:
  struct Answer {
    std::optional<jobs::JobCallReply> Reply_;
    CallEffect Effect_ = CallEffect::NotRun; ///< Without a reply.
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
  /// The settings name other controls to ask.
  void setSeeds(const std::vector<std::string> &Seeds);
  /// Calls Reply once, by Deadline at the latest.
  void call(const jobs::JobCall &Call, TimePoint Deadline, Done Reply);

  // Queries.

  /// Empty when a leader answered lately, or why calls would fail.
  std::string getUnreadyReason() const;
  std::string makeDump() const;

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_ENTRYNODE_H
