//===- PlaceSurveyTest.cpp - In which data centres members are ------------===//

#include "jobservice/PlaceSurvey.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

namespace {

/// A replica that stores the places it is told.
class PlacesReplica final : public replication::Replica {
public:
  void propose(std::string, AppliedCallback) override {}
  void receive(std::string) override {}
  void confirmLeadership(std::function<void(Outcome<void>)>) override {}
  std::optional<std::uint64_t> findLeaseTerm(TimePoint) const override {
    return std::nullopt;
  }
  replication::ReplicaStatus getStatus() const override { return {}; }
  void addLearner(replication::MemberId,
                  std::function<void(Outcome<void>)>) override {}
  void promote(replication::MemberId,
               std::function<void(Outcome<void>)>) override {}
  void remove(replication::MemberId,
              std::function<void(Outcome<void>)>) override {}
  void setPlaces(replication::MemberPlaces Places) override {
    Places_ = std::move(Places);
  }
  void transferLeadership(std::function<void(Outcome<void>)>) override {}
  void transferLeadershipTo(std::string,
                            std::function<void(Outcome<void>)>) override {}
  void stop() override {}

  replication::MemberPlaces Places_;
};

} // namespace

// Guards against questions to all members all the time, and against a replica
// that was opened again and knows no places.
TEST(PlaceSurveyTest, AsksWhatIsNotKnownAndTellsEachReplica) {
  ManualClock Time;
  std::vector<std::string> Asked;
  PlaceSurvey Survey("a", "north", Time, [&Asked](const std::string &Member) {
    Asked.push_back(Member);
  });
  replication::ReplicaStatus Status;
  Status.Responsive_ = {"b", "c"};
  PlacesReplica Group;
  Survey.poll(Status, Group);
  EXPECT_EQ(Group.Places_, (replication::MemberPlaces{{"a", "north"}}));
  EXPECT_EQ(Asked, (std::vector<std::string>{"b", "c"}));
  Survey.recordPlace("b", "south");
  Survey.recordPlace("c", "");
  Survey.poll(Status, Group);
  EXPECT_EQ(Asked.size(), 2U) << "they were asked just now";
  Time.advance(1s);
  PlacesReplica Reopened;
  Survey.poll(Status, Reopened);
  EXPECT_EQ(Reopened.Places_,
            (replication::MemberPlaces{{"a", "north"}, {"b", "south"}}));
  EXPECT_EQ(Asked, (std::vector<std::string>{"b", "c", "c"}));
}
