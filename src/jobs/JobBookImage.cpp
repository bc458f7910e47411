// The book as a snapshot, and back.
#include "tulipweir/jobs/JobBook.h"

#include "jobs/JobPacking.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace {

/// What a snapshot holds; everything else is derived.
struct BookImage {
  Configuration Configuration_;
  std::vector<JobRecord> Jobs_;
  std::vector<ServerFacts> Servers_;
  std::uint64_t NextSequence_ = 1;
  std::vector<IncarnationAtAddress> Incarnations_;
  std::vector<std::string> IncarnationsOver_;
  std::vector<WaveRecord> Waves_;
  std::vector<std::string> Evacuated_;
};
auto fields(BookImage &X) {
  return std::tie(X.Configuration_, X.Jobs_, X.Servers_, X.NextSequence_,
                  X.Incarnations_, X.IncarnationsOver_, X.Waves_, X.Evacuated_);
}

} // namespace

std::string JobBook::encode() const {
  BookImage Image;
  Image.Configuration_ = Configuration_;
  Image.NextSequence_ = NextSequence_;
  for (const auto &[Id, Job] : Jobs_)
    Image.Jobs_.push_back(Job);
  // The same state gives the same bytes.
  std::sort(Image.Jobs_.begin(), Image.Jobs_.end(),
            [](const JobRecord &Left, const JobRecord &Right) {
              return Left.Sequence_ < Right.Sequence_;
            });
  for (const auto &[Id, Server] : Servers_)
    Image.Servers_.push_back(Server.Facts_);
  Image.Incarnations_ = Incarnations_.Latest_;
  for (const auto &[Id, Wave] : Waves_.waves())
    Image.Waves_.push_back(Wave);
  Image.Evacuated_ = {Evacuated_.begin(), Evacuated_.end()};
  Image.IncarnationsOver_ = {Incarnations_.Over_.begin(),
                             Incarnations_.Over_.end()};
  return packing::pack(Image);
}

Outcome<JobBook> JobBook::decode(std::string_view Bytes) {
  auto Read = packing::unpack<BookImage>(Bytes, "a snapshot of jobs");
  if (!Read)
    return std::move(Read).as_failure();
  BookImage &Image = Read.value();
  JobBook Book;
  Book.Configuration_ = std::move(Image.Configuration_);
  Book.NextSequence_ = Image.NextSequence_;
  for (ServerFacts &Facts : Image.Servers_) {
    Book.IdByAddress_[Facts.Address_] = Facts.Id_;
    Book.Servers_[Facts.Id_].Facts_ = Facts;
  }
  Book.Incarnations_.Latest_ = std::move(Image.Incarnations_);
  Book.Incarnations_.Over_ = {Image.IncarnationsOver_.begin(),
                              Image.IncarnationsOver_.end()};
  for (auto &[Id, Server] : Book.Servers_)
    Server.IsAfterCrash_ =
        Book.Incarnations_.isAfterCrash(Server.Facts_.Address_);
  Book.Evacuated_ = {Image.Evacuated_.begin(), Image.Evacuated_.end()};
  Book.Waves_ = WaveBook::makeFrom(std::move(Image.Waves_));
  for (JobRecord &Job : Image.Jobs_)
    Book.Jobs_[Job.Spec_.Id_] = std::move(Job);
  Book.rebuildIndexes();
  return Book;
}

void JobBook::rebuildIndexes() {
  for (const auto &[Id, Job] : Jobs_) {
    if (Job.State_ == JobState::Queued)
      ++Pending_[Job.Policy_.getKey()];
    if (!isEnded(Job.State_) && Job.OpenedUpTo_ < Job.Spec_.countOccurrences())
      Timed_.insert(Id);
    updateReadyOfAll(Job);
    for (const OccurrenceRecord &Occurrence : Job.Open_)
      for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
        for (std::size_t Index = 0;
             Index < Occurrence.Steps_[Step].Tasks_.size(); ++Index)
          for (const Placement &Each :
               Occurrence.Steps_[Step].Tasks_[Index].Placements_) {
            Servers_[Each.Server_].add({Id, Occurrence.Number_, Step, Index},
                                       Each.Run_, Job.Spec_.Steps_[Step]);
          }
    for (const OccurrenceRecord &Occurrence : Job.Open_)
      for (std::size_t Step = 0; Step < Occurrence.Steps_.size(); ++Step)
        for (std::size_t Index = 0;
             Index < Occurrence.Steps_[Step].Tasks_.size(); ++Index)
          updateSuspect({Id, Occurrence.Number_, Step, Index});
  }
}
