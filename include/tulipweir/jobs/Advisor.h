//===- Advisor.h - Which servers may run a step ----------------*- C++ -*-===//
//
// Some queues leave it to another service which servers may run a step. It is
// asked about some servers at a time and names those that may, each with a
// ticket that a start there has to carry.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBS_ADVISOR_H
#define TULIPWEIR_JOBS_ADVISOR_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace tulipweir::jobs {

/// A step of one occurrence of a job.
struct StepKey {
  std::string Job_;
  std::uint64_t Occurrence_ = 0;
  std::uint64_t Step_ = 0;
  auto operator<=>(const StepKey &) const = default;
};

/// A server that may run the step.
struct AdvisedServer {
  std::string Server_; ///< This incarnation of it.
  std::string Ticket_;
  bool operator==(const AdvisedServer &) const = default;
};

struct Advice {
  std::vector<AdvisedServer> Good_;
  /// How long the tickets hold; zero: as the queue's configuration says.
  Duration ValidFor_{};
  bool operator==(const Advice &) const = default;
};

class Advisor {
public:
  using Done = std::function<void(Outcome<Advice>)>;

  virtual ~Advisor() = default;
  /// False where the deployment has no such service.
  virtual bool isThere() const = 0;
  /// Calls Done once, on any thread, after Limit at the latest. Fails with
  /// Overfull when the service has too much to do.
  virtual void ask(const StepKey &Step, const std::vector<std::string> &Servers,
                   Duration Limit, Done Reply) = 0;
};

/// For deployments without such a service.
class NoAdvisor final : public Advisor {
public:
  bool isThere() const override { return false; }
  void ask(const StepKey &, const std::vector<std::string> &, Duration,
           Done Reply) override {
    Reply(fail(ErrorCode::Unavailable, "there is no advice service"));
  }
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_ADVISOR_H
