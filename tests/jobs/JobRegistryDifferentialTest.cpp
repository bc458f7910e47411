//===- JobRegistryDifferentialTest.cpp - Against a naive model ------------===//

#include "jobs/JobFixture.h"
#include "jobs/NaiveJobs.h"

#include <random>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;

namespace {

/// Applies random commands to both implementations and compares their visible
/// state.
class DifferentialTester {
public:
  explicit DifferentialTester(std::uint64_t Seed) : Random_(Seed) {
    configure(1);
  }

  void applyRandomCommand() {
    switch (draw(12)) {
    case 0:
      return submit();
    case 1:
      return cancel();
    case 2:
      return open();
    case 3:
      return addServer();
    case 4:
      return draw(3) == 0 ? removeServer() : start();
    case 5:
      return draw(10) == 0  ? configure(draw(8))
             : draw(8) == 0 ? evacuate()
                            : start();
    case 6:
    case 7:
    case 8:
      return start();
    default:
      return end();
    }
  }
  void compare() const {
    ASSERT_EQ(Registry_.countPending(makeConfiguration().Queues_[0].getKey()),
              Naive_.countPending());
    for (const NaiveJobs::Job &NaiveJob : Naive_.jobs()) {
      const JobRecord *Job = Registry_.findJob(NaiveJob.Spec_.Id_);
      ASSERT_NE(Job, nullptr);
      ASSERT_EQ(Job->State_, NaiveJob.State_) << NaiveJob.Spec_.Id_;
    }
    ASSERT_EQ(Registry_.servers().size(), Naive_.servers().size());
    for (const auto &[Id, Server] : Registry_.servers()) {
      ASSERT_EQ(Server.Used_.MilliCpus_, Naive_.getUsed(Id)) << Id;
      ASSERT_LE(Server.Used_.MilliCpus_, Server.Facts_.Capacity_.MilliCpus_);
    }
  }
  /// Restores the registry from its snapshot, as a restart does.
  void restart() {
    auto Decoded = JobRegistry::decode(Registry_.encode());
    ASSERT_TRUE(Decoded);
    ASSERT_EQ(Decoded.value().jobs(), Registry_.jobs());
    ASSERT_EQ(Decoded.value().readySteps(), Registry_.readySteps());
    ASSERT_EQ(Decoded.value().readyLongRunningSteps(),
              Registry_.readyLongRunningSteps());
    Registry_ = std::move(Decoded.value());
  }

private:
  std::uint64_t draw(std::uint64_t Below) {
    return std::uniform_int_distribution<std::uint64_t>(0, Below - 1)(Random_);
  }
  std::string drawJob() { return "j" + std::to_string(draw(12)); }
  std::string drawServer() { return "s" + std::to_string(draw(5)); }

  void configure(std::uint64_t Version) {
    Configuration Config = makeConfiguration(Version);
    Config.Queues_[0].Attempts_ = 1 + draw(3);
    Registry_.apply(Command(PutConfiguration{Config}));
    Naive_.configure(Config);
  }
  void submit() {
    std::vector<StepSpec> Steps;
    for (std::uint64_t I = 0; I <= draw(3); ++I) {
      StepSpec Step = makeStep(1 + draw(3), 500 + 500 * std::int64_t(draw(3)));
      Step.Fills_ = draw(4) == 0;
      Step.LongRunning_ = draw(6) == 0;
      Step.SpreadLimit_ = draw(3);
      Step.Speculative_ = draw(3) == 0;
      if (I > 0 && draw(2) == 0)
        Step.DependsOn_ = {draw(I)};
      Steps.push_back(Step);
    }
    JobSpec Spec = makeJob(drawJob(), Steps);
    Spec.RepeatCount_ = draw(4) == 0 ? 1 + draw(2) : 0;
    const SubmitJob Cmd = makeSubmit(Spec);
    EXPECT_EQ(Registry_.apply(Command(Cmd)).Status_, Naive_.submit(Cmd));
  }
  void cancel() {
    if (draw(4) != 0)
      return;
    const std::string Id = drawJob();
    EXPECT_EQ(Registry_.apply(Command(CancelJob{Id})).Status_,
              Naive_.cancel(Id));
  }
  void open() {
    const OpenOccurrence Cmd{drawJob(), draw(3)};
    EXPECT_EQ(Registry_.apply(Command(Cmd)).Status_, Naive_.open(Cmd));
  }
  void addServer() {
    ServerFacts Facts = makeServer(drawServer(), 3000);
    // A server never changes its data centre.
    Facts.DataCentre_ = "dc" + std::to_string(Facts.Id_.back() % 2);
    Registry_.apply(Command(AddServer{Facts}));
    Naive_.addServer(Facts);
  }
  void removeServer() {
    const std::string Id = drawServer();
    Registry_.apply(Command(RemoveServer{Id, {}, false}));
    Naive_.removeServer(Id);
  }
  void evacuate() {
    const EvacuateDataCentre Cmd{"dc" + std::to_string(draw(2)), draw(3) == 0};
    Registry_.apply(Command(Cmd));
    Naive_.evacuate(Cmd);
  }
  void start() {
    const TaskStart Start{
        {drawJob(), draw(2), draw(3), draw(3)}, 1 + draw(6), drawServer()};
    EXPECT_EQ(Registry_.apply(Command(StartTasks{{Start}})).Accepted_.at(0),
              Naive_.start(Start));
  }
  void end() {
    if (Naive_.runs().empty())
      return;
    // Mostly ends a started run, perhaps one from long ago; occasionally
    // reports a wrong run or server.
    const NaiveJobs::Run &Run = Naive_.runs()[draw(Naive_.runs().size())];
    static constexpr RunOutcome Ends[] = {
        RunOutcome::Done,    RunOutcome::Done,         RunOutcome::Failed,
        RunOutcome::Stopped, RunOutcome::LeaseExpired, RunOutcome::Refused};
    TaskEnd End{Run.Task_, Run.Number_, Ends[draw(6)], ""};
    std::string Server = Run.Server_;
    if (draw(10) == 0)
      End.Run_ += 1;
    if (draw(10) == 0)
      Server = drawServer();
    Registry_.apply(Command(EndTasks{Server, {End}}));
    Naive_.end(Server, End);
  }

  std::mt19937_64 Random_;
  JobRegistry Registry_;
  NaiveJobs Naive_;
};

} // namespace

TEST(JobRegistryDifferentialTest, AgreesWithTheNaiveModel) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    DifferentialTester Tester(Seed);
    for (int Step = 0; Step < 1500; ++Step) {
      Tester.applyRandomCommand();
      Tester.compare();
      if (Step % 100 == 99)
        Tester.restart();
      if (::testing::Test::HasFailure()) {
        ADD_FAILURE() << "seed " << Seed << ", step " << Step;
        return;
      }
    }
  }
}
