//===- FleetDifferentialTest.cpp ------------------------------------------===//
//
// Compares FleetState with a naive model over random commands, restoring it
// from its own snapshot at random points.
//
//===----------------------------------------------------------------------===//

#include "FleetFixture.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

using namespace tulipweir;
using namespace tulipweir::fleet;
using namespace tulipweir::fleet::test;

static constexpr unsigned Operators = 3;
static constexpr unsigned Needed = 2;

namespace {

/// A model that keeps everything and searches it linearly.
class NaiveFleet {
public:
  struct Proposal {
    std::uint64_t Version_ = 0;
    std::uint64_t Parent_ = 0;
    std::string Text_;
    std::string ParentDigest_;
    std::set<std::string> Signers_;
    bool Accepted_ = false;
  };
  struct Job {
    std::string Name_;
    std::string Holder_;
    std::uint64_t Assignment_ = 0;
    std::string Progress_;
    bool Cancelling_ = false;
    bool Ended_ = false;
    JobEnd End_ = JobEnd::Finished;
  };

  /// Returns whether the bundle is or was in force.
  bool addSignature(const Proposal &Proposed, const std::string &Signer);
  void apply(const Command &Request);
  bool matches(const FleetState &Real) const;

private:
  Job *find(const JobId &Name) {
    for (Job &Candidate : Jobs_)
      if (Candidate.Name_ == Name.value())
        return &Candidate;
    return nullptr;
  }

  std::vector<Proposal> All_;
  std::vector<Proposal> Accepted_;
  std::vector<Job> Jobs_;
};

} // namespace

bool NaiveFleet::addSignature(const Proposal &Proposed,
                              const std::string &Signer) {
  for (const Proposal &Entry : Accepted_)
    if (Entry.Text_ == Proposed.Text_)
      return true;
  const std::uint64_t Now = Accepted_.empty() ? 0 : Accepted_.back().Version_;
  const std::string NowDigest =
      Accepted_.empty() ? "" : computeDigest(Accepted_.back().Text_).value();
  if (Proposed.Parent_ != Now || Proposed.ParentDigest_ != NowDigest)
    return false;
  for (Proposal &Entry : All_) {
    if (Entry.Text_ != Proposed.Text_)
      continue;
    Entry.Signers_.insert(Signer);
    if (Entry.Signers_.size() < Needed)
      return false;
    Accepted_.push_back(Entry);
    All_.clear();
    return true;
  }
  All_.push_back(Proposed);
  All_.back().Signers_ = {Signer};
  return false;
}

void NaiveFleet::apply(const Command &Request) {
  if (const auto *Submit = std::get_if<SubmitJob>(&Request)) {
    if (!find(Submit->Job_))
      Jobs_.emplace_back().Name_ = Submit->Job_.value();
  } else if (const auto *Assign = std::get_if<AssignJob>(&Request)) {
    Job *Record = find(Assign->Job_);
    if (Record && !Record->Ended_ && Record->Holder_.empty()) {
      Record->Holder_ = Assign->DataCentre_.value();
      ++Record->Assignment_;
    }
  } else if (const auto *Release = std::get_if<ReleaseJob>(&Request)) {
    Job *Record = find(Release->Job_);
    if (Record && !Record->Ended_ && !Record->Holder_.empty() &&
        Record->Assignment_ == Release->Assignment_) {
      Record->Holder_.clear();
      if (!Release->Progress_.empty())
        Record->Progress_ = Release->Progress_;
      if (Record->Cancelling_) {
        Record->Ended_ = true;
        Record->End_ = JobEnd::Cancelled;
      }
    }
  } else if (const auto *Cancel = std::get_if<CancelJob>(&Request)) {
    Job *Record = find(Cancel->Job_);
    if (Record && !Record->Ended_ && Record->Holder_.empty()) {
      Record->Ended_ = true;
      Record->End_ = JobEnd::Cancelled;
    } else if (Record && !Record->Ended_) {
      Record->Cancelling_ = true;
    }
  } else if (const auto *End = std::get_if<EndJob>(&Request)) {
    Job *Record = find(End->Job_);
    if (Record && !Record->Ended_ && !Record->Holder_.empty() &&
        Record->Assignment_ == End->Assignment_) {
      Record->Holder_.clear();
      Record->Ended_ = true;
      Record->End_ = End->End_;
    }
  }
}

bool NaiveFleet::matches(const FleetState &Real) const {
  const auto History = Real.bundles().history().list(Accepted_.size() + 1);
  if (History.size() != Accepted_.size())
    return false;
  for (std::size_t I = 0; I < History.size(); ++I)
    if (History[I].Digest_ !=
        computeDigest(Accepted_[Accepted_.size() - 1 - I].Text_))
      return false;
  std::size_t Held = 0;
  for (const Job &Expected : Jobs_) {
    const FleetJob *Actual = Real.jobs().find(JobId(Expected.Name_));
    if (!Actual || Actual->DataCentre_.value() != Expected.Holder_ ||
        Actual->Assignment_ != Expected.Assignment_ ||
        Actual->End_.has_value() != Expected.Ended_ ||
        (Expected.Ended_ && *Actual->End_ != Expected.End_) ||
        (!Expected.Ended_ && Actual->Progress_ != Expected.Progress_))
      return false;
    const bool IsWaiting = !Expected.Ended_ && Expected.Holder_.empty();
    if (Real.jobs().unassigned().contains(JobId(Expected.Name_)) != IsWaiting)
      return false;
    Held += Expected.Holder_.empty() ? 0 : 1;
  }
  std::size_t RealHeld = 0;
  for (const auto &[DataCentre, Names] : Real.jobs().held())
    RealHeld += Names.size();
  return RealHeld == Held && Real.jobs().jobs().size() == Jobs_.size();
}

static Command makeJobCommand(std::mt19937_64 &Random) {
  const JobId Job("job" + std::to_string(Random() % 6));
  const DataCentreId DataCentre(Random() % 2 ? "east" : "west");
  const std::uint64_t Assignment = Random() % 4;
  switch (Random() % 5) {
  case 0:
    return SubmitJob{Job, TeamId("t"), Random() % 4 ? "a" : "b", {}, 1};
  case 1:
    return AssignJob{Job, DataCentre};
  case 2:
    return ReleaseJob{Job, Assignment, false, Random() % 2 ? "p" : ""};
  case 3:
    return Random() % 4 ? Command(AssignJob{Job, DataCentre})
                        : Command(CancelJob{Job});
  default:
    return EndJob{Job, Assignment, static_cast<JobEnd>(Random() % 3), "", 1};
  }
}

/// Returns a proposal for a version near the one in force, more often with the
/// right parent than not.
static NaiveFleet::Proposal makeRandomProposal(const FleetState &Real,
                                               std::mt19937_64 &Random) {
  const AcceptedBundle *Latest = Real.bundles().history().latest();
  NaiveFleet::Proposal Proposed;
  Proposed.Parent_ = Latest ? Latest->Version_.value() : 0;
  Proposed.ParentDigest_ = Latest ? Latest->Digest_.value() : "";
  if (Random() % 5 == 0 && Proposed.Parent_ > 1) {
    const auto Older = Real.bundles().history().findVersion(
        BundleVersion(Proposed.Parent_ - 1));
    Proposed.Parent_ -= 1;
    Proposed.ParentDigest_ =
        Older ? Older->Digest_.value() : Proposed.ParentDigest_;
  }
  Proposed.Version_ = Proposed.Parent_ + 1;
  Proposed.Text_ = makeBundleText(Proposed.Version_, Proposed.Parent_,
                                  Proposed.ParentDigest_, Operators, Needed,
                                  std::to_string(Random() % 3));
  return Proposed;
}

TEST(FleetDifferentialTest, MatchesNaiveModelAcrossSnapshots) {
  for (std::uint64_t Seed = 0; Seed < 12; ++Seed) {
    std::mt19937_64 Random(Seed);
    FleetState Real;
    NaiveFleet Naive;
    BundleVersion Highest;
    for (int Step = 0; Step < 300; ++Step) {
      if (Random() % 3 == 0) {
        const auto Proposed = makeRandomProposal(Real, Random);
        const unsigned Signer = 1 + Random() % Operators;
        const bool Expected =
            Naive.addSignature(Proposed, makeOperator(Signer).value());
        const auto Result = Real.apply(makeProposal(Proposed.Text_, Signer));
        ASSERT_EQ(Result.Accepted_, Expected) << Seed << ":" << Step;
      } else {
        const Command Request = makeJobCommand(Random);
        Naive.apply(Request);
        Real.apply(Request);
      }
      ASSERT_TRUE(Naive.matches(Real)) << Seed << ":" << Step;
      if (Random() % 10 == 0) {
        const auto Restored = decodeState(encodeState(Real));
        ASSERT_TRUE(Restored.has_value());
        ASSERT_EQ(Restored.value(), Real);
        Real = Restored.value();
      }
      ASSERT_GE(Real.bundles().inForce().Version_, Highest);
      Highest = Real.bundles().inForce().Version_;
    }
    EXPECT_GT(Highest.value(), 5U) << "too few bundles were accepted";
  }
}
