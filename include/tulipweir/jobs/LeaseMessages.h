//===- LeaseMessages.h - Messages about leases of earlier leaders -*- C++
//-*-===//
//
// A leader keeps the ends of servers' leases in memory only. Every lease counts
// from a time at or before the receipt of a server's report, so the members
// that received the reports know the latest time from which a lease can count.
// A new leader asks them, instead of waiting for the longest lease that an
// earlier leader can have granted.
//
// Reports that a leader receives itself are recorded by another member before
// the leader handles them, so that they are known if the leader is lost.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_LEASEMESSAGES_H
#define TULIPWEIR_JOBS_LEASEMESSAGES_H

#include "tulipweir/core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::jobs {

/// A new leader's question to another member. Its sender has every report that
/// it receives itself recorded by another member for as long as it leads.
struct LeaseQuery {
  std::string From_; ///< The name of the leader.
  std::uint64_t Term_ = 0;
  /// Only tells members that started since who leads; the answer is empty.
  bool IsNotice_ = false;
  bool operator==(const LeaseQuery &) const = default;
};

/// A server and the age of the last report that a member received from it.
struct HeardServer {
  std::string Server_;
  std::uint64_t AgeMs_ = 0;
  bool operator==(const HeardServer &) const = default;
};

/// A member's answer to LeaseQuery.
struct LeaseQueryReply {
  /// The age of the member's memory: it lists all reports of that time.
  std::uint64_t MemoryMs_ = 0;
  std::vector<HeardServer> Heard_;
  bool operator==(const LeaseQueryReply &) const = default;
};

/// Asks another member to record that the leader has received reports of these
/// servers.
struct WitnessRequest {
  std::string From_; ///< The name of the leader.
  std::vector<std::string> Servers_;
  bool operator==(const WitnessRequest &) const = default;
};

std::string encodeLeaseQuery(const LeaseQuery &Query);
Outcome<LeaseQuery> decodeLeaseQuery(std::string_view Bytes);
std::string encodeLeaseQueryReply(const LeaseQueryReply &Reply);
Outcome<LeaseQueryReply> decodeLeaseQueryReply(std::string_view Bytes);
std::string encodeWitnessRequest(const WitnessRequest &Request);
Outcome<WitnessRequest> decodeWitnessRequest(std::string_view Bytes);

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_LEASEMESSAGES_H
