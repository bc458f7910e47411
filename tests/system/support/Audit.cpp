#include "system/support/Audit.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>

using namespace tulipweir;
using namespace tulipweir::system_test;
using Json = nlohmann::json;

/// When one attempt ran somewhere.
struct RunInterval {
  std::int64_t FromMs_ = 0;
  std::int64_t ToMs_ = std::numeric_limits<std::int64_t>::max();
  std::uint64_t Attempt_ = 0;
  std::string Server_;
};

static AuditLine readLine(const std::string &Text) {
  Json From = Json::parse(Text);
  AuditLine Line;
  Line.AtMs_ = From.at("atMs").get<std::int64_t>();
  Line.Event_ = From.at("event").get<std::string>();
  Line.Server_ = From.at("server").get<std::string>();
  Line.Boot_ = From.at("boot").get<std::string>();
  Line.Task_ = From.value("task", "");
  Line.Attempt_ = From.value("attempt", std::uint64_t(0));
  Line.State_ = From.value("state", "");
  Line.Checkpoint_ = From.value("checkpoint", "");
  Line.Path_ = From.value("path", "");
  Line.Key_ = From.value("key", "");
  return Line;
}

Audit Audit::read(const std::vector<std::string> &Files) {
  Audit All;
  for (const std::string &Name : Files) {
    std::ifstream File(Name);
    // The last line is whole once its end is there: others write meanwhile.
    for (std::string Text; std::getline(File, Text) && !File.eof();)
      All.Lines_.push_back(readLine(Text));
  }
  return All;
}

std::size_t Audit::countRuns(const std::string &Path) const {
  return static_cast<std::size_t>(
      std::count_if(Lines_.begin(), Lines_.end(), [&](const AuditLine &Line) {
        return Line.Event_ == "request" && Line.Path_ == Path;
      }));
}

std::size_t Audit::countEnds(const std::string &Task,
                             const std::string &State) const {
  return static_cast<std::size_t>(
      std::count_if(Lines_.begin(), Lines_.end(), [&](const AuditLine &Line) {
        return Line.Event_ == "taskEnd" && Line.Task_ == Task &&
               Line.State_ == State;
      }));
}

std::size_t Audit::countStarts(const std::string &Job,
                               const std::string &DataCentre) const {
  return static_cast<std::size_t>(
      std::count_if(Lines_.begin(), Lines_.end(), [&](const AuditLine &Line) {
        return Line.Event_ == "taskStart" &&
               Line.Task_.starts_with(Job + "/") &&
               Line.Server_.starts_with(DataCentre + "-");
      }));
}

std::vector<AuditLine> Audit::listEvents(const std::string &Event) const {
  std::vector<AuditLine> Found;
  std::copy_if(Lines_.begin(), Lines_.end(), std::back_inserter(Found),
               [&](const AuditLine &Line) { return Line.Event_ == Event; });
  return Found;
}

std::vector<AuditLine> Audit::listNewWork(const std::string &Server,
                                          std::int64_t AfterMs) const {
  std::vector<AuditLine> Found;
  for (const AuditLine &Line : Lines_)
    if ((Line.Event_ == "request" || Line.Event_ == "taskStart") &&
        Line.Server_ == Server && Line.AtMs_ > AfterMs)
      Found.push_back(Line);
  return Found;
}

std::vector<std::string> Audit::listBrokenPromises() const {
  std::vector<std::string> Broken;
  checkOnePlace(Broken);
  checkCounts(Broken);
  return Broken;
}

void Audit::checkOnePlace(std::vector<std::string> &Broken) const {
  std::map<std::string, std::vector<RunInterval>> ByTask;
  for (const AuditLine &Line : Lines_) {
    auto &Intervals = ByTask[Line.Task_];
    if (Line.Event_ == "taskStart")
      Intervals.push_back({.FromMs_ = Line.AtMs_,
                           .Attempt_ = Line.Attempt_,
                           .Server_ = Line.Server_});
    if (Line.Event_ != "taskEnd")
      continue;
    for (RunInterval &Each : Intervals)
      if (Each.Attempt_ == Line.Attempt_ && Each.Server_ == Line.Server_)
        Each.ToMs_ = Line.AtMs_;
  }
  for (auto &[Task, Intervals] : ByTask) {
    std::sort(Intervals.begin(), Intervals.end(),
              [](const RunInterval &Left, const RunInterval &Right) {
                return Left.FromMs_ < Right.FromMs_;
              });
    for (std::size_t Index = 1; Index < Intervals.size(); ++Index)
      if (Intervals[Index].FromMs_ < Intervals[Index - 1].ToMs_)
        Broken.push_back("in two places: " + Task + " attempt " +
                         std::to_string(Intervals[Index - 1].Attempt_) +
                         " at " + Intervals[Index - 1].Server_ +
                         " and attempt " +
                         std::to_string(Intervals[Index].Attempt_) + " at " +
                         Intervals[Index].Server_);
  }
}

void Audit::checkCounts(std::vector<std::string> &Broken) const {
  std::map<std::string, std::size_t> Counts;
  for (const AuditLine &Line : Lines_) {
    if (Line.Event_ == "taskStart")
      ++Counts["started: " + Line.Task_ + " attempt " +
               std::to_string(Line.Attempt_)];
    if (Line.Event_ == "taskEnd" && Line.State_ == "finished")
      ++Counts["finished: " + Line.Task_];
    if (Line.Event_ == "request" && !Line.Key_.empty())
      ++Counts["request run: key " + Line.Key_];
    if (Line.Event_ == "overfull")
      Broken.push_back("overfull: " + Line.Server_ + " by " + Line.Task_);
  }
  for (const auto &[What, Count] : Counts)
    if (Count > 1)
      Broken.push_back(std::to_string(Count) + " times " + What);
}
