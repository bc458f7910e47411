//===- DataCentreStateTest.cpp --------------------------------------------===//

#include "datacentre/ReferenceDataCentre.h"

#include <gtest/gtest.h>

#include <random>

using namespace tulipweir;
using namespace tulipweir::datacentre;

/// Generates random commands over a few servers and jobs, most of them almost
/// valid.
class CommandSource {
public:
  explicit CommandSource(unsigned Seed) : Random_(Seed) {}

  int pick(int Count) { return static_cast<int>(Random_() % Count); }

  Command next(const ReferenceDataCentre &Reference) {
    const auto Server = BackendServerId("s" + std::to_string(pick(3)));
    const auto Boot = BootId("b" + std::to_string(pick(2) + Step_++ / 400));
    const TaskId Task{JobId("j" + std::to_string(pick(4))),
                      static_cast<std::uint32_t>(pick(4))};
    AttemptNumber Latest;
    BootId Current;
    for (const ReferenceTask &T : Reference.Tasks_)
      Latest = T.Id_ == Task ? T.Record_.Attempt_ : Latest;
    for (const ReferenceServer &S : Reference.Servers_)
      Current = S.Info_.Server_ == Server ? S.Info_.Boot_ : Current;
    const AttemptNumber Next(Latest.value() + (pick(8) == 0 ? 2 : 1));
    const auto Size =
        Resources::makeFor(pick(5) - (pick(30) == 0 ? 9 : 0), pick(5), pick(3));
    const auto Capacity = Resources::makeFor(6 + pick(3), 6 + pick(3), 3);
    const std::uint64_t Assignment = pick(3) + Step_ / 100;
    switch (pick(24)) {
    case 0:
      return RegisterServer{Server, Boot, RackId("r"), "a",         Capacity,
                            {},     8,    9,           pick(5) == 0};
    case 1:
      return ForgetServer{Server};
    case 2:
    case 3: {
      JobSpec Spec{Task.Job_, TeamId("t"), JobClassId("c"), 1, 4, Size, "p", 2};
      Spec.Declared_ = Resources{};
      return AdoptJob{Spec, Assignment, pick(3) == 0 ? Progress_ : ""};
    }
    case 4:
      return CancelJob{Task.Job_};
    case 5:
      return DropJob{Task.Job_};
    case 6:
      return ReleaseJob{Task.Job_, Assignment};
    case 7:
    case 8:
      return ChangeReservation{Task, Latest, Size};
    case 9:
    case 10:
    case 11:
    case 12:
      return EndAttempt{Task, Latest, static_cast<AttemptEnd>(pick(5)),
                        pick(2) == 0 ? "" : std::to_string(Step_), "m"};
    default:
      return PlaceTask{Task, Next, Server, pick(8) == 0 ? Boot : Current, Size};
    }
  }

  std::string Progress_;

private:
  std::mt19937 Random_;
  int Step_ = 0;
};

static bool applyToReference(ReferenceDataCentre &Reference,
                             const Command &Value, FencingToken Token) {
  return std::visit([&](const auto &C) { return Reference.apply(C, Token); },
                    Value);
}

static void expectEqual(const DataCentreState &State,
                        const ReferenceDataCentre &Reference) {
  std::size_t Tasks = 0;
  for (const auto &[Id, Job] : State.jobs())
    Tasks += Job.Tasks_.size();
  ASSERT_EQ(Tasks, Reference.Tasks_.size());
  for (const ReferenceTask &T : Reference.Tasks_)
    ASSERT_EQ(*State.findTask(T.Id_), T.Record_) << T.Id_.toString();
  ASSERT_EQ(State.servers().size(), Reference.Servers_.size());
  for (const ReferenceServer &S : Reference.Servers_) {
    const ServerRecord &Record = *State.findServer(S.Info_.Server_);
    ASSERT_EQ(Record.Info_, S.Info_);
    ASSERT_EQ(Record.Reserved_, Reference.sumOf(S.Info_.Server_));
  }
  for (const auto &[Id, Job] : State.jobs())
    ASSERT_EQ(Job.Ended_ + Job.Placed_ +
                  Reference.countTasks(Id, TaskState::Waiting),
              Job.Tasks_.size());
}

/// Derives the tasks by state, the servers and the ended jobs from changes.
class Listener {
public:
  std::map<TaskId, Change> Tasks_;
  std::set<BackendServerId> Servers_;
  std::set<JobId> Ended_;

  void onChange(const Change &C) {
    if (C.Kind_ == ChangeKind::ServerChanged)
      Servers_.insert(C.Server_);
    if (C.Kind_ == ChangeKind::ServerForgotten)
      Servers_.erase(C.Server_);
    if (C.Kind_ == ChangeKind::JobEnded)
      Ended_.insert(C.Task_.Job_);
    if (C.Kind_ == ChangeKind::JobDropped) {
      Ended_.erase(C.Task_.Job_);
      std::erase_if(Tasks_, [&](const auto &Task) {
        return Task.first.Job_ == C.Task_.Job_;
      });
    }
    if (C.Kind_ == ChangeKind::TaskWaiting ||
        C.Kind_ == ChangeKind::TaskEnded || C.Kind_ == ChangeKind::TaskPlaced)
      Tasks_[C.Task_] = C;
    if (C.Kind_ == ChangeKind::ReservationChanged)
      Tasks_[C.Task_].Reservation_ = C.Reservation_;
  }
  bool operator==(const Listener &) const = default;
};

class DataCentreStateSeeds : public testing::TestWithParam<unsigned> {};

TEST_P(DataCentreStateSeeds, MatchesReferenceModelAndSnapshotRoundTrip) {
  CommandSource Source(GetParam());
  DataCentreState State{RecordLimits{}};
  ReferenceDataCentre Reference;
  Listener Incremental;
  std::set<std::tuple<TaskId, std::uint64_t, AttemptNumber>> Placements;
  std::array<int, std::variant_size_v<Command>> Accepted{};
  for (std::uint64_t Index = 1; Index <= 6000; ++Index) {
    const Command Value = Source.next(Reference);
    const DataCentreState Before = State;
    std::vector<Change> Changes;
    const CommandResult Result = State.apply(Value, 1, Index, &Changes);
    const bool TookEffect = Result.Error_.empty();
    ASSERT_EQ(TookEffect,
              applyToReference(Reference, Value, FencingToken{1, Index}))
        << Result.Message_;
    Accepted[Value.index()] += TookEffect;
    if (!TookEffect) {
      ASSERT_EQ(State, Before) << "a refused command changed something";
      ASSERT_TRUE(Changes.empty());
    }
    ASSERT_NO_FATAL_FAILURE(expectEqual(State, Reference));
    for (const Change &Applied : Changes)
      Incremental.onChange(Applied);
    if (const auto *Place = std::get_if<PlaceTask>(&Value);
        Place && TookEffect) {
      const ServerRecord &Server = *State.findServer(Place->Server_);
      ASSERT_TRUE(Server.Reserved_.fitsIn(Server.Info_.Capacity_));
      const auto Assignment = State.findAssignment(Place->Task_.Job_);
      ASSERT_TRUE(
          Placements.emplace(Place->Task_, Assignment, Place->Attempt_).second)
          << "an attempt was placed twice";
    }
    if (const auto *Release = std::get_if<ReleaseJob>(&Value);
        Release && TookEffect)
      Source.Progress_ = encodeProgress(*State.findJob(Release->Job_));
    if (Source.pick(50) != 0)
      continue;
    const auto Decoded =
        DataCentreState::decode(State.encode(), RecordLimits{});
    ASSERT_TRUE(Decoded.has_value()) << Decoded.error().Message_;
    ASSERT_EQ(Decoded.value(), State);
    State = Decoded.value();
    Listener Rebuilt;
    for (const Change &Applied : State.listChanges())
      Rebuilt.onChange(Applied);
    ASSERT_EQ(Rebuilt, Incremental);
  }
  // Every kind of command except those for request records was accepted at
  // least once.
  for (const std::size_t Kind : {0, 1, 2, 3, 4, 5, 6, 7, 12})
    EXPECT_GT(Accepted[Kind], 0) << Kind;
}

INSTANTIATE_TEST_SUITE_P(Seeds, DataCentreStateSeeds, testing::Range(0u, 12u));

TEST(DataCentreStateTest, DoesNotReadoptADroppedJobWithTheSameAssignment) {
  DataCentreState State{RecordLimits{}};
  const JobSpec Spec{
      JobId("j"), TeamId("t"), JobClassId("c"), 1, 1, Resources{}, "p", 1};
  EXPECT_EQ(State.apply(AdoptJob{Spec, 1, ""}, 1, 1).Error_, "");
  State.apply(CancelJob{Spec.Job_}, 1, 2);
  EXPECT_EQ(State.apply(DropJob{Spec.Job_}, 1, 3).Error_, "");
  EXPECT_EQ(State.apply(AdoptJob{Spec, 1, ""}, 1, 4).Error_, "already_exists");
  EXPECT_EQ(State.apply(AdoptJob{Spec, 2, ""}, 1, 5).Error_, "");
}

TEST(DataCentreStateTest, RefusesCommandsForAnotherAttemptThanThePlacedOne) {
  DataCentreState State{RecordLimits{}};
  const BackendServerId Server("s");
  const BootId Boot("b");
  const Resources One = Resources::makeFor(1, 1);
  const JobSpec Spec{JobId("j"), TeamId("t"), JobClassId("c"), 1, 1, One, "p",
                     9};
  const TaskId Task{Spec.Job_, 0};
  const auto Place = [&](std::uint64_t Attempt) {
    return PlaceTask{Task, AttemptNumber(Attempt), Server, Boot, One};
  };
  const auto End = [&](std::uint64_t Attempt) {
    return EndAttempt{Task, AttemptNumber(Attempt), AttemptEnd::Evicted, "",
                      ""};
  };
  const Command Before[] = {
      RegisterServer{Server, Boot, RackId("r"), "a", One, {}, 1, 1, false},
      AdoptJob{Spec, 1, ""}, Place(1), End(1), Place(2)};
  std::uint64_t Index = 0;
  for (const Command &Value : Before)
    ASSERT_EQ(State.apply(Value, 1, ++Index).Error_, "") << Index;
  const DataCentreState Placed = State;
  for (const std::uint64_t Other : {1, 3}) {
    const ChangeReservation Change{Task, AttemptNumber(Other), Resources{}};
    EXPECT_EQ(State.apply(End(Other), 1, ++Index).Error_, "stale_token");
    EXPECT_EQ(State.apply(Change, 1, ++Index).Error_, "stale_token");
  }
  EXPECT_EQ(State, Placed);
}

TEST(DataCentreStateTest, RefusesTruncatedAndExtendedSnapshots) {
  DataCentreState State{RecordLimits{}};
  State.apply(RegisterServer{BackendServerId("s"),
                             BootId("b"),
                             RackId("r"),
                             "a",
                             Resources::makeFor(1, 1),
                             {},
                             1,
                             1,
                             false},
              1, 1);
  const std::string Bytes = State.encode();
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_FALSE(DataCentreState::decode(Bytes.substr(0, Size), RecordLimits{}))
        << Size;
  EXPECT_FALSE(DataCentreState::decode(Bytes + "x", RecordLimits{}));
}
