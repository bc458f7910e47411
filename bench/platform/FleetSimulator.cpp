#include "FleetSimulator.h"

#include <cmath>
#include <iomanip>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::bench;
using Json = nlohmann::json;

static constexpr int StepMs = 10;
static constexpr int EndReportDelayMs = 50;
static constexpr int DefaultReportMs = 500;
static constexpr std::int64_t ServerCpu = 32'000;
static constexpr std::int64_t ServerMemory = 125'000;
static constexpr int RackSize = 8;
static constexpr int FillingImages = 9;
static constexpr int ServingImages = 5;
/// Slightly more than half of the pairs of a serving and a filling image
/// interfere with each other.
static constexpr int InterferingPerTwenty = 11;
/// Interfering tasks that use at most this share of a server have no effect on
/// a tail.
static constexpr double NoEffectShare = 0.1;
static constexpr double TailTargetMs = 150;
static constexpr double BaselineTailMs = 60;

static bool interferes(int Serving, int Filling) {
  return (Serving * 7 + Filling * 13 + Serving * Filling * 5) % 20 <
         InterferingPerTwenty;
}

static Json makeConfiguration() {
  Json Routes = Json::array();
  const auto Add = [&Routes](const char *Prefix, int Priority, double Stretch,
                             int Objective) {
    Routes.push_back({{"name", Prefix},
                      {"host", "jobs.example"},
                      {"pathPrefix", Prefix},
                      {"service", "booking"},
                      {"timeoutMs", 3000},
                      {"priority", Priority},
                      {"attempts", 3},
                      {"stretch", Stretch},
                      {"targetLatencyMs", Objective}});
  };
  Add("/s/", 0, 1.5, 1200);
  Add("/f/", 2, 2.0, 1000);
  Add("/l/", 0, 2.2, 3000);
  return {{"version", 1},
          {"routes", Routes},
          {"services", {{{"name", "booking"}, {"preconditions", true}}}}};
}

FleetSimulator::FleetSimulator(const FleetLoad &Load, FleetTarget &Target)
    : Load_(Load), Random_(Load.Seed_), Target_(Target) {
  Target_.configure(makeConfiguration().dump());
  for (int I = 0; I < Load.Servers_; ++I) {
    Server NewServer;
    // The ids are random, as on the platform, so that comparing two of them
    // ends after a few characters.
    std::ostringstream Id;
    Id << "i-" << std::hex << (Random_() & 0xffffffffffU);
    NewServer.Id_ = Id.str();
    NewServer.Rack_ = "r" + std::to_string(I / RackSize);
    NewServer.ReportAtMs_ = I * DefaultReportMs / Load.Servers_;
    Servers_.push_back(NewServer);
  }
  for (int I = 0; I < Load.LongRunningJobs_; ++I)
    submitJob('l');
}

double FleetSimulator::draw(double Mean, double Spread) {
  std::lognormal_distribution<double> Factor(0, Spread);
  return Mean * Factor(Random_) / std::exp(Spread * Spread / 2);
}

void FleetSimulator::submitJob(char Kind) {
  std::ostringstream Id;
  Id << std::hex << std::setw(16) << std::setfill('0') << Random_();
  Job NewJob{NowMs_, NowMs_, Kind == 'f'};
  int Steps = 1;
  double Count = Load_.TasksPerLongRunningJob_;
  double Cpu = 6400;
  double EstimateMs = 320;
  Json Step = {{"memMb", 13'000}};
  std::string Image = "l" + std::to_string(Random_() % ServingImages);
  if (Kind == 's') {
    Steps = 1 + static_cast<int>(Random_() % 10 < 6);
    Count = draw(Load_.TasksPerShortJob_, 0.6);
    Cpu = std::min(draw(4100, 0.45), 9000.0);
    EstimateMs = draw(640, 0.5);
    Step["memMb"] = 4600;
    Image.clear();
  } else if (Kind == 'f') {
    Steps = 2;
    Count = draw(Load_.TasksPerFillingJob_, 0.5);
    Cpu = std::min(draw(3500, 0.3), 7000.0);
    EstimateMs = draw(2700, 0.5);
    Step["memMb"] = 6400;
    Step["fills"] = true;
    Step["checkpointing"] = true;
    Image = "f" + std::to_string(Random_() % FillingImages);
  } else {
    Step["longRunning"] = true;
    Step["targetMs"] = std::lround(TailTargetMs);
  }
  Step["count"] = std::max(1L, std::lround(Count));
  Step["cpu"] = std::lround(Cpu);
  Step["estimateMs"] = std::lround(EstimateMs);
  if (!Image.empty())
    Step["image"] = Image;
  // The payload holds what the simulated server needs to run a task: its kind
  // or image, its duration and its processor use.
  Json Spec = {{"spec", (Image.empty() ? "s" : Image) + " " +
                            std::to_string(std::lround(EstimateMs)) + " " +
                            std::to_string(std::lround(Cpu))},
               {"steps", Json::array()}};
  for (int I = 0; I < Steps; ++I) {
    Spec["steps"].push_back(Step);
    if (I > 0)
      Spec["steps"].back()["dependsOn"] = {I - 1};
  }
  const double Stretch = Kind == 's' ? 1.5 : 2.0;
  NewJob.DueMs_ +=
      std::lround((Kind == 's' ? 1200 : 1000) + EstimateMs * Steps * Stretch);
  const std::string Path = std::string("/") + Kind + "/" + Id.str();
  if (Kind != 'l')
    Jobs_[Path] = NewJob;
  Target_.submit(Path, Spec.dump());
}

/// Draws a tail latency, which grows exponentially with the share of the server
/// that interfering tasks use.
double FleetSimulator::sampleTail(const Server &Backend, const Run &Serving) {
  const int Image = std::stoi(Serving.Kind_.substr(1));
  double Share = 0;
  for (const auto &[Name, Task] : Backend.Running_)
    if (Task.Kind_[0] == 'f' &&
        interferes(Image, std::stoi(Task.Kind_.substr(1))))
      Share += double(Task.Cpu_) * Task.Pace_ / double(ServerCpu);
  const double Excess = std::max(0.0, Share - NoEffectShare);
  return draw(BaselineTailMs, 0.35) * std::exp(10 * Excess);
}

void FleetSimulator::advanceTasks(Server &Backend, int ElapsedMs) {
  std::vector<std::string> Finished;
  for (auto &[Name, Task] : Backend.Running_) {
    if (Task.Kind_[0] == 'l')
      continue;
    Task.RemainingMs_ -= ElapsedMs * Task.Pace_;
    if (Task.RemainingMs_ <= 0)
      Finished.push_back(Name);
  }
  for (const std::string &Name : Finished) {
    Backend.Ended_.push_back({++Backend.LastEndNumber_, Name,
                              Backend.Running_.at(Name).Number_, "done", ""});
    Backend.Running_.erase(Name);
    Backend.ReportAtMs_ =
        std::min(Backend.ReportAtMs_, NowMs_ + EndReportDelayMs);
  }
}

void FleetSimulator::sendReport(Server &Backend) {
  Json Heartbeat = {
      {"service", "booking"},
      {"address", Backend.Id_ + ":80"},
      {"zone", "dc1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"seq", ++Backend.Sequence_},
      {"capacity", {{"cpu", ServerCpu}, {"memMb", ServerMemory}, {"gpu", 0}}},
      {"labels", {"a", Backend.Rack_}},
      {"currentTimeMs", NowMs_},
      {"running", Json::array()},
      {"finished", Backend.Ended_}};
  for (const auto &[Name, Task] : Backend.Running_) {
    double Measure = double(Task.Cpu_) * Task.Pace_;
    if (Task.Kind_[0] == 'l') {
      Measure = std::round(sampleTail(Backend, Task));
      ++TailSamples_;
      OverTargetSamples_ += Measure > TailTargetMs ? 1 : 0;
    }
    const double Percent = Task.Kind_[0] == 'l'
                               ? 100
                               : 100 * (1 - Task.RemainingMs_ / Task.TotalMs_);
    Heartbeat["running"].push_back({Name, Task.Number_, "00000bb87a21d94b",
                                    std::lround(Percent),
                                    std::lround(Measure)});
  }
  Backend.IsReportPending_ = true;
  Backend.ReportAtMs_ = NowMs_ + DefaultReportMs;
  ++Result_.Reports_;
  Target_.report(Backend.Id_, Heartbeat.dump(),
                 [this, &Backend](const std::string &Answer) {
                   Backend.IsReportPending_ = false;
                   if (!Answer.empty())
                     applyOrders(Backend, Answer);
                 });
}

void FleetSimulator::applyOrders(Server &Backend, const std::string &Answer) {
  const Json Orders = Json::parse(Answer);
  const std::uint64_t Acknowledged = Orders.value("lastSeen", std::uint64_t(0));
  std::erase_if(Backend.Ended_, [Acknowledged](const Json &Row) {
    return Row[0].get<std::uint64_t>() <= Acknowledged;
  });
  Backend.ReportAtMs_ = NowMs_ + Orders.value("retryAfterMs", 500);
  for (const Json &Row : Orders.value("start", Json::array())) {
    const auto Name = Row[0].get<std::string>();
    if (Backend.Running_.count(Name) != 0)
      continue;
    Run Started;
    Started.Number_ = Row[1].get<std::uint64_t>();
    double Ms = 0;
    std::istringstream(Row[2].get<std::string>()) >> Started.Kind_ >> Ms >>
        Started.Cpu_;
    Started.TotalMs_ = Started.RemainingMs_ = std::max(20.0, draw(Ms, 0.2));
    Backend.Running_.emplace(Name, Started);
    ++Result_.Starts_;
  }
  for (const Json &Row : Orders.value("stop", Json::array())) {
    const auto It = Backend.Running_.find(Row[0].get<std::string>());
    if (It == Backend.Running_.end())
      continue;
    Backend.Ended_.push_back({++Backend.LastEndNumber_, It->first,
                              It->second.Number_, "stopped",
                              "00000bb87a21d94b"});
    Backend.Running_.erase(It);
    Backend.ReportAtMs_ = NowMs_ + EndReportDelayMs;
  }
  for (const Json &Row : Orders.value("pace", Json::array())) {
    const auto It = Backend.Running_.find(Row[0].get<std::string>());
    if (It != Backend.Running_.end())
      It->second.Pace_ = Row[2].get<double>() / 100;
  }
}

/// Counts the jobs that have completed and removes them.
void FleetSimulator::recordCompletedJobs() {
  std::erase_if(Jobs_, [this](const auto &Entry) {
    if (!Target_.isCompleted(Entry.first))
      return false;
    const bool IsInTime = NowMs_ <= Entry.second.DueMs_;
    (Entry.second.IsFilling_ ? Result_.FillingDone_ : Result_.ShortDone_) += 1;
    (Entry.second.IsFilling_ ? Result_.FillingInTime_ : Result_.ShortInTime_) +=
        IsInTime ? 1 : 0;
    return true;
  });
}

FleetResult FleetSimulator::run(int Seconds) {
  Result_ = {};
  TailSamples_ = OverTargetSamples_ = 0;
  const double Begin = Target_.getCpuSeconds();
  std::poisson_distribution<int> Short(Load_.ShortPerSecond_ * StepMs / 1000);
  std::poisson_distribution<int> Filling(Load_.FillingPerSecond_ * StepMs /
                                         1000);
  const std::int64_t End = NowMs_ + std::int64_t(Seconds) * 1000;
  while (NowMs_ < End) {
    NowMs_ += StepMs;
    Target_.advance(StepMs);
    for (int I = Short(Random_); I > 0; --I)
      submitJob('s');
    for (int I = Filling(Random_); I > 0; --I)
      submitJob('f');
    for (Server &Backend : Servers_) {
      advanceTasks(Backend, StepMs);
      if (Backend.ReportAtMs_ <= NowMs_ && !Backend.IsReportPending_)
        sendReport(Backend);
    }
    if (NowMs_ % 100 == 0)
      recordCompletedJobs();
  }
  Result_.Seconds_ = Seconds;
  Result_.TargetCpuSeconds_ = Target_.getCpuSeconds() - Begin;
  Result_.OverTargetShare_ =
      TailSamples_ == 0 ? 0 : double(OverTargetSamples_) / double(TailSamples_);
  return Result_;
}
