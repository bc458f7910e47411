//===- OtherMembers.h - Questions of a leader to the others -----*- C++ -*-===//
//
// The questions of a leader on this member to the relays, which RelayFlush
// sends, and to the members that know of earlier leases, which LeaseSurvey
// sends.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_JOBSERVICE_OTHERMEMBERS_H
#define TULIPWEIR_SRC_JOBSERVICE_OTHERMEMBERS_H

#include "jobservice/LeaseSurvey.h"
#include "jobservice/RelayFlush.h"

namespace tulipweir::jobservice {

/// Runs on the executor of both arguments, which must outlive it.
class OtherMembers final : public jobs::ReportRelays {
public:
  OtherMembers(RelayFlush &Flush, LeaseSurvey &Survey)
      : Flush_(Flush), Survey_(Survey) {}

  void flush(const std::string &ServerId, std::function<void()> Done) override {
    Flush_.flush(ServerId, std::move(Done));
  }
  void findHeard(const std::vector<std::string> &ServerIds,
                 std::function<void(Heard)> Done) override {
    Flush_.findHeard(ServerIds, std::move(Done));
  }
  jobs::PartialAnswer
  findPartialAnswer(const std::vector<std::string> &ServerIds) const override {
    return Flush_.findPartialAnswer(ServerIds);
  }
  void findLeaseBounds(
      std::uint64_t Term,
      std::function<void(const jobs::LeaseBounds &)> Found) override {
    Survey_.start(Term, std::move(Found));
  }

private:
  RelayFlush &Flush_;
  LeaseSurvey &Survey_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_SRC_JOBSERVICE_OTHERMEMBERS_H
