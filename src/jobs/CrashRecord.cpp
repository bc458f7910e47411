#include "tulipweir/jobs/CrashRecord.h"

#include <algorithm>
#include <set>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Crashes after which a task may be started only a few times more.
static constexpr std::size_t ToldCrashes = 3;
/// Runs that may crash their servers after that.
static constexpr std::size_t MostRunsAfterTold = 2;
/// The same where the crashes came at differing times after the starts.
static constexpr std::size_t MostRunsIfIrregular = 6;
/// A report interval, and a little more.
static constexpr std::uint64_t RegularWithinMs = 600;
/// Runs whose crash is conclusive that it takes before that.
static constexpr std::size_t LeastConclusive = 2;
/// Records kept of a task; a gang adds several with each run.
static constexpr std::size_t MostRecords = 16;

void jobs::addCrash(CrashRecords &Records, CrashRecord Record) {
  const auto Same = std::find_if(
      Records.begin(), Records.end(), [&Record](const CrashRecord &Each) {
        return Each.Run_ == Record.Run_ && Each.Server_ == Record.Server_;
      });
  if (Same != Records.end())
    *Same = std::move(Record);
  else if (Records.size() < MostRecords)
    Records.push_back(std::move(Record));
}

bool jobs::needsIsolation(const CrashRecords &Records) {
  if (Records.size() != 1)
    return !Records.empty();
  return Records.front().IsConfirmed_ && !Records.front().IsAmongMany_;
}

std::uint64_t jobs::getIsolationMs(const CrashRecords &Records) {
  // The first crash says little of when the task crashes a server.
  std::uint64_t Longest = 0;
  if (Records.size() > 1)
    for (const CrashRecord &Each : Records)
      Longest = std::max(Longest, Each.AgeMs_);
  return std::clamp(2 * Longest, SettledAfterMs, HarmlessAfterMs);
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
         Longest->AgeMs_ - Shortest->AgeMs_ <= RegularWithinMs;
}

static std::size_t countRuns(const CrashRecords &Records) {
  std::set<std::uint64_t> Runs;
  for (const CrashRecord &Each : Records)
    Runs.insert(Each.Run_);
  return Runs.size();
}

bool jobs::isToGiveUp(const CrashRecords &Records) {
  CrashRecords Sure = Records;
  std::erase_if(Sure, [](const CrashRecord &Each) { return Each.IsDoubtful_; });
  if (Sure.size() < ToldCrashes)
    return false;
  CrashRecords Conclusive = Sure;
  std::erase_if(Conclusive, [](const CrashRecord &Each) {
    return !Each.IsConclusive_ || !Each.IsConfirmed_;
  });
  if (countRuns(Conclusive) >= LeastConclusive && isRegular(Conclusive))
    return true;
  CrashRecords AfterTold = Sure;
  std::erase_if(AfterTold, [&Sure](const CrashRecord &Each) {
    return Each.Run_ <= Sure[ToldCrashes - 1].Run_;
  });
  // Whatever ran beside the first run may have caused that crash.
  std::erase_if(Sure, [First = Sure.front().Run_](const CrashRecord &Each) {
    return Each.Run_ == First;
  });
  return countRuns(AfterTold) >=
         (isRegular(Sure) ? MostRunsAfterTold : MostRunsIfIrregular);
}

bool jobs::isUnsure(const CrashRecords &Records) {
  return Records.size() >= ToldCrashes && !Records.back().IsConfirmed_;
}

bool jobs::hasCrashedAt(const CrashRecords &Records,
                        const std::string &Address) {
  return std::any_of(
      Records.begin(), Records.end(),
      [&Address](const CrashRecord &Each) { return Each.Address_ == Address; });
}

std::string jobs::listServers(const CrashRecords &Records) {
  std::string Text;
  for (const CrashRecord &Each : Records)
    Text += (Text.empty() ? "" : ", ") + Each.Server_;
  return Text;
}
