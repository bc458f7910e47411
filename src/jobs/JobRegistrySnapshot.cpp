// Snapshots of JobRegistry.
#include "tulipweir/jobs/JobRegistry.h"

#include "jobs/JobPacking.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {

/// The contents of a snapshot; all other state is derived.
struct RegistrySnapshot {
  Configuration Configuration_;
  std::vector<JobRecord> Jobs_;
  std::vector<ServerFacts> Servers_;
  std::uint64_t NextSequence_ = 1;
  std::vector<IncarnationAtAddress> Incarnations_;
  std::vector<std::string> IncarnationsOver_;
  std::vector<WaveRecord> Waves_;
  std::vector<std::string> Evacuated_;
};
auto fields(RegistrySnapshot &X) {
  return std::tie(X.Configuration_, X.Jobs_, X.Servers_, X.NextSequence_,
                  X.Incarnations_, X.IncarnationsOver_, X.Waves_, X.Evacuated_);
}

} // namespace

std::string JobRegistry::encode() const {
  RegistrySnapshot Snapshot;
  Snapshot.Configuration_ = Configuration_;
  Snapshot.NextSequence_ = NextSequence_;
  for (const auto &[Id, Job] : Jobs_)
    Snapshot.Jobs_.push_back(Job);
  // Jobs are sorted so that equal states encode to equal bytes.
  std::sort(Snapshot.Jobs_.begin(), Snapshot.Jobs_.end(),
            [](const JobRecord &Left, const JobRecord &Right) {
              return Left.Sequence_ < Right.Sequence_;
            });
  for (const auto &[Id, Server] : Servers_.ordered())
    Snapshot.Servers_.push_back(Server.Facts_);
  Snapshot.Incarnations_ = Incarnations_.listLatest();
  for (const auto &[Id, Wave] : Waves_.waves())
    Snapshot.Waves_.push_back(Wave);
  Snapshot.Evacuated_ = {Evacuated_.begin(), Evacuated_.end()};
  Snapshot.IncarnationsOver_ = {Incarnations_.endedIds().begin(),
                                Incarnations_.endedIds().end()};
  return packing::pack(Snapshot);
}

Outcome<JobRegistry> JobRegistry::decode(std::string_view Bytes) {
  auto Decoded = packing::unpack<RegistrySnapshot>(Bytes, "a snapshot of jobs");
  if (!Decoded)
    return std::move(Decoded).as_failure();
  RegistrySnapshot &Snapshot = Decoded.value();
  JobRegistry Registry;
  Registry.Configuration_ = std::move(Snapshot.Configuration_);
  Registry.NextSequence_ = Snapshot.NextSequence_;
  Registry.Incarnations_ = ServerIncarnations::makeFrom(
      std::move(Snapshot.Incarnations_), Snapshot.IncarnationsOver_);
  for (ServerFacts &Facts : Snapshot.Servers_) {
    Registry.Incarnations_.occupy(Facts.Address_);
    Registry.IdByAddress_[Facts.Address_] = Facts.Id_;
    Registry.Servers_[Facts.Id_].Facts_ = Facts;
  }
  for (auto &[Id, Server] : Registry.Servers_)
    Server.IsAfterCrash_ =
        Registry.Incarnations_.isAfterCrash(Server.Facts_.Address_);
  Registry.Evacuated_ = {Snapshot.Evacuated_.begin(),
                         Snapshot.Evacuated_.end()};
  Registry.Waves_ = WaveRegistry::makeFrom(std::move(Snapshot.Waves_));
  for (JobRecord &Job : Snapshot.Jobs_)
    Registry.Jobs_[Job.Spec_.Id_] = std::move(Job);
  Registry.rebuildIndexes();
  return Registry;
}

void JobRegistry::replace(JobRegistry Snapshot) {
  Snapshot.ReadyVersion_ += ReadyVersion_ + 1;
  Snapshot.ForgottenVersion_ += ForgottenVersion_ + 1;
  *this = std::move(Snapshot);
}

void JobRegistry::rebuildIndexes() {
  for (const auto &[Id, Job] : Jobs_) {
    if (Job.State_ == JobState::Queued)
      ++Pending_[Job.Policy_.getKey()];
    if (!isEnded(Job.State_) &&
        Job.CreatedOccurrenceCount_ < Job.Spec_.countOccurrences())
      Timed_.insert(Id);
    updateReadySteps(Job);
    for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_)
      for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
        for (std::size_t Index = 0;
             Index < Occurrence.Steps_[Step].Tasks_.size(); ++Index)
          for (const Placement &Run :
               Occurrence.Steps_[Step].Tasks_[Index].Placements_) {
            Servers_[Run.Server_].add({Id, Occurrence.Number_, Step, Index},
                                      Run.Run_, Job.Spec_.Steps_[Step]);
          }
    for (const OccurrenceRecord &Occurrence : Job.OpenOccurrences_)
      for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
        for (std::size_t Index = 0;
             Index < Occurrence.Steps_[Step].Tasks_.size(); ++Index)
          updateSuspect({Id, Occurrence.Number_, Step, Index});
  }
}
