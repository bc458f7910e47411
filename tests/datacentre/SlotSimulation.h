//===- SlotSimulation.h - Simulates slot grants under faults ----*- C++ -*-===//
//
// Runs one seeded schedule of entries that send requests under granted slots
// and follow the rules in SlotAllocator.h.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_DATACENTRE_SLOTSIMULATION_H
#define TULIPWEIR_TESTS_DATACENTRE_SLOTSIMULATION_H

#include "datacentre/FakeBackendServer.h"
#include "tulipweir/datacentre/SlotAllocator.h"

#include <functional>
#include <memory>
#include <random>

namespace tulipweir::datacentre {

struct SlotFaults {
  bool LeaderChanges_ = false;
  bool LateReplies_ = false; ///< Some entries also reach only an old leader.
  bool Deaths_ = false;      ///< Entries die or stop.
  bool Drift_ = false;
  bool Disorder_ = false;
};

class SlotSimulation {
public:
  SlotSimulation(const SlotFaults &Faults, unsigned Seed);
  std::string run(Duration Length);

  int Sent_ = 0;
  int Changes_ = 0;
  int BriefReports_ = 0; ///< Brief reports sent.
  int FullSteps_ = 0;    ///< Steps in which every slot of a server was granted.

private:
  struct ActiveRequest {
    std::size_t Server_;
    Duration Until_;
  };
  struct Entry {
    EntryId Id_;
    std::uint64_t Incarnation_ = 0;
    DriftingClock Clock_;
    bool Stopping_ = false;
    std::uint64_t Version_ = 0;
    std::uint64_t HighestVersion_ = 0; ///< The highest version accepted.
    TimePoint GrantEnd_;
    std::vector<SlotAmount> Granted_;
    std::vector<std::size_t> Order_; ///< Servers in table order.
    std::uint64_t KnownVersion_ = 0; ///< Version in the last reply.
    std::vector<ActiveRequest> ActiveRequests_;
    Duration OldLeaderUntil_{};
  };
  struct Leader {
    DriftingClock Clock_;
    Duration LeadsUntil_{};
    std::unique_ptr<SlotAllocator> Allocator_;
  };
  struct Message {
    Duration Due_;
    std::function<void()> Deliver_;
  };

  int pick(int Count) { return static_cast<int>(Random_() % Count); }
  DriftingClock makeClock();
  std::shared_ptr<Entry> makeEntry(int Number);
  void elect();
  void send(std::function<void()> Deliver, bool FromLeader);
  void makeBriefReport(const Entry &Process, wire::EntryReport &Report);
  void report(const std::shared_ptr<Entry> &Process);
  void onReport(Leader &At, const wire::EntryReport &Report,
                const std::shared_ptr<Entry> &Process, TimePoint SentAt);
  void onReply(Entry &Process, const wire::EntryReportReply &Reply,
               std::uint64_t VersionAtSend, TimePoint SentAt);
  void stepEntry(std::size_t Number);
  std::uint32_t countActiveRequests(const Entry &Process,
                                    std::size_t Server) const;
  void sendUsageSample();
  std::string check();

  const SlotFaults Faults_;
  std::mt19937 Random_;
  Duration RealTime_{};
  SlotSettings Settings_;
  std::vector<SlotServer> Servers_;
  std::vector<std::shared_ptr<Entry>> Entries_;
  std::vector<ActiveRequest> Orphans_; ///< Requests of dead entries.
  std::vector<std::unique_ptr<Leader>> Leaders_;
  std::vector<Message> Messages_;
  Duration NextElection_{};
  std::uint64_t NextIncarnation_ = 1;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_SLOTSIMULATION_H
