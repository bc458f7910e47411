//===- Fields.h - Field lists of the data centre's types --------*- C++ -*-===//
//
// The order of the fields is the stored format. It changes only together with
// SnapshotFormat and the protocol version.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_FIELDS_H
#define TULIPWEIR_SRC_DATACENTRE_FIELDS_H

#include "datacentre/Pack.h"
#include "tulipweir/datacentre/Commands.h"
#include "tulipweir/datacentre/DataCentreState.h"
#include "tulipweir/datacentre/RequestRecords.h"

namespace tulipweir {

using datacentre::pack::IsA;

void fields(auto &V, IsA<FencingToken> auto &X) { V(X.Term_, X.Index_); }
void fields(auto &V, IsA<TaskId> auto &X) { V(X.Job_, X.Index_); }
void fields(auto &V, IsA<Resources> auto &X) {
  V(X.MilliCpus_, X.MemoryMib_, X.Accelerators_);
}

namespace wire {

void fields(auto &V, IsA<StoredAnswer> auto &X) {
  V(X.Status_, X.ContentType_, X.Body_);
}
void fields(auto &V, IsA<BeginRequestReply> auto &X) {
  V(X.Disposition_, X.Attempt_, X.Answer_);
}
void fields(auto &V, IsA<BeginRequest> auto &X) {
  V(X.Key_, X.Digest_, X.Entry_, X.EntryIncarnation_, X.Service_,
    X.DeadlineWallMs_, X.Nonce_);
}
void fields(auto &V, IsA<FinishRequest> auto &X) {
  V(X.Key_, X.Attempt_, X.Answer_);
}
void fields(auto &V, IsA<AbandonRequest> auto &X) { V(X.Key_, X.Attempt_); }

} // namespace wire

namespace datacentre {

void fields(auto &V, IsA<JobSpec> auto &X) {
  V(X.Job_, X.Team_, X.Class_, X.Priority_, X.Tasks_, X.Declared_, X.Payload_,
    X.MaxAttempts_);
}
void fields(auto &V, IsA<RegisterServer> auto &X) {
  V(X.Server_, X.Boot_, X.Rack_, X.Address_, X.Capacity_, X.Services_, X.Slots_,
    X.Connections_, X.Draining_);
}
void fields(auto &V, IsA<ForgetServer> auto &X) { V(X.Server_); }
void fields(auto &V, IsA<AdoptJob> auto &X) {
  V(X.Spec_, X.Assignment_, X.Progress_);
}
void fields(auto &V, IsA<PlaceTask> auto &X) {
  V(X.Task_, X.Attempt_, X.Server_, X.Boot_, X.Reservation_);
}
void fields(auto &V, IsA<ChangeReservation> auto &X) {
  V(X.Task_, X.Attempt_, X.Reservation_);
}
void fields(auto &V, IsA<EndAttempt> auto &X) {
  V(X.Task_, X.Attempt_, X.End_, X.Checkpoint_, X.Message_);
}
void fields(auto &V, IsA<CancelJob> auto &X) { V(X.Job_); }
void fields(auto &V, IsA<DropJob> auto &X) { V(X.Job_); }
void fields(auto &V, IsA<BeginRecord> auto &X) { V(X.Request_, X.WallMs_); }
void fields(auto &V, IsA<FinishRecord> auto &X) { V(X.Request_, X.WallMs_); }
void fields(auto &V, IsA<AbandonRecord> auto &X) { V(X.Request_, X.WallMs_); }
void fields(auto &V, IsA<EndEntry> auto &X) { V(X.Entry_, X.Incarnation_); }
void fields(auto &V, IsA<ReleaseJob> auto &X) { V(X.Job_, X.Assignment_); }
void fields(auto &V, IsA<CommandResult> auto &X) {
  V(X.Error_, X.Message_, X.Token_, X.Begin_);
}
void fields(auto &V, IsA<TaskRecord> auto &X) {
  V(X.State_, X.Attempt_, X.Token_, X.Server_, X.Boot_, X.Reservation_,
    X.Checkpoint_, X.Message_, X.Failures_, X.Evictions_, X.Losses_);
}
void fields(auto &V, IsA<RequestRecord> auto &X) {
  V(X.Digest_, X.State_, X.Attempt_, X.Entry_, X.EntryIncarnation_, X.Nonce_,
    X.BegunWallMs_, X.RetentionStartMs_, X.Answer_);
}

template <>
inline constexpr std::uint64_t pack::EnumCount<wire::RequestDisposition> = 6;
template <> inline constexpr std::uint64_t pack::EnumCount<AttemptEnd> = 5;
template <> inline constexpr std::uint64_t pack::EnumCount<TaskState> = 5;
template <> inline constexpr std::uint64_t pack::EnumCount<RecordState> = 4;

} // namespace datacentre
} // namespace tulipweir

#endif // TULIPWEIR_SRC_DATACENTRE_FIELDS_H
