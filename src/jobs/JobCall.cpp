#include "tulipweir/jobs/JobCall.h"

#include "jobs/JobPacking.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace tulipweir::jobs {
static auto fields(JobCall &X) {
  return std::tie(X.Kind_, X.Host_, X.Path_, X.Spec_);
}
static auto fields(JobCallReply &X) {
  return std::tie(X.Outcome_, X.State_, X.IsCount_, X.Pending_, X.RetryAfterMs_,
                  X.Reason_);
}
static auto fields(GroupView &X) { return std::tie(X.Leader_, X.Members_); }
static constexpr std::uint8_t maxOf(CallKind) {
  return static_cast<std::uint8_t>(CallKind::Cancel);
}
static constexpr std::uint8_t maxOf(CallOutcome) {
  return static_cast<std::uint8_t>(CallOutcome::NoConfiguration);
}
} // namespace tulipweir::jobs

/// Marks a data centre in the place of the job's id.
static constexpr std::string_view DataCentreMark = "data-centre=";

// Controls of earlier versions refuse a call with a further field. They take a
// job's id from the path and ignore the one in its specification, so the data
// centre is sent in its place.
std::string jobs::encodeCall(const JobCall &Call) {
  if (Call.Kind_ != CallKind::Submit || Call.DataCentre_.empty())
    return packing::pack(Call);
  JobCall Marked = Call;
  Marked.Spec_.Id_ = std::string(DataCentreMark) + Call.DataCentre_;
  return packing::pack(Marked);
}
Outcome<JobCall> jobs::decodeCall(std::string_view Bytes) {
  Outcome<JobCall> Call = packing::unpack<JobCall>(Bytes, "a call about a job");
  if (!Call || Call.value().Kind_ != CallKind::Submit ||
      !Call.value().Spec_.Id_.starts_with(DataCentreMark))
    return Call;
  std::string &Id = Call.value().Spec_.Id_;
  Call.value().DataCentre_ = Id.substr(DataCentreMark.size());
  Id.clear();
  return Call;
}
std::string jobs::encodeCallReply(const JobCallReply &Reply) {
  return packing::pack(Reply);
}
Outcome<JobCallReply> jobs::decodeCallReply(std::string_view Bytes) {
  return packing::unpack<JobCallReply>(Bytes, "an answer about a job");
}
std::string jobs::encodeGroupView(const GroupView &View) {
  return packing::pack(View);
}
Outcome<GroupView> jobs::decodeGroupView(std::string_view Bytes) {
  return packing::unpack<GroupView>(Bytes, "a view of a group");
}
