#include "jobservice/ReportGather.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// What changes nothing is answered at once, the rest after a commit; while a
/// disk hangs, the others' leases must not wait for it.
static constexpr Duration MostWait = 300ms;

ReportGather::ReportGather(std::size_t Reports, TimePoint Begin, Send Sending)
    : Answers_(Reports), Open_(Reports), Begin_(Begin),
      Send_(std::move(Sending)) {
  for (jobs::ReportAnswer &Each : Answers_)
    Each.Text_ = "the leader has not decided it in time";
  if (Open_ == 0)
    send();
}

void ReportGather::note(std::size_t Report,
                        const Outcome<jobs::ServerOrders> &Answer) {
  if (IsSent_)
    return;
  Answers_[Report] = jobs::ReportAnswer::make(Answer);
  if (--Open_ == 0)
    send();
}

void ReportGather::look(TimePoint Now) {
  const bool IsAnyThere = Open_ < Answers_.size();
  if (!IsSent_ && IsAnyThere && Now - Begin_ >= MostWait)
    send();
}

void ReportGather::send() {
  IsSent_ = true;
  Send_(std::move(Answers_));
}
