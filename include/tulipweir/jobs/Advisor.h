//===- Advisor.h - Interface of the external advice service ----*- C++ -*-===//
//
// Some queues let an external service decide which backend servers may run a
// step. Each request names some servers; the answer lists the eligible ones,
// each with a ticket that the start order on that server must carry.
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

struct StepKeyHash {
  std::size_t operator()(const StepKey &Step) const {
    return std::hash<std::string>()(Step.Job_) + Step.Occurrence_ * 31 +
           Step.Step_;
  }
};

/// A server that is eligible to run the step.
struct EligibleServer {
  std::string Server_; ///< The server's id.
  std::string Ticket_;
  bool operator==(const EligibleServer &) const = default;
};

struct Advice {
  std::vector<EligibleServer> EligibleServers_;
  /// How long the tickets are valid; zero means the time that the queue's
  /// configuration sets.
  Duration ValidFor_{};
  bool operator==(const Advice &) const = default;
};

class Advisor {
public:
  using Done = std::function<void(Outcome<Advice>)>;

  virtual ~Advisor() = default;
  /// Returns false if the deployment has no advice service.
  virtual bool isAvailable() const = 0;
  /// Asks about servers by their ids. The tickets are valid for the
  /// incarnations that run now. Calls Reply once, on any thread, within Limit.
  /// Fails with Overfull if the service is overloaded.
  virtual void ask(const StepKey &Step, const std::vector<std::string> &Servers,
                   Duration Limit, Done Reply) = 0;
};

/// Used by deployments without an advice service.
class NullAdvisor final : public Advisor {
public:
  bool isAvailable() const override { return false; }
  void ask(const StepKey &, const std::vector<std::string> &, Duration,
           Done Reply) override {
    Reply(
        fail(ErrorCode::Unavailable, "this deployment has no advice service"));
  }
};

} // namespace tulipweir::jobs

#endif // TULIPWEIR_JOBS_ADVISOR_H
