//===- ServerChooser.h - Which backend server gets a request ---*- C++ -*-===//
//
// An entry's choice among the backend servers of one service on which it was
// granted slots: the better of two random ones by
//   (in flight + 1) / slots x recent latency / (share of successes) squared.
// Servers that fail or lag far behind the others are ejected for a while, but
// never more than a part of them; an ejected one comes back by a single probe
// at a time. Every call takes constant time but for setServers.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_SERVERCHOOSER_H
#define TULIPWEIR_DECIDE_SERVERCHOOSER_H

#include "tulipweir/core/Ids.h"
#include "tulipweir/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace tulipweir::decide {

/// Slots of one backend server that this entry may use.
struct GrantedServer {
  BackendServerId Server_;
  std::uint32_t Slots_ = 0; ///< 0 keeps its history but sends nothing.
  bool operator==(const GrantedServer &) const = default;
};

enum class RequestResult : std::uint8_t {
  Served, ///< A whole answer came, whatever its HTTP status under 500.
  Busy,   ///< "Busy, not run": full, yet healthy.
  Failed, ///< Connection, timeout, 5xx or a damaged answer.
};

struct ChooserSettings {
  /// Failures in a row that eject a server, 1 or more.
  std::uint32_t FailuresToEject_ = 5;
  /// A latency over this multiple of all servers' mean ejects, over 1.
  double LatencyOutlierFactor_ = 5;
  /// Answers needed before latency may eject.
  std::uint32_t MinAnswers_ = 20;
  /// Most servers that may be ejected at a time, 0 to 1 of all granted.
  double MaxEjectedRatio_ = 0.3;
  /// First ejection's length; doubles up to the longest on each relapse.
  Duration EjectTime_ = std::chrono::seconds(5);
  Duration MaxEjectTime_ = std::chrono::seconds(60);
  /// Part of a new latency in the average, 0 to 1.
  double LatencySmoothing_ = 0.1;
  /// After this time without an answer a server's latency is half forgotten.
  Duration LatencyHalfLife_ = std::chrono::seconds(5);
  bool operator==(const ChooserSettings &) const = default;
};

/// What is known of one server, for dumps.
struct ChooserServerView {
  BackendServerId Server_;
  std::uint32_t Slots_ = 0;
  std::uint32_t InFlight_ = 0;
  double LatencyMicros_ = 0;
  double SuccessPart_ = 1;
  bool Ejected_ = false;
  bool operator==(const ChooserServerView &) const = default;
};

/// Not thread-safe: guarded by its shard's lock.
class ServerChooser {
public:
  ServerChooser(const ChooserSettings &Settings, std::uint64_t Seed);

  // Commands.

  /// Replaces the granted servers. What is in flight on a server that is no
  /// longer granted is still counted until it ends.
  void setServers(const std::vector<GrantedServer> &Servers, TimePoint Now);
  /// A request goes out to Server_.
  void recordStart(const BackendServerId &Server);
  /// A request that was noted as started ended.
  void recordEnd(const BackendServerId &Server, RequestResult Result,
                 Duration Latency, TimePoint Now);
  /// A request that was noted as started ended in a way that says nothing of
  /// the server: nothing is learned, only its slot is free again.
  void releaseSlot(const BackendServerId &Server);
  /// Picks a server with a free slot, other than Except (one that was tried
  /// before); nullopt if there is none. Draws random numbers and ends
  /// ejections whose time is over; takes no slot.
  std::optional<BackendServerId>
  choose(TimePoint Now,
         const std::optional<BackendServerId> &Excluded = std::nullopt);

  // Queries.

  /// Free slots over the servers that may be chosen now, and granted ones
  /// over all.
  std::size_t freeSlots() const { return FreeSlots_; }
  std::size_t totalSlots() const { return TotalSlots_; }
  /// Mean latency of served requests over all servers; 0 before the first.
  Duration meanLatency() const;
  std::vector<ChooserServerView> listServers() const;

private:
  enum class Health : std::uint8_t { Good, Ejected, Probing };

  struct ServerState {
    BackendServerId Server_;
    std::uint32_t Slots_ = 0;
    std::uint32_t InFlight_ = 0;
    std::uint32_t FailuresInRow_ = 0;
    std::uint32_t Answers_ = 0;
    double Latency_ = 0;     ///< Microseconds; 0 before the first answer.
    double SuccessRate_ = 1; ///< Average part of requests served.
    Health Health_ = Health::Good;
    Duration EjectTime_{};
    TimePoint EjectedUntil_;
    TimePoint AnsweredAt_;
    std::size_t AvailableIndex_ = NoIndex; ///< In Available_.
    std::size_t CountedFreeSlots_ = 0;     ///< Its part of FreeSlots_.
  };

  static constexpr std::size_t NoIndex = ~std::size_t{0};

  static std::size_t getSlotLimit(const ServerState &State);
  double computeCost(const ServerState &State, TimePoint Now) const;
  bool isOutlier(const ServerState &State) const;
  bool canEject() const;
  void updateStatistics(ServerState &State, RequestResult Result,
                        Duration Latency, TimePoint Now);
  void updateHealth(ServerState &State, RequestResult Result, TimePoint Now);
  void eject(ServerState &State, TimePoint Now);
  void startProbes(TimePoint Now);
  void updateAvailability(std::size_t Position);

  ChooserSettings Settings_;
  std::mt19937_64 Random_;
  std::unordered_map<BackendServerId, std::size_t> Positions_;
  std::vector<ServerState> States_;
  std::vector<std::size_t> Available_; ///< Those with a free slot.
  std::vector<std::size_t> Ejected_;   ///< At most MaxEjectedRatio_ of all.
  TimePoint NextProbe_ = TimePoint::max();
  std::size_t GrantedCount_ = 0;
  std::size_t TotalSlots_ = 0;
  std::size_t FreeSlots_ = 0;
  double MeanLatency_ = 0;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_SERVERCHOOSER_H
