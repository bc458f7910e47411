#include "jobservice/HeardServers.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// Longer than any lease, so that a server that is not listed has none that
/// this member knows of.
static constexpr Duration Retention = 20s;
static constexpr Duration CleanupInterval = 5s;

static std::uint64_t toMs(Duration Value) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

void HeardServers::record(const std::string &ServerId) {
  const TimePoint Now = Time_.now();
  HeardAt_[ServerId] = Now;
  removeOld(Now);
}

void HeardServers::removeOld(TimePoint Now) {
  if (Now < NextCleanup_)
    return;
  NextCleanup_ = Now + CleanupInterval;
  std::erase_if(HeardAt_, [Now](const auto &Entry) {
    return Now - Entry.second > Retention;
  });
}

jobs::LeaseQueryReply HeardServers::makeReply() const {
  const TimePoint Now = Time_.now();
  jobs::LeaseQueryReply Reply;
  Reply.MemoryMs_ = toMs(Now - MemorySince_);
  Reply.Heard_.reserve(HeardAt_.size());
  for (const auto &[Id, HeardAt] : HeardAt_)
    Reply.Heard_.push_back({Id, toMs(Now - HeardAt)});
  return Reply;
}
