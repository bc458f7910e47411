//===- ServerChooser.h - Load balancing over backend servers ---*- C++ -*-===//
//
// Chooses among the backend servers of one service that granted slots to this
// entry: of two random servers the one with the lower cost
//   (in flight + 1) / slots x recent latency / (success rate) squared.
// Servers that fail or are much slower than the others are ejected for a
// while, but never more than a configured ratio of them. After that time an
// ejected server gets one probe request at a time until one succeeds. Every
// call but setServers takes constant time.
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
  /// 0 keeps the server's statistics but sends it nothing.
  std::uint32_t Slots_ = 0;
  bool operator==(const GrantedServer &) const = default;
};

enum class RequestResult : std::uint8_t {
  Served, ///< A complete answer with any HTTP status under 500.
  Busy,   ///< "Busy, not run": the server is full, but healthy.
  Failed, ///< Connection error, timeout, 5xx or a damaged answer.
};

struct ChooserSettings {
  /// Consecutive failures that eject a server, 1 or more.
  std::uint32_t FailuresToEject_ = 5;
  /// A server is ejected when its latency exceeds the mean of all servers by
  /// this factor, over 1.
  double LatencyOutlierFactor_ = 5;
  /// Answers needed before a server is ejected for its latency or success rate.
  std::uint32_t MinAnswers_ = 20;
  /// Largest ratio of granted servers that may be ejected at a time, 0 to 1.
  double MaxEjectedRatio_ = 0.3;
  /// Length of the first ejection. It doubles on each relapse up to the
  /// maximum.
  Duration EjectTime_ = std::chrono::seconds(5);
  Duration MaxEjectTime_ = std::chrono::seconds(60);
  /// Weight of a new latency in the moving average, 0 to 1.
  double LatencySmoothing_ = 0.1;
  /// Time without an answer in which the weight of a server's latency halves.
  Duration LatencyHalfLife_ = std::chrono::seconds(5);
  bool operator==(const ChooserSettings &) const = default;
};

/// The statistics of one server, for dumps.
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

  /// Replaces the granted servers. Requests in flight on a server that is no
  /// longer granted are counted until they end.
  void setServers(const std::vector<GrantedServer> &Servers, TimePoint Now);
  /// Records that a request was sent to Server.
  void recordStart(const BackendServerId &Server);
  /// Frees the slot of a started request and updates the server's statistics
  /// with the result, which may eject the server.
  void recordEnd(const BackendServerId &Server, RequestResult Result,
                 Duration Latency, TimePoint Now);
  /// Frees the slot of a started request whose end says nothing about the
  /// server. The statistics do not change.
  void releaseSlot(const BackendServerId &Server);
  /// Returns a server with a free slot, other than Excluded (one that was tried
  /// before); nullopt if there is none. Draws random numbers and ends expired
  /// ejections, but takes no slot.
  std::optional<BackendServerId>
  choose(TimePoint Now,
         const std::optional<BackendServerId> &Excluded = std::nullopt);

  // Queries.

  /// The free slots of the servers that may be chosen now, and the granted
  /// slots of all servers.
  std::size_t freeSlots() const { return FreeSlots_; }
  std::size_t totalSlots() const { return TotalSlots_; }
  /// Returns the mean latency of served requests over all servers; 0 before the
  /// first one.
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
    double Latency_ = 0; ///< Microseconds; 0 before the first answer.
    /// Moving average of the ratio of served requests.
    double SuccessRate_ = 1;
    Health Health_ = Health::Good;
    Duration EjectTime_{};
    TimePoint EjectedUntil_;
    TimePoint AnsweredAt_;
    std::size_t AvailableIndex_ = NoIndex; ///< Index in Available_.
    std::size_t CountedFreeSlots_ = 0;     ///< The server's part of FreeSlots_.
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
  /// Indexes of the servers with a free slot.
  std::vector<std::size_t> Available_;
  /// At most MaxEjectedRatio_ of all servers.
  std::vector<std::size_t> Ejected_;
  TimePoint NextProbe_ = TimePoint::max();
  std::size_t GrantedCount_ = 0;
  std::size_t TotalSlots_ = 0;
  std::size_t FreeSlots_ = 0;
  double MeanLatency_ = 0;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_SERVERCHOOSER_H
