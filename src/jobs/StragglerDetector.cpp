#include "jobs/StragglerDetector.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;
using namespace std::chrono_literals;

/// Half a round of reports: nothing new is known sooner.
static constexpr Duration SurveyInterval = 250ms;
/// A run this many times as long as declared is late; what is declared is off
/// by a fifth, and tasks of a step differ by as much.
static constexpr std::int64_t LateFactor = 2;
/// And by at least so much, as progress is seen a report late.
static constexpr Duration LeastDelay = 600ms;
/// Bounds the work of a plan.
static constexpr std::size_t MostListed = 64;
static constexpr std::int64_t Percent = 100;

void Stragglers::reset() {
  Late_.clear();
  NextSurvey_ = {};
}

bool Stragglers::isLate(const StepSpec &Step, const RunProgress &Run,
                        TimePoint Now) {
  const Duration Took = Now - Run.SeenAt_;
  const Duration Declared = std::chrono::milliseconds(Step.EstimateMs_);
  const Duration Allowed =
      std::max(Declared * LateFactor, Declared + LeastDelay);
  if (Took >= Allowed)
    return true;
  const bool IsTelling = Took >= LeastDelay && Run.Percent_ > 0;
  return IsTelling &&
         Took * Percent / static_cast<std::int64_t>(Run.Percent_) >=
             Allowed + LeastDelay;
}

void Stragglers::survey(const JobBook &Book, const ServerBoard &Board,
                        TimePoint Now) {
  if (Now < NextSurvey_)
    return;
  NextSurvey_ = Now + SurveyInterval;
  std::vector<std::pair<TimePoint, TaskKey>> Found;
  for (const auto &[Id, Server] : Book.servers()) {
    const ServerLive *Live = Board.find(Id);
    if (!Live)
      continue;
    for (std::size_t I = 0; I < Live->Running_.size(); ++I) {
      const TaskKey &Task = Live->Running_[I].Task_;
      const RunProgress &Run = Live->Progress_[I];
      // Most runs are too young to be late; that costs no look-up.
      if (Now - Run.SeenAt_ < LeastDelay)
        continue;
      const StepSpec *Step = Book.findStep(Task);
      const bool MayCopy = Step && Step->Speculative_ && !Step->Gang_ &&
                           !Step->LongRunning_ && isLate(*Step, Run, Now);
      if (MayCopy)
        Found.emplace_back(Run.SeenAt_, Task);
    }
  }
  std::sort(Found.begin(), Found.end());
  Found.resize(std::min(Found.size(), MostListed));
  Late_.clear();
  for (auto &[Since, Task] : Found)
    Late_.push_back(std::move(Task));
}
