#include "tulipweir/jobs/LeaseMessages.h"

#include "core/Packing.h"

using namespace tulipweir;
using namespace tulipweir::jobs;

namespace tulipweir::jobs {
static auto fields(LeaseQuery &X) {
  return std::tie(X.From_, X.Term_, X.IsNotice_);
}
static auto fields(HeardServer &X) { return std::tie(X.Server_, X.AgeMs_); }
static auto fields(LeaseQueryReply &X) {
  return std::tie(X.MemoryMs_, X.Heard_);
}
static auto fields(WitnessRequest &X) { return std::tie(X.From_, X.Servers_); }
} // namespace tulipweir::jobs

std::string jobs::encodeLeaseQuery(const LeaseQuery &Query) {
  return packing::pack(Query);
}
Outcome<LeaseQuery> jobs::decodeLeaseQuery(std::string_view Bytes) {
  return packing::unpack<LeaseQuery>(Bytes, "a question about leases");
}
std::string jobs::encodeLeaseQueryReply(const LeaseQueryReply &Reply) {
  return packing::pack(Reply);
}
Outcome<LeaseQueryReply> jobs::decodeLeaseQueryReply(std::string_view Bytes) {
  return packing::unpack<LeaseQueryReply>(Bytes, "an answer about leases");
}
std::string jobs::encodeWitnessRequest(const WitnessRequest &Request) {
  return packing::pack(Request);
}
Outcome<WitnessRequest> jobs::decodeWitnessRequest(std::string_view Bytes) {
  return packing::unpack<WitnessRequest>(Bytes, "a list of received reports");
}
