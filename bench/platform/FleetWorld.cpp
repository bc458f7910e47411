#include "FleetWorld.h"

#include <cmath>
#include <iomanip>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::bench;
using Json = nlohmann::json;

static constexpr int StepMs = 10;
static constexpr int ReportAfterEndMs = 50;
static constexpr int UsualReportMs = 500;
static constexpr std::int64_t ServerCpu = 32'000;
static constexpr std::int64_t ServerMemory = 125'000;
static constexpr int RackSize = 8;
static constexpr int FillingImages = 9;
static constexpr int ServingImages = 5;
/// A little over half of the pairs disturb, on nine images of five.
static constexpr int DisturbingOfTwenty = 11;
/// The share of a server below which what disturbs shows no effect.
static constexpr double QuietShare = 0.1;
static constexpr double TailTargetMs = 150;
static constexpr double UsualTailMs = 60;

static bool isInterfering(int Serving, int Filling) {
  return (Serving * 7 + Filling * 13 + Serving * Filling * 5) % 20 <
         DisturbingOfTwenty;
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

FleetWorld::FleetWorld(const FleetLoad &Load, FleetTarget &Target)
    : Load_(Load), Random_(Load.Seed_), Target_(Target) {
  Target_.configure(makeConfiguration().dump());
  for (int I = 0; I < Load.Servers_; ++I) {
    Server Own;
    // Ids as random as real ones: comparing them ends early.
    std::ostringstream Id;
    Id << "i-" << std::hex << (Random_() & 0xffffffffffU);
    Own.Id_ = Id.str();
    Own.Rack_ = "r" + std::to_string(I / RackSize);
    Own.ReportAtMs_ = I * UsualReportMs / Load.Servers_;
    Servers_.push_back(Own);
  }
  for (int I = 0; I < Load.LastingJobs_; ++I)
    handIn('l');
}

double FleetWorld::draw(double Mean, double Spread) {
  std::lognormal_distribution<double> Spreading(0, Spread);
  return Mean * Spreading(Random_) / std::exp(Spread * Spread / 2);
}

void FleetWorld::handIn(char Kind) {
  std::ostringstream Id;
  Id << std::hex << std::setw(16) << std::setfill('0') << Random_();
  Job Own{NowMs_, NowMs_, Kind == 'f'};
  int Steps = 1;
  double Count = Load_.TasksOfLasting_;
  double Cpu = 6400;
  double EstimateMs = 320;
  Json Step = {{"memMb", 13'000}};
  std::string Image = "l" + std::to_string(Random_() % ServingImages);
  if (Kind == 's') {
    Steps = 1 + static_cast<int>(Random_() % 10 < 6);
    Count = draw(Load_.TasksOfShort_, 0.6);
    Cpu = std::min(draw(4100, 0.45), 9000.0);
    EstimateMs = draw(640, 0.5);
    Step["memMb"] = 4600;
    Image.clear();
  } else if (Kind == 'f') {
    Steps = 2;
    Count = draw(Load_.TasksOfFilling_, 0.5);
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
  // What a task is: its kind or image, time and use.
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
  Own.DueMs_ +=
      std::lround((Kind == 's' ? 1200 : 1000) + EstimateMs * Steps * Stretch);
  const std::string Path = std::string("/") + Kind + "/" + Id.str();
  if (Kind != 'l')
    Jobs_[Path] = Own;
  Target_.submit(Path, Spec.dump());
}

/// Full of what disturbs, a tail is many times its usual one.
double FleetWorld::getTail(const Server &Own, const Run &Serving) {
  const int Image = std::stoi(Serving.Kind_.substr(1));
  double Share = 0;
  for (const auto &[Name, Each] : Own.Running_)
    if (Each.Kind_[0] == 'f' &&
        isInterfering(Image, std::stoi(Each.Kind_.substr(1))))
      Share += double(Each.Cpu_) * Each.Pace_ / double(ServerCpu);
  const double Excess = std::max(0.0, Share - QuietShare);
  return draw(UsualTailMs, 0.35) * std::exp(10 * Excess);
}

void FleetWorld::work(Server &Own, int ForMs) {
  std::vector<std::string> Over;
  for (auto &[Name, Each] : Own.Running_) {
    if (Each.Kind_[0] == 'l')
      continue;
    Each.LeftMs_ -= ForMs * Each.Pace_;
    if (Each.LeftMs_ <= 0)
      Over.push_back(Name);
  }
  for (const std::string &Name : Over) {
    Own.Ended_.push_back(
        {++Own.LastEnd_, Name, Own.Running_.at(Name).Number_, "done", ""});
    Own.Running_.erase(Name);
    Own.ReportAtMs_ = std::min(Own.ReportAtMs_, NowMs_ + ReportAfterEndMs);
  }
}

void FleetWorld::report(Server &Own) {
  Json Beat = {
      {"service", "booking"},
      {"address", Own.Id_ + ":80"},
      {"zone", "dc1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"coldLeftMs", 0},
      {"seq", ++Own.Sequence_},
      {"capacity", {{"cpu", ServerCpu}, {"memMb", ServerMemory}, {"gpu", 0}}},
      {"labels", {"a", Own.Rack_}},
      {"currentTimeMs", NowMs_},
      {"running", Json::array()},
      {"finished", Own.Ended_}};
  for (const auto &[Name, Each] : Own.Running_) {
    double Measure = double(Each.Cpu_) * Each.Pace_;
    if (Each.Kind_[0] == 'l') {
      Measure = std::round(getTail(Own, Each));
      ++TailsSeen_;
      TailsOver_ += Measure > TailTargetMs ? 1 : 0;
    }
    const double Percent =
        Each.Kind_[0] == 'l' ? 100 : 100 * (1 - Each.LeftMs_ / Each.TotalMs_);
    Beat["running"].push_back({Name, Each.Number_, "00000bb87a21d94b",
                               std::lround(Percent), std::lround(Measure)});
  }
  Own.IsWaiting_ = true;
  Own.ReportAtMs_ = NowMs_ + UsualReportMs;
  ++Result_.Reports_;
  Target_.report(Own.Id_, Beat.dump(), [this, &Own](const std::string &Answer) {
    Own.IsWaiting_ = false;
    if (!Answer.empty())
      obey(Own, Answer);
  });
}

void FleetWorld::obey(Server &Own, const std::string &Answer) {
  const Json Orders = Json::parse(Answer);
  const std::uint64_t Noted = Orders.value("lastSeen", std::uint64_t(0));
  std::erase_if(Own.Ended_, [Noted](const Json &Row) {
    return Row[0].get<std::uint64_t>() <= Noted;
  });
  Own.ReportAtMs_ = NowMs_ + Orders.value("retryAfterMs", 500);
  for (const Json &Row : Orders.value("start", Json::array())) {
    const auto Name = Row[0].get<std::string>();
    if (Own.Running_.count(Name) != 0)
      continue;
    Run Fresh;
    Fresh.Number_ = Row[1].get<std::uint64_t>();
    double Ms = 0;
    std::istringstream(Row[2].get<std::string>()) >> Fresh.Kind_ >> Ms >>
        Fresh.Cpu_;
    Fresh.TotalMs_ = Fresh.LeftMs_ = std::max(20.0, draw(Ms, 0.2));
    Own.Running_.emplace(Name, Fresh);
    ++Result_.Starts_;
  }
  for (const Json &Row : Orders.value("stop", Json::array())) {
    const auto Found = Own.Running_.find(Row[0].get<std::string>());
    if (Found == Own.Running_.end())
      continue;
    Own.Ended_.push_back({++Own.LastEnd_, Found->first, Found->second.Number_,
                          "stopped", "00000bb87a21d94b"});
    Own.Running_.erase(Found);
    Own.ReportAtMs_ = NowMs_ + ReportAfterEndMs;
  }
  for (const Json &Row : Orders.value("pace", Json::array())) {
    const auto Found = Own.Running_.find(Row[0].get<std::string>());
    if (Found != Own.Running_.end())
      Found->second.Pace_ = Row[2].get<double>() / 100;
  }
}

/// Which of the jobs have come to their end.
void FleetWorld::look() {
  std::erase_if(Jobs_, [this](const auto &Each) {
    if (!Target_.isCompleted(Each.first))
      return false;
    const bool IsInTime = NowMs_ <= Each.second.DueMs_;
    (Each.second.IsFilling_ ? Result_.FillingDone_ : Result_.ShortDone_) += 1;
    (Each.second.IsFilling_ ? Result_.FillingInTime_ : Result_.ShortInTime_) +=
        IsInTime ? 1 : 0;
    return true;
  });
}

FleetResult FleetWorld::run(int Seconds) {
  Result_ = {};
  TailsSeen_ = TailsOver_ = 0;
  const double Begin = Target_.getSeconds();
  std::poisson_distribution<int> Short(Load_.ShortPerSecond_ * StepMs / 1000);
  std::poisson_distribution<int> Filling(Load_.FillingPerSecond_ * StepMs /
                                         1000);
  const std::int64_t End = NowMs_ + std::int64_t(Seconds) * 1000;
  while (NowMs_ < End) {
    NowMs_ += StepMs;
    Target_.advance(StepMs);
    for (int I = Short(Random_); I > 0; --I)
      handIn('s');
    for (int I = Filling(Random_); I > 0; --I)
      handIn('f');
    for (Server &Each : Servers_) {
      work(Each, StepMs);
      if (Each.ReportAtMs_ <= NowMs_ && !Each.IsWaiting_)
        report(Each);
    }
    if (NowMs_ % 100 == 0)
      look();
  }
  Result_.Seconds_ = Seconds;
  Result_.TargetSeconds_ = Target_.getSeconds() - Begin;
  Result_.TailsOver_ =
      TailsSeen_ == 0 ? 0 : double(TailsOver_) / double(TailsSeen_);
  return Result_;
}
