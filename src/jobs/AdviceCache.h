//===- AdviceCache.h - Cached answers of the advice service ----*- C++ -*-===//
//
// For each step of a queue that needs advice, the cache holds the servers that
// may run it, with their tickets, and computes the next request. The
// eligibility of one server incarnation never changes; only its ticket
// expires.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ADVICECACHE_H
#define TULIPWEIR_SRC_JOBS_ADVICECACHE_H

#include "tulipweir/jobs/Advisor.h"
#include "tulipweir/jobs/JobRegistry.h"

#include <functional>
#include <map>
#include <optional>

namespace tulipweir::jobs {

/// A request to the advice service.
struct AdviceRequest {
  StepKey Step_;
  std::vector<std::string> Servers_;
  AdvicePolicy Times_; ///< The settings of the step's queue.
  bool operator==(const AdviceRequest &) const = default;
};

/// Answers of the advice service by step and server. Not thread-safe.
class AdviceCache {
public:
  // Commands.

  void reset();
  /// Stores the answer to a request.
  void addAnswer(const AdviceRequest &Request, const Advice &Answer,
                 TimePoint Now);
  /// Removes the steps of jobs that have ended.
  void prune(const JobRegistry &Registry);

  // Queries.

  /// Returns the ticket with which the step may start on the server, if it
  /// stays valid until a start order arrives; otherwise nullptr.
  const std::string *findTicket(const StepKey &Step,
                                const std::string &ServerId,
                                TimePoint Now) const;
  /// Returns the next request: the first step in scheduling order with fewer
  /// startable places than waiting tasks, and the usable servers with the most
  /// free capacity. Returns nothing if no request is needed.
  std::optional<AdviceRequest> findNextRequest(
      const JobRegistry &Registry,
      const std::function<bool(const std::string &ServerId)> &IsUsable,
      TimePoint Now) const;

private:
  struct ServerAdvice {
    bool IsEligible_ = false;
    std::string Ticket_;
    TimePoint Until_{}; ///< The ticket is valid until this time.
  };
  using ServerAdviceMap = std::map<std::string, ServerAdvice>;

  std::uint64_t countStartable(
      const JobRegistry &Registry, const ReadyStep &Ready,
      const std::function<bool(const std::string &ServerId)> &IsUsable,
      TimePoint Now) const;
  std::size_t computeRequestSize(std::uint64_t Missing) const;

  std::map<StepKey, ServerAdviceMap> Steps_;
  /// Over all answers: the servers asked about, and the eligible ones.
  double AskedCount_ = 0;
  double EligibleCount_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ADVICECACHE_H
