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
/// Two report intervals.
static constexpr std::uint64_t RegularWithinMs = 1000;
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
  return Records.size() > 1 ||
         (Records.size() == 1 && !Records.front().IsAmongMany_);
}

std::uint64_t jobs::getIsolationMs(const CrashRecords &Records) {
  // The first crash says little of when the task crashes a server.
  std::uint64_t Longest = 0;
  if (Records.size() > 1)
    for (const CrashRecord &Each : Records)
      Longest = std::max(Longest, Each.AgeMs_);
  return std::clamp(2 * Longest, SettledAfterMs, HarmlessAfterMs);
}

bool jobs::isToGiveUp(const CrashRecords &Records) {
  if (Records.size() < ToldCrashes)
    return false;
  std::set<std::uint64_t> Conclusive;
  std::set<std::uint64_t> AfterTold;
  std::uint64_t Shortest = Records.back().AgeMs_;
  std::uint64_t Longest = Shortest;
  for (const CrashRecord &Each : Records) {
    if (Each.Run_ > Records.front().Run_) {
      Shortest = std::min(Shortest, Each.AgeMs_);
      Longest = std::max(Longest, Each.AgeMs_);
    }
    if (Each.IsConclusive_ && Each.IsConfirmed_)
      Conclusive.insert(Each.Run_);
    if (Each.Run_ > Records[ToldCrashes - 1].Run_)
      AfterTold.insert(Each.Run_);
  }
  // A task crashes its servers after much the same time; what is sound is lost
  // at any time.
  const bool IsRegular = Longest - Shortest <= RegularWithinMs;
  const std::size_t MostRuns =
      IsRegular ? MostRunsAfterTold : MostRunsIfIrregular;
  return Conclusive.size() >= LeastConclusive || AfterTold.size() >= MostRuns;
}

bool jobs::hasCrashedAt(const CrashRecords &Records,
                        const std::string &Address) {
  return std::any_of(
      Records.begin(), Records.end(),
      [&Address](const CrashRecord &Each) { return Each.Address_ == Address; });
}

bool jobs::isUnsure(const CrashRecords &Records) {
  return Records.size() >= ToldCrashes && !Records.back().IsConfirmed_;
}

std::string jobs::listServers(const CrashRecords &Records) {
  std::string Text;
  for (const CrashRecord &Each : Records)
    Text += (Text.empty() ? "" : ", ") + Each.Server_;
  return Text;
}
