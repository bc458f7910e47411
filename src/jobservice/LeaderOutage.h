//===- LeaderOutage.h - How long there is no leader -------------*- C++ -*-===//
//
// Estimates when the next leader answers, from the time since the last one did
// and from the members that answer meanwhile. No clock, no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_LEADEROUTAGE_H
#define TULIPWEIR_SRC_JOBSERVICE_LEADEROUTAGE_H

#include "tulipweir/core/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace tulipweir::jobservice {

struct LeaderOutageSettings {
  /// Of the controls; the next leader is elected within a little more than two.
  Duration ElectionTimeout_ = std::chrono::milliseconds(600);
  /// An answer of a leader or of another member counts for this time.
  Duration MaxAnswerAge_ = std::chrono::milliseconds(1500);
  /// Wait of a call while an election is likely to end.
  Duration ElectionWait_ = std::chrono::milliseconds(1000);
  /// Wait of a call while the members have not been asked long enough to
  /// answer.
  Duration FirstAnswerWait_ = std::chrono::milliseconds(200);
  /// Upper bound of the time to return, that of rejected submissions.
  Duration MaxRetryAfter_ = std::chrono::seconds(30);
};

/// Not thread-safe. Times never decrease.
class LeaderOutage {
public:
  LeaderOutage(const LeaderOutageSettings &Settings, TimePoint Now);

  // Commands.

  /// Records that the members were asked. A long time without this, as when
  /// the machine was suspended, is no part of an outage.
  void recordPoll(TimePoint Now);
  /// Records that a leader confirmed itself. Returns the length of the outage
  /// that this ends, if there was one: a short search at the start is none.
  std::optional<Duration> recordLeader(TimePoint Now);
  /// Records that a member that takes part in elections answered.
  void recordMember(const std::string &Name, TimePoint Now);
  /// Replaces the members, of which a majority elects.
  void setMembers(const std::set<std::string> &Names);

  // Queries.

  bool hadLeader() const { return HadLeader_; }
  /// Returns whether a leader answered recently.
  bool hasLeader(TimePoint Now) const;
  /// Returns the time since a leader answered; zero if that was recently.
  Duration getAge(TimePoint Now) const;
  /// Returns whether a majority of the members answers.
  bool hasMajority(TimePoint Now) const;
  /// Returns how long a call may wait for a leader; zero if none is likely to
  /// answer soon.
  Duration getWait(TimePoint Now) const;
  /// Returns when a caller should return: a whole number of seconds, one or
  /// more. Callers are spread over several seconds.
  Duration getRetryAfter(TimePoint Now, std::string_view Caller) const;

private:
  Duration getElectionTime() const;
  Duration estimateRemaining(TimePoint Now) const;

  const LeaderOutageSettings Settings_;
  bool HadLeader_ = false;
  /// When a leader answered last, or when the members were first asked.
  TimePoint Since_;
  TimePoint PolledAt_;
  TimePoint MajoritySince_ = TimePoint::min();
  std::set<std::string> Members_;
  std::map<std::string, TimePoint> AnsweredAt_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_LEADEROUTAGE_H
