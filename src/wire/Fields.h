//===- Fields.h - The fields of each message, in wire order ----*- C++ -*-===//
//
// One overload of listFields for each type that travels. The order is part of
// the protocol: fields are encoded as one array in just this order.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_FIELDS_H
#define TULIPWEIR_WIRE_FIELDS_H

#include "tulipweir/wire/AnnouncementBatch.h"
#include "tulipweir/wire/Messages.h"

#include <concepts>
#include <tuple>
#include <type_traits>

namespace tulipweir::wire {

/// Either const or not, so that one list serves reading and writing.
template <class T, class Plain>
concept Either = std::same_as<std::remove_const_t<T>, Plain>;

auto listFields(Either<TaskId> auto &V) { return std::tie(V.Job_, V.Index_); }
auto listFields(Either<FencingToken> auto &V) {
  return std::tie(V.Term_, V.Index_);
}
auto listFields(Either<Resources> auto &V) {
  return std::tie(V.MilliCpus_, V.MemoryMib_, V.Accelerators_);
}
auto listFields(Either<AttemptReport> auto &V) {
  return std::tie(V.Task_, V.Attempt_, V.Token_, V.State_, V.Checkpoint_,
                  V.Message_, V.Usage_, V.UsageAgeMs_, V.ProgressMs_);
}
auto listFields(Either<ServiceReport> auto &V) {
  return std::tie(V.Service_, V.Requests_, V.P99Micros_, V.MeanMicros_,
                  V.LoadPercent_, V.AgeMs_);
}
auto listFields(Either<TaskCommand> auto &V) {
  return std::tie(V.Kind_, V.Task_, V.Attempt_, V.Token_, V.Payload_,
                  V.Checkpoint_, V.Reservation_, V.ThrottlePercent_);
}
auto listFields(Either<LeaseRenewal> auto &V) {
  return std::tie(V.Task_, V.Attempt_, V.Token_);
}
auto listFields(Either<AnnouncementReply> auto &V) {
  return std::tie(V.LeaseTtlMs_, V.HeartbeatMs_, V.Commands_, V.Renewals_);
}
auto listFields(Either<Announcement> auto &V) {
  return std::tie(V.Server_, V.Boot_, V.DataCentre_, V.Rack_, V.Address_,
                  V.Capacity_, V.Services_, V.Slots_, V.Connections_,
                  V.Draining_, V.Sequence_, V.Attempts_, V.ServiceReports_);
}
auto listFields(Either<GrantHeld> auto &V) {
  return std::tie(V.Server_, V.Boot_, V.Slots_, V.Connections_, V.InFlight_);
}
auto listFields(Either<Route> auto &V) {
  return std::tie(V.Server_, V.Boot_, V.Address_, V.Services_, V.Slots_,
                  V.Connections_, V.Draining_);
}
auto listFields(Either<SignedBundle> auto &V) {
  return std::tie(V.Version_, V.Digest_, V.Text_);
}
auto listFields(Either<EntryReportReply> auto &V) {
  return std::tie(V.GrantTtlMs_, V.RoutesVersion_, V.Routes_, V.InForce_,
                  V.Bundle_, V.SendFull_);
}
auto listFields(Either<EntryReport> auto &V) {
  return std::tie(V.Entry_, V.Address_, V.Incarnation_, V.Held_, V.RoutesHeld_,
                  V.Stopping_, V.Brief_, V.InFlight_, V.Grants_);
}
auto listFields(Either<StoredAnswer> auto &V) {
  return std::tie(V.Status_, V.ContentType_, V.Body_);
}
auto listFields(Either<BeginRequestReply> auto &V) {
  return std::tie(V.Disposition_, V.Attempt_, V.Answer_);
}
auto listFields(Either<BeginRequest> auto &V) {
  return std::tie(V.Key_, V.Digest_, V.Entry_, V.EntryIncarnation_, V.Service_,
                  V.DeadlineWallMs_, V.Nonce_);
}
auto listFields(Either<RecordReply> auto &V) { return std::tie(V.Recorded_); }
auto listFields(Either<FinishRequest> auto &V) {
  return std::tie(V.Key_, V.Attempt_, V.Answer_);
}
auto listFields(Either<AbandonRequest> auto &V) {
  return std::tie(V.Key_, V.Attempt_);
}
auto listFields(Either<OperatorAnswer> auto &V) {
  return std::tie(V.Status_, V.Body_);
}
auto listFields(Either<OperatorCall> auto &V) {
  return std::tie(V.Method_, V.Path_, V.Query_, V.Body_);
}
auto listFields(Either<FleetCommandReply> auto &V) {
  return std::tie(V.Result_);
}
auto listFields(Either<FleetCommand> auto &V) { return std::tie(V.Command_); }
auto listFields(Either<ReplicationMessage> auto &V) {
  return std::tie(V.Group_, V.Payload_);
}

auto listFields(Either<NumberedAnnouncement> auto &V) {
  return std::tie(V.Number_, V.Value_);
}
auto listFields(Either<BatchException> auto &V) {
  return std::tie(V.Position_, V.Verdict_, V.Commands_, V.Renewals_, V.Error_,
                  V.Message_);
}
auto listFields(Either<AnnouncementBatchReply> auto &V) {
  return std::tie(V.LeaseTtlMs_, V.HeartbeatMs_, V.Exceptions_);
}
auto listFields(Either<AnnouncementBatch> auto &V) {
  return std::tie(V.Entry_, V.Incarnation_, V.Full_, V.Digests_);
}

/// A type with a list of fields.
template <class T>
concept Described = requires(T &Value) {
  listFields(Value);
};

/// The highest value of each enumeration that travels.
constexpr auto getLast(AttemptState) { return AttemptState::Checkpointed; }
constexpr auto getLast(TaskCommandKind) { return TaskCommandKind::Throttle; }
constexpr auto getLast(RequestDisposition) {
  return RequestDisposition::Expired;
}
constexpr auto getLast(BatchVerdict) { return BatchVerdict::Refused; }

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_FIELDS_H
