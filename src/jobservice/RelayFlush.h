//===- RelayFlush.h - Requests buffered reports from relays -----*- C++ -*-===//
//
// The leader sends a flush request to every other member. A relay answers with
// a batch of reports on the link that carries all its batches, so its earlier
// batches have arrived by then. Lost members are not waited for. Requests that
// fail or get no answer are sent again.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_RELAYFLUSH_H
#define TULIPWEIR_SRC_JOBSERVICE_RELAYFLUSH_H

#include "tulipweir/core/Executor.h"
#include "tulipweir/jobs/ReportBatch.h"
#include "tulipweir/jobs/ReportRelays.h"
#include "tulipweir/replication/Replica.h"

#include <map>
#include <memory>

namespace tulipweir::jobservice {

/// All members are called on one executor, and callbacks run there.
class RelayFlush final : public jobs::ReportRelays {
public:
  /// Sends a request to a member. Failed is called on the executor if the
  /// request may not have arrived.
  using SendRequest =
      std::function<void(const std::string &Member, jobs::FlushRequest,
                         std::function<void()> Failed)>;
  /// Returns the status of this member's replica.
  using GetStatus = std::function<replication::ReplicaStatus()>;

  /// Self is this member's name. Time must outlive it.
  RelayFlush(std::string Self, const Clock &Time, GetStatus FindStatus,
             SendRequest Send);

  // Commands.

  void flush(const std::string &ServerId, std::function<void()> Done) override;
  void findHeard(const std::vector<std::string> &ServerIds,
                 std::function<void(Heard)> Done) override;
  jobs::PartialAnswer
  findPartialAnswer(const std::vector<std::string> &ServerIds) const override;
  /// Completes a request. Called once the reports of the batch that answers it
  /// have been handled.
  void onBatch(std::uint64_t FlushId, const std::vector<std::string> &Servers);
  /// Resends requests without an answer, and gives up those that took too long.
  /// Called periodically.
  void retryExpired();

private:
  struct Round {
    std::vector<std::string> Servers_;
    bool OnlySilent_ = false;
    std::size_t Unanswered_ = 0; ///< Members that have not answered.
    Heard Heard_;
    std::function<void(Heard)> Done_;
    TimePoint StartedAt_;
  };
  /// A request to one member.
  struct PendingRequest {
    std::shared_ptr<Round> Round_;
    std::string Member_;
    bool HasFailed_ = false;
    TimePoint SentAt_{};
  };

  void startRound(Round Initial);
  void sendRequest(std::uint64_t Id);
  void completeRequest(std::uint64_t Id,
                       const std::vector<std::string> &Servers);

  const std::string Self_;
  const Clock &Time_;
  const GetStatus FindStatus_;
  const SendRequest SendRequest_;
  std::uint64_t LastId_ = 0;
  std::map<std::uint64_t, PendingRequest> Requests_;
  /// Invalidates callbacks that run after destruction.
  std::shared_ptr<RelayFlush *> Alive_ = std::make_shared<RelayFlush *>(this);
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_RELAYFLUSH_H
