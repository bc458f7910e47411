//===- RequestTableTest.cpp -----------------------------------------------===//

#include "tulipweir/entry/RequestTable.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::entry;
using std::chrono::milliseconds;

namespace {

/// A reference implementation of RequestTable with a single list.
class ReferenceTable {
public:
  struct Row {
    int Key_, Digest_, Id_;
    TimePoint Deadline_;
    bool Owner_;
  };

  JoinResult join(int Key, int Digest, TimePoint Deadline, int Id) {
    for (const Row &Entry : Rows_)
      if (Entry.Key_ == Key && Entry.Owner_) {
        if (Entry.Digest_ != Digest)
          return JoinResult::Conflict;
        Rows_.push_back({Key, Digest, Id, Deadline, false});
        return JoinResult::Attached;
      }
    Rows_.push_back({Key, Digest, Id, Deadline, true});
    return JoinResult::Owner;
  }
  std::vector<int> end(int Key) {
    return removeIf([&](const Row &Entry) { return Entry.Key_ == Key; });
  }
  std::vector<int> sweep(TimePoint Now) {
    return removeIf([&](const Row &Entry) {
      return !Entry.Owner_ && Entry.Deadline_ <= Now;
    });
  }
  bool owns(int Key) const {
    return std::any_of(Rows_.begin(), Rows_.end(), [Key](const Row &Entry) {
      return Entry.Owner_ && Entry.Key_ == Key;
    });
  }

private:
  template <class Rule> std::vector<int> removeIf(Rule Matches) {
    std::vector<int> Waiters;
    for (const Row &Entry : Rows_)
      if (Matches(Entry) && !Entry.Owner_)
        Waiters.push_back(Entry.Id_);
    std::erase_if(Rows_, Matches);
    std::sort(Waiters.begin(), Waiters.end());
    return Waiters;
  }
  std::vector<Row> Rows_;
};

RequestKey makeKey(int Number) { return RequestKey(std::to_string(Number)); }

} // namespace

TEST(RequestTableTest, MatchesTheReferenceTableOnRandomSchedules) {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    SCOPED_TRACE(Seed);
    std::mt19937 Random(Seed);
    const auto Draw = [&](int Below) {
      return static_cast<int>(Random() % static_cast<unsigned>(Below));
    };
    RequestTable Table(3);
    ReferenceTable Reference;
    TimePoint Now;
    std::vector<int> Called;
    const auto CheckCalled = [&](const std::vector<int> &Expected) {
      std::sort(Called.begin(), Called.end());
      EXPECT_EQ(Called, Expected);
      Called.clear();
    };
    for (int Step = 0; Step < 400; ++Step) {
      const int Key = Draw(6);
      Now += milliseconds(Draw(5));
      if (const int Choice = Draw(10); Choice < 6) {
        const int Digest = Draw(8) == 0 ? 1 : 0;
        const TimePoint Deadline = Now + milliseconds(Draw(60));
        EXPECT_EQ(
            Table.join(makeKey(Key),
                       Digest ? tulipweir::Digest("x") : tulipweir::Digest("y"),
                       Deadline,
                       [&Called, Step](const FinalResult *) {
                         Called.push_back(Step);
                       }),
            Reference.join(Key, Digest, Deadline, Step));
      } else if (Choice < 8) {
        if (Reference.owns(Key)) {
          Table.end(makeKey(Key), FinalResult());
          CheckCalled(Reference.end(Key));
        }
      } else {
        Table.sweep(Now);
        CheckCalled(Reference.sweep(Now));
      }
    }
  }
}

TEST(RequestTableTest, ThreadsGetOneOwnerAtATimeAndEveryCallback) {
  RequestTable Table;
  std::atomic<int> Owners{0}, Most{0}, Attached{0}, Called{0};
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 2000; ++Round) {
        const JoinResult Joined =
            Table.join(makeKey(1), Digest("d"), TimePoint::max(),
                       [&](const FinalResult *) { ++Called; });
        if (Joined != JoinResult::Owner) {
          ++Attached;
          continue;
        }
        const int Now = ++Owners;
        if (Now > Most)
          Most = Now;
        --Owners;
        Table.end(makeKey(1), FinalResult());
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Most, 1);
  EXPECT_EQ(Called, Attached);
  EXPECT_EQ(Table.getOwnerCount() + Table.getWaiterCount(), 0U);
}
