#include "LeaderTarget.h"

#include "platform/JobWire.h"
#include "platform/OperatorWire.h"
#include "platform/ServerWire.h"
#include "tulipweir/jobs/ReportBatch.h"

#include <ctime>

using namespace tulipweir;
using namespace tulipweir::bench;
using namespace tulipweir::jobs;

static constexpr const char *Host = "jobs.example";

/// Returns the processor time that this thread has used.
static double getThreadCpuSeconds() {
  timespec Now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return double(Now.tv_sec) + double(Now.tv_nsec) / 1e9;
}

LeaderTarget::LeaderTarget() {
  Leader_.start();
  advance(100);
}

void LeaderTarget::runTimed(const std::function<void()> &Work) {
  const double Begin = getThreadCpuSeconds();
  Work();
  Strand_.runAll();
  CpuSeconds_ += getThreadCpuSeconds() - Begin;
}

void LeaderTarget::configure(const std::string &Body) {
  runTimed([&] {
    Leader_.putConfiguration(platform::parseConfiguration(Body).value(),
                             [](const Outcome<void> &) {});
  });
}

void LeaderTarget::submit(const std::string &Path, const std::string &Body) {
  runTimed([&] {
    Leader_.call(
        {CallKind::Submit, Host, Path, platform::parseJob(Body).value()},
        [](const Outcome<JobCallReply> &) {});
  });
}

void LeaderTarget::report(const std::string &Server, const std::string &Body,
                          ReplyHandler Done) {
  // Relays parse and render the JSON bodies; the leader receives and returns
  // encoded frames. Only the handling of frames is measured.
  const std::string Frame = encodeReports(
      {{platform::parseHeartbeat(Server, Body).value()}, false, 0, {}});
  std::string Reply;
  runTimed([&] {
    Leader_.report(
        std::move(decodeReports(Frame).value().Reports_[0]),
        [&Reply](const Outcome<ServerOrders> &Orders) {
          Reply = encodeReportReply({{ReportAnswer::make(Orders)}, {}, 0});
        });
  });
  const ReportAnswer Answer =
      std::move(decodeReportReply(Reply).value().Answers_[0]);
  Done(Answer.Verdict_ == ReportVerdict::Answered
           ? platform::renderOrders(Answer.Orders_, "")
           : "");
}

void LeaderTarget::advance(int Ms) {
  runTimed([&] { Strand_.advance(std::chrono::milliseconds(Ms)); });
}

bool LeaderTarget::isCompleted(const std::string &Path) {
  return Machine_.read([&Path](const JobRegistry &Registry) {
    const JobRecord *Job = Registry.findJob(Path.substr(Path.rfind('/') + 1));
    return Job && Job->State_ == JobState::Completed;
  });
}
