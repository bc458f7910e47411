//===- AdviceCache.h - What the advice service has said ---------*- C++ -*-===//
//
// Keeps, for each step of a queue that needs advice, which servers may run it,
// with their tickets, and decides what to ask next. Whether a server may run a
// step never changes for one incarnation; only its ticket expires.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBS_ADVICECACHE_H
#define TULIPWEIR_SRC_JOBS_ADVICECACHE_H

#include "tulipweir/jobs/Advisor.h"
#include "tulipweir/jobs/JobBook.h"

#include <functional>
#include <map>
#include <optional>

namespace tulipweir::jobs {

/// One call to the advice service.
struct AdviceQuestion {
  StepKey Step_;
  std::vector<std::string> Servers_;
  AdviceTimes Times_; ///< Of the step's queue.
  bool operator==(const AdviceQuestion &) const = default;
};

/// Not thread-safe.
class AdviceBook {
public:
  // Commands.

  void reset();
  /// Takes in the answer to a question.
  void note(const AdviceQuestion &Question, const Advice &Answer,
            TimePoint Now);
  /// Forgets steps of jobs that have ended.
  void prune(const JobBook &Book);

  // Queries.

  /// The ticket with which the step may start on the server if the order gets
  /// there soon; nullptr without one.
  const std::string *findTicket(const StepKey &Step,
                                const std::string &ServerId,
                                TimePoint Now) const;
  /// What to ask next: the first step in the order of service that has fewer
  /// servers to go to than tasks that wait, and the servers that have the most
  /// room among those that may be used. Nothing if all is known.
  std::optional<AdviceQuestion>
  findQuestion(const JobBook &Book,
               const std::function<bool(const std::string &ServerId)> &IsUsable,
               TimePoint Now) const;

private:
  struct Said {
    bool MayRun_ = false;
    std::string Ticket_;
    TimePoint Until_{}; ///< The ticket holds until then.
  };
  using SaidOfServers = std::map<std::string, Said>;

  std::uint64_t
  countOpen(const JobBook &Book, const ReadyStep &Ready,
            const std::function<bool(const std::string &ServerId)> &IsUsable,
            TimePoint Now) const;
  std::size_t planCount(std::uint64_t Missing) const;

  std::map<StepKey, SaidOfServers> Steps_;
  /// Of all servers asked about so far, how many could be used.
  double Asked_ = 0;
  double Good_ = 0;
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_SRC_JOBS_ADVICECACHE_H
