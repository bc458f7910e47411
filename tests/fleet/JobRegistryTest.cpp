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
  JobRegistry Registry;
  EXPECT_EQ(Registry.submit(makeJob(Job)).Error_, "");
  EXPECT_EQ(Registry.submit(makeJob(Job)).Error_, "already_exists");
  EXPECT_EQ(Registry.submit(makeJob(Job, "other")).Error_, "conflict");
  EXPECT_EQ(Registry.jobs().size(), 1U);
}

TEST(JobRegistryTest, JobIsHeldByOneDataCentreAtATime) {
  JobRegistry Registry;
  Registry.submit(makeJob(Job));
  EXPECT_EQ(Registry.assign({Job, East}).Assignment_, 1U);
  EXPECT_EQ(Registry.assign({Job, West}).Error_, "conflict");
  EXPECT_EQ(Registry.assign({Job, East}).Error_, "already_exists");
  EXPECT_EQ(Registry.find(Job)->DataCentre_, East);
  EXPECT_EQ(Registry.release(makeRelease(1, "half")).Error_, "");
  EXPECT_EQ(Registry.assign({Job, West}).Assignment_, 2U);
  EXPECT_EQ(Registry.find(Job)->Progress_, "half");
}

TEST(JobRegistryTest, EarlierHolderCanNeitherReleaseNorEndJob) {
  JobRegistry Registry;
  Registry.submit(makeJob(Job));
  Registry.assign({Job, East});
  Registry.release(makeRelease(1));
  EXPECT_EQ(Registry.release(makeRelease(1)).Error_, "already_exists");
  EXPECT_EQ(Registry.end(makeEnd(1)).Error_, "stale_token");
  Registry.assign({Job, West});
  EXPECT_EQ(Registry.release(makeRelease(1)).Error_, "stale_token");
  EXPECT_EQ(Registry.end(makeEnd(1)).Error_, "stale_token");
  EXPECT_EQ(Registry.end(makeEnd(2)).Error_, "");
  EXPECT_EQ(Registry.end(makeEnd(2)).Error_, "already_exists");
  EXPECT_EQ(Registry.submit(makeJob(Job)).Error_, "already_exists");
  EXPECT_EQ(Registry.assign({Job, East}).Error_, "already_exists");
}

TEST(JobRegistryTest, CancelEndsOnlyUnassignedJobsImmediately) {
  JobRegistry Registry;
  Registry.submit(makeJob(Job));
  Registry.assign({Job, East});
  EXPECT_EQ(Registry.cancel({Job}).Error_, "");
  EXPECT_TRUE(Registry.find(Job)->Cancelling_);
  EXPECT_FALSE(Registry.find(Job)->End_);
  Registry.release(makeRelease(1));
  EXPECT_EQ(Registry.find(Job)->End_, JobEnd::Cancelled);
  EXPECT_TRUE(Registry.unassigned().empty());
  const JobId Waiting("waiting");
  Registry.submit(makeJob(Waiting));
  Registry.cancel({Waiting});
  EXPECT_EQ(Registry.find(Waiting)->End_, JobEnd::Cancelled);
}

TEST(JobRegistryTest, NumbersOfOpenAndEndedJobsAreBounded) {
  JobRegistry Registry;
  for (std::size_t I = 0; I < JobRegistry::MaxEndedJobs + 10; ++I) {
    const JobId Name(std::to_string(I));
    Registry.submit(makeJob(Name, std::string(5000, 'x')));
    Registry.cancel({Name});
  }
  EXPECT_EQ(Registry.jobs().size(), JobRegistry::MaxEndedJobs);
  EXPECT_EQ(Registry.find(JobId("9")), nullptr);
  EXPECT_EQ(Registry.find(JobId("10"))->Spec_, "") << "long specs are dropped";
  EXPECT_EQ(
      Registry.submit(makeJob(JobId("10"), std::string(5000, 'x'))).Error_,
      "already_exists");
  EXPECT_EQ(Registry.submit(makeJob(JobId("10"))).Error_, "conflict");
  for (std::size_t I = 0; I < JobRegistry::MaxOpenJobs; ++I)
    Registry.submit(makeJob(JobId("open" + std::to_string(I)), ""));
  EXPECT_EQ(Registry.submit(makeJob(JobId("more"))).Error_, "unavailable");
}

TEST(JobRegistryTest, OversizedFieldsAreRejected) {
  JobRegistry Registry;
  EXPECT_EQ(Registry.submit(makeJob(JobId())).Error_, "invalid_argument");
  EXPECT_EQ(Registry.submit(makeJob(JobId(std::string(129, 'x')))).Error_,
            "invalid_argument");
  const std::string Long(JobRegistry::MaxSpecBytes + 1, 'x');
  EXPECT_EQ(Registry.submit(makeJob(Job, Long)).Error_, "invalid_argument");
  Registry.submit(makeJob(Job));
  Registry.assign({Job, East});
  const std::string LongProgress(JobRegistry::MaxProgressBytes + 1, 'x');
  EXPECT_EQ(Registry.release(makeRelease(1, LongProgress)).Error_, "too_large");
}

TEST(JobRegistryTest, SnapshotWithWrongEndedJobsIsRejected) {
  JobRegistry Registry;
  Registry.submit(makeJob(Job));
  Registry.submit(makeJob(JobId("ended")));
  Registry.cancel({JobId("ended")});
  const auto Jobs = Registry.jobs();
  EXPECT_EQ(JobRegistry::restore(Jobs, Registry.ended()).value(), Registry);
  for (const std::deque<JobId> &Wrong : {std::deque<JobId>{},
                                         {Job},
                                         {JobId("ended"), JobId("none")},
                                         {JobId("ended"), JobId("ended")}})
    EXPECT_FALSE(JobRegistry::restore(Jobs, Wrong).has_value());
}
