#include "tulipweir/jobs/CrashRecord.h"

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Crashes after which a task may be started only a few times more.
static constexpr std::size_t MinCrashes = 3;
/// Runs that may crash their servers after that.
static constexpr std::size_t MaxRegularRuns = 2;
/// The same where the crashes came at differing times after the starts.
static constexpr std::size_t MaxIrregularRuns = 6;
/// A report interval, and a little more.
static constexpr std::uint64_t MaxRegularSpreadMs = 600;
/// Runs whose crash is conclusive that it takes before that.
static constexpr std::size_t MinConclusiveRuns = 2;
/// Records kept of a task; a gang adds several with each run.
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
  // The first crash says little of when the task crashes a server.
  std::uint64_t Longest = 0;
  if (Records.size() > 1)
    for (const CrashRecord &Crash : Records)
      Longest = std::max(Longest, Crash.AgeMs_);
  return std::clamp(2 * Longest, SettledAgeMs, HarmlessAgeMs);
}

/// Whether the runs took much the same time to their crashes. A culprit does;
/// what is sound is lost at any time.
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
  // Whatever ran beside the first run may have caused that crash.
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
