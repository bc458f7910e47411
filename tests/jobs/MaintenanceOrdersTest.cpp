//===- MaintenanceOrdersTest.cpp - Waves with lost answers ---------------===//

#include "jobs/LeaderFixture.h"

#include <random>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace tulipweir::jobs::test;
using namespace std::chrono_literals;

namespace {

/// Drives a leader, its servers and a provider that loses, delays and repeats
/// orders and answers, by a seed.
class MaintenanceOrdersTest : public JobLeaderTest {
protected:
  static constexpr std::size_t VmCount = 4;
  static constexpr Duration Step = 100ms;
  static constexpr Duration ReportInterval = 300ms;
  static constexpr Duration MaintenanceTime = 2s;
  static constexpr Duration OrderTimeout = 2s;

  struct Run {
    StartOrder Start_;
    TimePoint BeganAt_{};
    TimePoint EndsAt_{};
  };
  /// The current life of a VM.
  struct Vm {
    VmState State_ = VmState::Up;
    std::size_t Lives_ = 0;
    TimePoint BackAt_{};
    std::uint64_t MaxToken_ = 0;
    std::uint64_t Wave_ = 0;       ///< Of its last maintenance.
    std::set<std::uint64_t> Done_; ///< Waves.
    std::string Server_;
    std::vector<Run> Runs_;
    std::vector<EndedTask> Ended_;
    std::uint64_t LastNumber_ = 0;
    TimePoint LeaseEnd_{};
    TimePoint NextReport_{};
    TimePoint LastStart_{};
  };
  /// A step of an order on its way.
  struct Arrival {
    std::size_t Order_ = 0;
    bool IsAnswered_ = false;
    Duration AnswerDelay_{};
  };

  void begin(std::uint64_t Seed) {
    Random_.seed(Seed);
    KeepsAddress_ = roll(50);
    for (std::size_t I = 0; I < VmCount; ++I) {
      Vms_.emplace_back();
      startServer(I);
    }
  }
  bool roll(unsigned Percent) { return pick(100) < Percent; }
  std::uint64_t pick(std::uint64_t Below) {
    return std::uniform_int_distribution<std::uint64_t>(0, Below - 1)(Random_);
  }
  Duration pickTime(std::uint64_t MaxMs) {
    return std::chrono::milliseconds(pick(MaxMs));
  }
  static std::string nameVm(std::size_t Index) {
    return "v" + std::to_string(Index);
  }

  void startServer(std::size_t Index) {
    Vm &Value = Vms_[Index];
    Value.Runs_.clear();
    Value.Ended_.clear();
    Value.LastNumber_ = 0;
    Value.Server_ =
        "i" + std::to_string(Index) + "x" + std::to_string(++Value.Lives_);
    Value.State_ = VmState::Up;
    Value.NextReport_ = Time_.now() + pickTime(500);
    Value.LeaseEnd_ = TimePoint{};
    Value.LastStart_ = TimePoint{};
  }

  /// Lets the provider carry out the order; returns its answer.
  MaintenanceReply carryOut(const ManualVmProvider::Order &Order) {
    Vm &Value = Vms_[Order.Vm_.back() - '0'];
    if (Order.FencingToken_ < Value.MaxToken_)
      return MaintenanceReply::Fenced;
    Value.MaxToken_ = Order.FencingToken_;
    if (Value.Done_.count(Order.Wave_) != 0)
      return MaintenanceReply::Begun;
    if (Value.State_ != VmState::Up)
      return MaintenanceReply::Busy;
    const auto InMaintenance = static_cast<std::uint64_t>(
        std::count_if(Vms_.begin(), Vms_.end(), [&Order](const Vm &Other) {
          return Other.State_ == VmState::Maintenance &&
                 Other.Wave_ == Order.Wave_;
        }));
    EXPECT_LT(InMaintenance, MaxConcurrent_[Order.Wave_]);
    Value.Wave_ = Order.Wave_;
    Value.Done_.insert(Order.Wave_);
    Value.State_ = VmState::Maintenance;
    Value.BackAt_ = Time_.now() + MaintenanceTime + pickTime(1000);
    Value.Runs_.clear();
    return MaintenanceReply::Begun;
  }

  void acceptOrders(bool IsTroubled) {
    for (; Accepted_ < Provider_.Orders_.size(); ++Accepted_) {
      const bool IsUnheard = IsTroubled && roll(15);
      const bool IsLost = IsUnheard || (IsTroubled && roll(40));
      const Duration Delay = IsTroubled ? pickTime(1200) : 20ms;
      if (!IsUnheard)
        Arrivals_.emplace(
            Time_.now() + Delay,
            Arrival{Accepted_, !IsLost, IsTroubled ? pickTime(700) : 20ms});
      // The network delivers it twice.
      if (!IsUnheard && IsTroubled && roll(10))
        Arrivals_.emplace(Time_.now() + Delay + pickTime(500),
                          Arrival{Accepted_, false, 0ms});
      if (IsLost)
        Answers_.emplace(
            Time_.now() + OrderTimeout,
            std::pair(Accepted_, Outcome<MaintenanceReply>(
                                     fail(ErrorCode::Timeout, "no answer"))));
    }
    while (!Arrivals_.empty() && Arrivals_.begin()->first <= Time_.now()) {
      const Arrival Next = Arrivals_.begin()->second;
      Arrivals_.erase(Arrivals_.begin());
      const MaintenanceReply Reply = carryOut(Provider_.Orders_[Next.Order_]);
      if (Next.IsAnswered_)
        Answers_.emplace(
            Time_.now() + Next.AnswerDelay_,
            std::pair(Next.Order_, Outcome<MaintenanceReply>(Reply)));
    }
    while (!Answers_.empty() && Answers_.begin()->first <= Time_.now()) {
      const auto [Order, Reply] = Answers_.begin()->second;
      Answers_.erase(Answers_.begin());
      const auto Answer = Provider_.Orders_[Order].Reply_;
      Answer(Reply);
      Strand_.runAll();
    }
  }

  void runServer(std::size_t Index) {
    Vm &Value = Vms_[Index];
    const TimePoint Now = Time_.now();
    if (Value.State_ != VmState::Up) {
      if (Now >= Value.BackAt_)
        startServer(Index);
      return;
    }
    if (Now > Value.LeaseEnd_)
      Value.Runs_.clear();
    std::erase_if(Value.Runs_, [&](const Run &Each) {
      if (Now < Each.EndsAt_)
        return false;
      Value.Ended_.push_back(
          makeEnded(++Value.LastNumber_, Each.Start_, RunOutcome::Done));
      return true;
    });
    if (Now < Value.NextReport_)
      return;
    Value.NextReport_ = Now + ReportInterval;
    ServerReport Report = makeReport(Value.Server_);
    if (KeepsAddress_)
      Report.Facts_.Address_ = nameVm(Index) + ":80";
    Report.Ended_ = Value.Ended_;
    for (const Run &Each : Value.Runs_) {
      Report.Running_.push_back(makeRunning(Each.Start_));
      Report.Running_.back().Percent_ = static_cast<std::uint64_t>(
          100 * (Now - Each.BeganAt_) / (Each.EndsAt_ - Each.BeganAt_));
    }
    const auto Answer = tryReport(Report);
    if (Answer && *Answer)
      obey(Value, Answer->value());
  }
  void obey(Vm &Value, const ServerOrders &Orders) {
    const TimePoint Now = Time_.now();
    if (Orders.LeaseMs_ != 0)
      Value.LeaseEnd_ = Now + std::chrono::milliseconds(Orders.LeaseMs_);
    std::erase_if(Value.Ended_, [&Orders](const EndedTask &Ended) {
      return Ended.Number_ <= Orders.EndsNoted_;
    });
    for (const StopOrder &Stop : Orders.Stops_)
      std::erase_if(Value.Runs_, [&](const Run &Each) {
        if (Each.Start_.Task_ != Stop.Task_ || Each.Start_.Run_ != Stop.Run_)
          return false;
        Value.Ended_.push_back(
            makeEnded(++Value.LastNumber_, Each.Start_, RunOutcome::Stopped));
        return true;
      });
    for (const StartOrder &Start : Orders.Starts_) {
      const bool IsKnown = std::any_of(
          Value.Runs_.begin(), Value.Runs_.end(), [&Start](const Run &Each) {
            return Each.Start_.Task_ == Start.Task_ &&
                   Each.Start_.Run_ == Start.Run_;
          });
      if (IsKnown)
        continue;
      Value.Runs_.push_back({Start, Now, Now + 500ms + pickTime(2500)});
      Value.LastStart_ = Now;
    }
  }
  void checkRuns() {
    std::set<TaskKey> Running;
    for (const Vm &Value : Vms_)
      for (const Run &Each : Value.Runs_)
        EXPECT_TRUE(Running.insert(Each.Start_.Task_).second)
            << toText(Each.Start_.Task_) << " runs twice";
  }
  /// Another leader comes; what the last one proposed is committed or lost.
  void changeLeader() {
    if (roll(50)) {
      Group_.IsHeld_ = true;
      advance(/*IsTroubled=*/true);
      Group_.loseAll(roll(50));
      Group_.IsHeld_ = false;
    }
    beginNextTerm();
  }
  void advance(bool IsTroubled) {
    Provider_.Vms_.clear();
    for (std::size_t I = 0; I < VmCount; ++I)
      Provider_.Vms_.push_back(
          {nameVm(I), "booking", Vms_[I].State_,
           Vms_[I].State_ == VmState::Up ? Vms_[I].Server_ : ""});
    Strand_.advance(Step);
    acceptOrders(IsTroubled);
    for (std::size_t I = 0; I < VmCount; ++I)
      runServer(I);
    checkRuns();
  }
  void submitWork() {
    call(CallKind::Submit, "j" + std::to_string(++Jobs_), {makeStep(3, 1000)});
  }
  bool startWave(std::uint64_t Id, std::vector<std::string> Names,
                 std::uint64_t MaxConcurrent) {
    bool IsDone = false;
    MaxConcurrent_[Id] = MaxConcurrent;
    Leader_.startWave({Id, std::move(Names), 20'000, MaxConcurrent},
                      [&IsDone](const Outcome<void> &Result) {
                        IsDone = static_cast<bool>(Result);
                      });
    Strand_.runAll();
    return IsDone;
  }
  bool isCompleted(std::uint64_t Wave) {
    return Machine_.read([Wave](const JobRegistry &Registry) {
      return Registry.waves().find(Wave)->isCompleted();
    });
  }

  std::mt19937_64 Random_;
  std::vector<Vm> Vms_;
  std::size_t Accepted_ = 0;
  std::size_t Jobs_ = 0;
  bool KeepsAddress_ = false;
  std::map<std::uint64_t, std::uint64_t> MaxConcurrent_; ///< By wave.
  std::multimap<TimePoint, Arrival> Arrivals_;
  std::multimap<TimePoint, std::pair<std::size_t, Outcome<MaintenanceReply>>>
      Answers_;
};

class SeededMaintenanceOrdersTest
    : public MaintenanceOrdersTest,
      public ::testing::WithParamInterface<std::uint64_t> {};

} // namespace

// Guards against tasks that run twice, waves that never end and sound servers
// without work when answers to maintenance orders are lost or late.
TEST_P(SeededMaintenanceOrdersTest, WavesEndAndServersWork) {
  static constexpr int TroubledSteps = 300;
  static constexpr int QuietSteps = 400;
  static constexpr int FullSteps = 100;
  begin(GetParam());
  std::vector<std::uint64_t> Waves;
  for (int I = 0; I < TroubledSteps + QuietSteps; ++I) {
    const bool IsTroubled = I < TroubledSteps;
    const bool IsWaveDue = I == 30 || I == 100 || I == 200;
    if (IsWaveDue) {
      std::vector<std::string> Names;
      for (std::size_t V = 0; V < VmCount; ++V)
        Names.push_back(nameVm(V));
      std::shuffle(Names.begin(), Names.end(), Random_);
      Names.resize(1 + pick(VmCount));
      Waves.push_back(Waves.size() + 1);
      ASSERT_TRUE(startWave(Waves.back(), Names, 1 + pick(2)));
    }
    // At the end there is work for all servers.
    const bool IsFull = I >= TroubledSteps + QuietSteps - FullSteps;
    if (I % (IsFull ? 3 : 8) == 0)
      submitWork();
    const bool IsOrdered = !Arrivals_.empty() || !Answers_.empty();
    if (IsTroubled && (roll(1) || (IsOrdered && roll(5))))
      changeLeader();
    advance(IsTroubled);
  }
  for (const std::uint64_t Wave : Waves)
    EXPECT_TRUE(isCompleted(Wave)) << "wave " << Wave;
  for (const Vm &Value : Vms_) {
    EXPECT_EQ(Value.State_, VmState::Up);
    EXPECT_GT(Value.LeaseEnd_, Time_.now()) << Value.Server_;
    EXPECT_LT(Time_.now() - Value.LastStart_, 10s) << Value.Server_;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, SeededMaintenanceOrdersTest,
                         ::testing::Range<std::uint64_t>(1, 301));
