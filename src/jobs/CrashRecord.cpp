#include "tulipweir/jobs/CrashRecord.h"

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Number of crashes from which on a task gets only a few more runs.
static constexpr std::size_t MinCrashes = 3;
/// Crashing runs that are allowed after that if the crashes came at similar run
/// ages.
static constexpr std::size_t MaxRegularRuns = 2;
/// Crashing runs that are allowed after that if the crashes came at different
/// run ages.
static constexpr std::size_t MaxIrregularRuns = 6;
/// Slightly more than one report interval.
static constexpr std::uint64_t MaxRegularSpreadMs = 600;
/// Runs with a conclusive crash that suffice to give up without further runs.
static constexpr std::size_t MinConclusiveRuns = 2;
/// Records kept per task; a gang adds several with each run.
static constexpr std::size_t MaxRecords = 16;

void jobs::addCrash(CrashRecords &Records, CrashRecord Record) {
  const auto Existing = std::find_if(
      Records.begin(), Records.end(), [&Record](const CrashRecord &Crash) {
        return Crash.Run_ == Record.Run_ && Crash.Server_ == Record.Server_;
      });
  if (Existing != Records.end())
    *Existing = std::move(Record);
  else if (Records.size() < MaxRecords)
    Records.push_back(std::move(Record));
}

bool jobs::needsIsolation(const CrashRecords &Records) {
  if (Records.size() != 1)
    return !Records.empty();
  return Records.front().IsConfirmed_ && !Records.front().IsCorrelated_;
}

std::uint64_t jobs::getIsolationMs(const CrashRecords &Records) {
  // The age of the first crashed run says little about when the task crashes a
  // server.
  std::uint64_t Longest = 0;
  if (Records.size() > 1)
    for (const CrashRecord &Crash : Records)
      Longest = std::max(Longest, Crash.AgeMs_);
  return std::clamp(2 * Longest, SettledAgeMs, HarmlessAgeMs);
}

/// Returns whether the runs crashed at similar ages. A task that crashes
/// servers does so at a regular age, while healthy runs are lost at any age.
static bool isRegular(const CrashRecords &Records) {
  const auto [Shortest, Longest] = std::minmax_element(
      Records.begin(), Records.end(),
      [](const CrashRecord &Left, const CrashRecord &Right) {
        return Left.AgeMs_ < Right.AgeMs_;
      });
  return Records.empty() ||
         Longest->AgeMs_ - Shortest->AgeMs_ <= MaxRegularSpreadMs;
}

static std::size_t countRuns(const CrashRecords &Records) {
  std::set<std::uint64_t> Runs;
  for (const CrashRecord &Crash : Records)
    Runs.insert(Crash.Run_);
  return Runs.size();
}

bool jobs::shouldGiveUp(const CrashRecords &Records) {
  CrashRecords Confident = Records;
  std::erase_if(Confident,
                [](const CrashRecord &Crash) { return Crash.OnlyIsolates_; });
  if (Confident.size() < MinCrashes)
    return false;
  CrashRecords Conclusive = Confident;
  std::erase_if(Conclusive, [](const CrashRecord &Crash) {
    return !Crash.IsConclusive_ || !Crash.IsConfirmed_;
  });
  if (countRuns(Conclusive) >= MinConclusiveRuns && isRegular(Conclusive))
    return true;
  CrashRecords AfterThreshold = Confident;
  std::erase_if(AfterThreshold, [&Confident](const CrashRecord &Crash) {
    return Crash.Run_ <= Confident[MinCrashes - 1].Run_;
  });
  // The crash under the first run may have been caused by any run beside it.
  std::erase_if(Confident,
                [First = Confident.front().Run_](const CrashRecord &Crash) {
                  return Crash.Run_ == First;
                });
  return countRuns(AfterThreshold) >=
         (isRegular(Confident) ? MaxRegularRuns : MaxIrregularRuns);
}

bool jobs::isLastCrashUnconfirmed(const CrashRecords &Records) {
  return Records.size() >= MinCrashes && !Records.back().IsConfirmed_;
}

bool jobs::hasCrashedAt(const CrashRecords &Records,
                        const std::string &Address) {
  return std::any_of(Records.begin(), Records.end(),
                     [&Address](const CrashRecord &Crash) {
                       return Crash.Address_ == Address;
                     });
}

std::string jobs::listServers(const CrashRecords &Records) {
  std::string Text;
  for (const CrashRecord &Crash : Records)
    Text += (Text.empty() ? "" : ", ") + Crash.Server_;
  return Text;
}
