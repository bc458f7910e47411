//===- PaceController.h - Speed of filling tasks ---------------*- C++ -*-===//
//
// Controls how fast filling tasks (best-effort work that uses idle processors)
// run beside serving tasks. planPaces computes the paces from the known
// interference and load; the controller stores them and drops changes that are
// too small for an order. As a feedback against what the model does not cover,
// a tail that stays over its target slows down all filling tasks on the
// server, in two steps, until it recovers. Pure.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_PACECONTROLLER_H
#define TULIPWEIR_SRC_JOBS_PACECONTROLLER_H

#include "tulipweir/core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace tulipweir::jobs {

/// By filling image, the percentage of full speed at which its tasks may run;
/// images that are not listed run at full speed.
using ImagePaces = std::map<std::string, std::uint64_t>;

/// The tails that one report contains, for a server with serving tasks.
struct TailReading {
  std::uint64_t TailPercent_ = 0; ///< The longest tail, of its target.
  bool HasFilling_ = false;       ///< A filling task there is not stopped.
};

/// Holds the paces of each server. Not thread-safe.
class PaceController {
public:
  static constexpr std::uint64_t FullPace = 100;

  // Commands.

  void reset() { Servers_.clear(); }
  /// Called when no task serves on the server any more, or the server is gone.
  void forget(const std::string &ServerId) { Servers_.erase(ServerId); }
  void update(const std::string &ServerId, const TailReading &Reading,
              const ImagePaces &Planned, TimePoint Now);

  // Queries.

  std::uint64_t getPace(const std::string &ServerId,
                        const std::string &Image) const;
  /// Returns the limit for all filling tasks on the server; full speed while no
  /// tail stays over its target.
  std::uint64_t getLimit(const std::string &ServerId) const;
  /// Returns the lowest pace of any image on the server.
  std::uint64_t getMinPace(const std::string &ServerId) const;
  /// Returns whether a pace changed recently or the limit is below full speed,
  /// so that the server should report more often.
  bool isAdjusting(const std::string &ServerId, TimePoint Now) const;
  /// Returns whether the server needs pace orders: some pace is below full
  /// speed, or was until recently.
  bool needsOrders(const std::string &ServerId, TimePoint Now) const;

private:
  struct ServerState {
    ImagePaces PlannedPaces_;
    std::uint64_t Limit_ = FullPace;
    double SmoothedPercent_ = 0; ///< Smoothed, as one report is noisy.
    TimePoint AdjustedAt_{};
    TimePoint LastGoodAt_{}; ///< When the smoothed tail was last good.
    TimePoint ChangedAt_{};
  };
  static void adjustLimit(ServerState &State, const TailReading &Reading,
                          TimePoint Now);
  static bool adoptPlan(ServerState &State, const ImagePaces &Planned);

  std::unordered_map<std::string, ServerState> Servers_;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_PACECONTROLLER_H
