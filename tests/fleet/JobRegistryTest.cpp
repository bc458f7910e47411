//===- JobRegistryTest.cpp ------------------------------------------------===//

#include "tulipweir/fleet/JobRegistry.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::fleet;

static const JobId Job{"rebill"};
static const DataCentreId East{"east"};
static const DataCentreId West{"west"};

static SubmitJob makeJob(const JobId &Name, const std::string &Spec = "spec") {
  return {Name, TeamId("tariffs"), Spec, DataCentreId(), 5};
}

static ReleaseJob makeRelease(std::uint64_t Assignment,
                              const std::string &Progress = "") {
  return {Job, Assignment, false, Progress};
}

static EndJob makeEnd(std::uint64_t Assignment) {
  return {Job, Assignment, JobEnd::Finished, "done", 9};
}

TEST(JobRegistryTest, ResubmissionIsDetectedAndReusedNameConflicts) {
  JobRegistry Book;
  EXPECT_EQ(Book.submit(makeJob(Job)).Error_, "");
  EXPECT_EQ(Book.submit(makeJob(Job)).Error_, "already_exists");
  EXPECT_EQ(Book.submit(makeJob(Job, "other")).Error_, "conflict");
  EXPECT_EQ(Book.jobs().size(), 1U);
}

TEST(JobRegistryTest, JobIsHeldByOneDataCentreAtATime) {
  JobRegistry Book;
  Book.submit(makeJob(Job));
  EXPECT_EQ(Book.assign({Job, East}).Assignment_, 1U);
  EXPECT_EQ(Book.assign({Job, West}).Error_, "conflict");
  EXPECT_EQ(Book.assign({Job, East}).Error_, "already_exists");
  EXPECT_EQ(Book.find(Job)->DataCentre_, East);
  EXPECT_EQ(Book.release(makeRelease(1, "half")).Error_, "");
  EXPECT_EQ(Book.assign({Job, West}).Assignment_, 2U);
  EXPECT_EQ(Book.find(Job)->Progress_, "half");
}

TEST(JobRegistryTest, EarlierHolderCanNeitherReleaseNorEndJob) {
  JobRegistry Book;
  Book.submit(makeJob(Job));
  Book.assign({Job, East});
  Book.release(makeRelease(1));
  EXPECT_EQ(Book.release(makeRelease(1)).Error_, "already_exists");
  EXPECT_EQ(Book.end(makeEnd(1)).Error_, "stale_token");
  Book.assign({Job, West});
  EXPECT_EQ(Book.release(makeRelease(1)).Error_, "stale_token");
  EXPECT_EQ(Book.end(makeEnd(1)).Error_, "stale_token");
  EXPECT_EQ(Book.end(makeEnd(2)).Error_, "");
  EXPECT_EQ(Book.end(makeEnd(2)).Error_, "already_exists");
  EXPECT_EQ(Book.submit(makeJob(Job)).Error_, "already_exists");
  EXPECT_EQ(Book.assign({Job, East}).Error_, "already_exists");
}

TEST(JobRegistryTest, CancelEndsOnlyUnassignedJobsImmediately) {
  JobRegistry Book;
  Book.submit(makeJob(Job));
  Book.assign({Job, East});
  EXPECT_EQ(Book.cancel({Job}).Error_, "");
  EXPECT_TRUE(Book.find(Job)->Cancelling_);
  EXPECT_FALSE(Book.find(Job)->End_);
  Book.release(makeRelease(1));
  EXPECT_EQ(Book.find(Job)->End_, JobEnd::Cancelled);
  EXPECT_TRUE(Book.unassigned().empty());
  const JobId Waiting("waiting");
  Book.submit(makeJob(Waiting));
  Book.cancel({Waiting});
  EXPECT_EQ(Book.find(Waiting)->End_, JobEnd::Cancelled);
}

TEST(JobRegistryTest, NumbersOfOpenAndEndedJobsAreBounded) {
  JobRegistry Book;
  for (std::size_t I = 0; I < JobRegistry::MaxEndedJobs + 10; ++I) {
    const JobId Name(std::to_string(I));
    Book.submit(makeJob(Name, std::string(5000, 'x')));
    Book.cancel({Name});
  }
  EXPECT_EQ(Book.jobs().size(), JobRegistry::MaxEndedJobs);
  EXPECT_EQ(Book.find(JobId("9")), nullptr);
  EXPECT_EQ(Book.find(JobId("10"))->Spec_, "") << "long specs are dropped";
  EXPECT_EQ(Book.submit(makeJob(JobId("10"), std::string(5000, 'x'))).Error_,
            "already_exists");
  EXPECT_EQ(Book.submit(makeJob(JobId("10"))).Error_, "conflict");
  for (std::size_t I = 0; I < JobRegistry::MaxOpenJobs; ++I)
    Book.submit(makeJob(JobId("open" + std::to_string(I)), ""));
  EXPECT_EQ(Book.submit(makeJob(JobId("more"))).Error_, "unavailable");
}

TEST(JobRegistryTest, OversizedFieldsAreRejected) {
  JobRegistry Book;
  EXPECT_EQ(Book.submit(makeJob(JobId())).Error_, "invalid_argument");
  EXPECT_EQ(Book.submit(makeJob(JobId(std::string(129, 'x')))).Error_,
            "invalid_argument");
  const std::string Long(JobRegistry::MaxSpecBytes + 1, 'x');
  EXPECT_EQ(Book.submit(makeJob(Job, Long)).Error_, "invalid_argument");
  Book.submit(makeJob(Job));
  Book.assign({Job, East});
  const std::string LongProgress(JobRegistry::MaxProgressBytes + 1, 'x');
  EXPECT_EQ(Book.release(makeRelease(1, LongProgress)).Error_, "too_large");
}

TEST(JobRegistryTest, SnapshotWithWrongEndedJobsIsRejected) {
  JobRegistry Book;
  Book.submit(makeJob(Job));
  Book.submit(makeJob(JobId("ended")));
  Book.cancel({JobId("ended")});
  const auto Jobs = Book.jobs();
  EXPECT_EQ(JobRegistry::restore(Jobs, Book.ended()).value(), Book);
  for (const std::deque<JobId> &Wrong : {std::deque<JobId>{},
                                         {Job},
                                         {JobId("ended"), JobId("none")},
                                         {JobId("ended"), JobId("ended")}})
    EXPECT_FALSE(JobRegistry::restore(Jobs, Wrong).has_value());
}
