//===- ProcessTarget.h - Running programs under load ------------*- C++ -*-===//
//
// Drives a control and an entry at the given addresses over HTTP in real time.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_BENCH_PLATFORM_PROCESSTARGET_H
#define TULIPWEIR_BENCH_PLATFORM_PROCESSTARGET_H

#include "FleetTarget.h"

#include "tulipweir/net/HttpClient.h"
#include "tulipweir/net/IoPool.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace tulipweir::bench {

class ProcessTarget final : public FleetTarget {
public:
  ProcessTarget(const net::Endpoint &Control, const net::Endpoint &Entry);
  ~ProcessTarget() override;
  void configure(const std::string &Body) override;
  void submit(const std::string &Path, const std::string &Body) override;
  void report(const std::string &Server, const std::string &Body,
              ReplyHandler Done) override;
  void advance(int Ms) override;
  /// Always returns false: requests for the state of jobs would add load.
  bool isCompleted(const std::string &) override { return false; }
  /// Returns 0: the processor time is measured from outside, by process id.
  double getCpuSeconds() override { return 0; }

private:
  void send(const net::Endpoint &To, const char *Method,
            const std::string &Path, const std::string &Body,
            ReplyHandler Done);

  void updateReportEndpoint(const std::string &Server,
                            const std::string &Answer);

  const net::Endpoint Control_;
  const net::Endpoint Entry_;
  /// Report addresses by server; other servers report to Control_.
  std::map<std::string, net::Endpoint> ReportEndpoints_;
  std::mutex Lock_;
  std::deque<std::function<void()>> Answers_; ///< Guarded by Lock_.
  net::IoPool Pool_{1};
  net::HttpClient Client_;
};

} // namespace tulipweir::bench

#endif // TULIPWEIR_BENCH_PLATFORM_PROCESSTARGET_H
