#include "jobs/ServerBoard.h"

#include <algorithm>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::jobs;

void ServerBoard::reset(const JobBook &Book, TimePoint Now, Duration Lease) {
  Servers_.clear();
  for (const auto &[Id, Server] : Book.servers())
    add(Id, Now, Now + Lease);
}

bool ServerBoard::note(const ServerReport &Report, TimePoint Now,
                       Duration Lease) {
  const auto [Place, IsNew] = Servers_.try_emplace(Report.Facts_.Id_);
  ServerLive &Live = Place->second;
  if (IsNew)
    Live.LeaseEnd_ = Now + Lease;
  if (Report.Sequence_ <= Live.LastSequence_)
    return false;
  Live.LastSequence_ = Report.Sequence_;
  Live.LastHeard_ = Now;
  Live.IsDraining_ = Report.IsDraining_;
  Live.Running_ = Report.Running_;
  std::map<TaskKey, RunProgress> Progress;
  for (const RunningTask &Each : Report.Running_) {
    RunProgress Own{Each.Run_, Each.Percent_, Now, Now};
    const auto Before = Live.Progress_.find(Each.Task_);
    const bool IsSame =
        Before != Live.Progress_.end() && Before->second.Run_ == Each.Run_;
    if (IsSame)
      Own.SeenAt_ = Before->second.SeenAt_;
    if (IsSame && Before->second.Percent_ == Each.Percent_)
      Own.ChangedAt_ = Before->second.ChangedAt_;
    Progress.emplace(Each.Task_, Own);
  }
  // What has ended meanwhile is looked at once more.
  Live.Before_ = std::exchange(Live.Progress_, std::move(Progress));
  return true;
}

void ServerBoard::extendLease(const std::string &Id, TimePoint End) {
  ServerLive &Live = Servers_[Id];
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, End);
}

ServerLive *ServerBoard::find(const std::string &Id) {
  const auto Found = Servers_.find(Id);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

const ServerLive *ServerBoard::find(const std::string &Id) const {
  const auto Found = Servers_.find(Id);
  return Found == Servers_.end() ? nullptr : &Found->second;
}

void ServerBoard::add(const std::string &Id, TimePoint Now,
                      TimePoint LeaseEnd) {
  ServerLive &Live = Servers_[Id];
  Live.LastHeard_ = Now;
  Live.LeaseEnd_ = std::max(Live.LeaseEnd_, LeaseEnd);
}

void ServerBoard::remove(const std::string &Id) { Servers_.erase(Id); }

std::vector<std::string> ServerBoard::listLapsed(TimePoint Now) const {
  std::vector<std::string> Lapsed;
  for (const auto &[Id, Live] : Servers_)
    if (!Live.IsRemoving_ && Live.LeaseEnd_ <= Now)
      Lapsed.push_back(Id);
  return Lapsed;
}

std::vector<SavedWork> ServerBoard::listSaved(const std::string &Id) const {
  std::vector<SavedWork> Saved;
  if (const ServerLive *Live = find(Id))
    for (const RunningTask &Each : Live->Running_)
      if (!Each.Checkpoint_.empty())
        Saved.push_back({Each.Task_, Each.Run_, Each.Checkpoint_});
  return Saved;
}
