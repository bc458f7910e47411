//===- StandInServer.h - One backend server of a test ----------*- C++ -*-===//
//
// Announces itself to an entry, serves requests in its slots, runs tasks, and
// goes wrong as its faults say.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_STANDINSERVER_H
#define TULIPWEIR_TOOLS_STANDIN_STANDINSERVER_H

#include "standin/AuditLog.h"
#include "standin/Faults.h"
#include "standin/FaultyHttpServer.h"
#include "standin/ServiceMeter.h"
#include "standin/TaskTable.h"

#include "tulipweir/net/HttpClient.h"
#include "tulipweir/net/IoPool.h"

#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace tulipweir::standin {

struct StandInServerSettings {
  BackendServerId Server_;
  DataCentreId DataCentre_;
  RackId Rack_;
  std::vector<ServiceId> Services_;
  std::uint32_t Slots_ = 8;
  std::uint32_t Connections_ = 64;
  net::Endpoint Listen_;
  std::vector<net::Endpoint> Entries_;
  Duration ServiceTime_ = std::chrono::milliseconds(2);
  bool ServiceTimeFixed_ = false; ///< Otherwise exponential.
  Duration AnnounceTimeout_ = std::chrono::milliseconds(700);
  Duration DrainHold_ = std::chrono::seconds(3);
  std::uint64_t Seed_ = 1;
  TaskTableSettings Tasks_;
};

/// What the admin API and the dump show.
struct StandInServerStatus {
  std::string Server_;
  std::string Boot_;
  std::string Address_;
  std::size_t TasksRunning_ = 0;
  std::uint32_t InFlight_ = 0;
  std::uint64_t Announced_ = 0; ///< Announcements that were answered.
  std::uint64_t AnnounceFailures_ = 0;
  std::uint64_t Served_ = 0;
  Faults Faults_;
};

/// Thread-safe. Hold it by shared_ptr: timers keep it alive.
class StandInServer : public std::enable_shared_from_this<StandInServer> {
public:
  StandInServer(net::IoPool &Pool, net::HttpClient &Client, AuditLog &Audit,
                const StandInServerSettings &Settings);

  Outcome<net::Endpoint> start();
  /// Called every few milliseconds: tasks work, announcements leave.
  void tick(TimePoint Now);
  void setFault(std::int64_t Faults::*Member, std::int64_t Value);
  /// Everything in progress is gone; it comes back under a new boot id.
  void crash();
  /// Announces that it leaves; isDrained says when it may.
  void beginDraining();

  bool isDrained(TimePoint Now) const;
  StandInServerStatus getStatus() const;
  std::vector<wire::AttemptReport> getTasks() const;

private:
  struct Request {
    net::HttpRequest Message_;
    FaultyRespond Respond_;
    AuditRequest Audit_;
    std::string Boot_;
    TimePoint StartedAt_;
  };

  void handle(net::HttpRequest Message, FaultyRespond Respond);
  void run(std::shared_ptr<Request> Running);
  void finish(std::shared_ptr<Request> Running);
  void answer(const Request &Running);
  net::HttpResponse makeAnswer(const Request &Running) const;
  Duration drawServiceTime(const net::HttpRequest &Message);
  void announce(TimePoint Now);
  void noteReply(TimePoint SentAt, const std::string &Boot,
                 const std::vector<wire::AttemptReport> &Sent,
                 const net::HttpResult &Result);
  wire::Announcement makeAnnouncement(TimePoint Now);
  void writeEvents(const std::vector<TaskEvent> &Events);
  std::string makeBoot();
  AuditSource getSource() const { return {Settings_.Server_.value(), Boot_}; }

  net::IoPool &Pool_;
  net::HttpClient &Client_;
  AuditLog &Audit_;
  const StandInServerSettings Settings_;

  mutable std::mutex Lock_; ///< Guards all below.
  std::mt19937_64 Random_;
  std::string Boot_;
  net::Endpoint Address_;
  std::unique_ptr<FaultyHttpServer> Http_;
  TaskTable Tasks_;
  ServiceMeter Meter_;
  Faults Faults_;
  std::vector<std::function<void()>> Held_; ///< Waits for the thaw.
  std::uint32_t InFlight_ = 0;
  std::uint64_t Sequence_ = 0;
  std::uint64_t Announced_ = 0;
  std::uint64_t AnnounceFailures_ = 0;
  std::uint64_t Served_ = 0;
  std::size_t EntryInUse_ = 0;
  bool AnnouncePending_ = false;
  TimePoint NextAnnounce_{};
  Duration Heartbeat_ = std::chrono::milliseconds(500);
  TimePoint DrainKnownAt_ = TimePoint::max();
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_STANDINSERVER_H
