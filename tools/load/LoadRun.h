//===- LoadRun.h - An open-loop caller -------------------------*- C++ -*-===//
//
// Sends requests at times that were fixed beforehand, whatever became of the
// earlier ones, and judges each answer.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_LOAD_LOADRUN_H
#define TULIPWEIR_TOOLS_LOAD_LOADRUN_H

#include "load/LoadReport.h"
#include "load/LoadSettings.h"

#include "tulipweir/net/HttpClient.h"
#include "tulipweir/net/IoPool.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace tulipweir::load {

/// One run. Thread-safe towards the network's callbacks.
class LoadRun {
public:
  explicit LoadRun(const LoadSettings &Settings);

  /// Sends for the warm-up and the length, then waits for the last answers.
  void run();
  /// Makes run() end early.
  void stop() { Stopping_ = true; }
  std::string renderReport() const { return Report_.render(Length_); }
  bool hasWrongAnswers() const {
    return Report_.getCount(RequestOutcome::Wrong) != 0;
  }

private:
  struct Call {
    std::uint64_t Number_ = 0;
    TimePoint IntendedAt_;
    bool Counted_ = true;
    std::string Key_; ///< A ticket or our own; empty without.
    std::string Id_;  ///< Unique; the answer must carry it.
    std::int64_t ResendsLeft_ = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  Duration drawGap();
  void begin(std::uint64_t Number, TimePoint IntendedAt, bool Counted);
  void takeTicket(const CallPtr &Current);
  void send(const CallPtr &Current);
  void judge(const CallPtr &Current, const net::HttpResult &Result);
  void finish(const Call &Current, RequestOutcome Outcome, unsigned Status);
  net::HttpRequest makeRequest(const Call &Current) const;
  RequestOutcome readOutcome(const Call &Current,
                             const net::HttpResponse &Response) const;
  bool isWhole(const Call &Current, const net::HttpResponse &Response) const;
  const net::Endpoint &nextTarget();

  const LoadSettings Settings_;
  const std::vector<net::Endpoint> Targets_;
  const std::string Body_;
  const std::string RunId_;
  Duration Length_;
  std::mt19937_64 Random_; ///< Only the sending thread draws.
  std::atomic<std::uint64_t> TargetInUse_{0};
  std::atomic<bool> Stopping_{false};
  LoadReport Report_;
  std::mutex Lock_; ///< Guards the two below and RequestLog_.
  std::condition_variable AllAnswered_;
  std::uint64_t Open_ = 0;
  std::ofstream RequestLog_;
  net::IoPool Pool_;
  net::HttpClient Client_;
};

} // namespace tulipweir::load

#endif // TULIPWEIR_TOOLS_LOAD_LOADRUN_H
