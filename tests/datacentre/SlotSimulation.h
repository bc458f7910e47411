//===- SlotSimulation.h - Simulates slot grants under faults ----*- C++ -*-===//
//
// One seeded schedule of entries that send requests under granted slots. The
// entries keep the rules of SlotAllocator.h.
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
  bool LateReplies_ = false; ///< And entries that see only an old leader.
  bool Deaths_ = false;      ///< Of entries; and planned stops.
  bool Drift_ = false;
  bool Disorder_ = false;
};

class SlotSimulation {
public:
  SlotSimulation(const SlotFaults &Faults, unsigned Seed);
  std::string run(Duration Length);

  int Sent_ = 0;
  int Changes_ = 0;
  int Brief_ = 0;     ///< Reports.
  int FullSteps_ = 0; ///< Steps in which every slot of a server was granted.

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
    std::uint64_t HighestVersion_ = 0; ///< Ever taken.
    TimePoint GrantEnd_;
    std::vector<SlotAmount> Granted_;
    std::vector<std::size_t> Order_; ///< Of the table, for brief reports.
    std::uint64_t KnownVersion_ = 0; ///< Of the last reply.
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
  void makeBriefReport(const Entry &From, wire::EntryReport &Report);
  void report(const std::shared_ptr<Entry> &From);
  void onReport(Leader &At, const wire::EntryReport &Report,
                const std::shared_ptr<Entry> &From, TimePoint SentAt);
  void onReply(Entry &To, const wire::EntryReportReply &Reply,
               std::uint64_t VersionAtSend, TimePoint SentAt);
  void stepEntry(std::size_t Number);
  std::uint32_t countActiveRequests(const Entry &Of, std::size_t Server) const;
  void sendUsageSample();
  std::string check();

  const SlotFaults Faults_;
  std::mt19937 Random_;
  Duration RealTime_{};
  SlotSettings Settings_;
  std::vector<SlotServer> Servers_;
  std::vector<std::shared_ptr<Entry>> Entries_;
  std::vector<ActiveRequest> Orphans_; ///< Of dead entries.
  std::vector<std::unique_ptr<Leader>> Leaders_;
  std::vector<Message> Messages_;
  Duration NextElection_{};
  std::uint64_t NextIncarnation_ = 1;
};

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_TESTS_DATACENTRE_SLOTSIMULATION_H
