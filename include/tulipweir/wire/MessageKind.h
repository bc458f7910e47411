//===- MessageKind.h - Kinds of messages between processes -----*- C++ -*-===//
//
// The kind travels in each frame's header and says how the body is read.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_MESSAGEKIND_H
#define TULIPWEIR_WIRE_MESSAGEKIND_H

#include <cstdint>

namespace tulipweir::wire {

/// Numbers are part of the protocol: never reused, only added.
enum class MessageKind : std::uint16_t {
  Replication = 1,    ///< One-way: replication traffic between replicas.
  EntryReport = 2,    ///< Entry to its data centre's leader, periodic.
  Announcement = 3,   ///< A backend server's heartbeat, passed on by an entry.
  BeginRequest = 4,   ///< Before a non-repeatable request is sent.
  FinishRequest = 5,  ///< Its answer, to be recorded.
  AbandonRequest = 6, ///< It was given up before the first byte was sent.
  OperatorCall = 7,   ///< An operator's HTTP call, passed on by an entry.
  FleetCommand = 8,   ///< Control to the fleet log's leader: a proposal.
  AnnouncementBatch = 9, ///< Several announcements in one frame.
  AssignmentReport = 10, ///< Control to the fleet log's leader, periodic;
                         ///< encoded by the fleet module.
  JobCall = 11,   ///< A client's call about a job; encoded by the jobs module.
  GroupView = 12, ///< Who leads and who is in the group of jobs.
  ServerReports = 13, ///< Servers' reports, relayed to the leader of the jobs;
                      ///< encoded by the jobs module.
  FlushRequest = 14, ///< The leader of the jobs asks a relay to pass on what it
                     ///< keeps; encoded by the jobs module.
  LeaseQuery = 15,   ///< A new leader of the jobs asks a member when it last
                     ///< heard each server; encoded by the jobs module.
  ReportWitness = 16, ///< The leader of the jobs has a member record reports
                      ///< that it received; encoded by the jobs module.
  ClusterOrder = 17,  ///< An operator's order about jobs, passed on to the
                      ///< leader; a command of the jobs module.
  ConfigurationQuery = 18, ///< A read of the configuration of jobs, passed on
                           ///< to the leader; answered with a command that puts
                           ///< it.
  MemberPlace = 19, ///< The leader of jobs asks a member for its data centre.
};

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_MESSAGEKIND_H
