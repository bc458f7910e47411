//===- FleetCodec.h - The fleet's values as bytes --------------*- C++ -*-===//
//
// Strict msgpack: bytes that do not fit the type exactly, or that go on after
// it, give ErrorCode::Malformed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_FLEETCODEC_H
#define TULIPWEIR_FLEET_FLEETCODEC_H

#include "tulipweir/core/Error.h"
#include "tulipweir/fleet/AssignmentTimes.h"
#include "tulipweir/fleet/Commands.h"
#include "tulipweir/fleet/FleetState.h"

#include <string>
#include <string_view>

namespace tulipweir::fleet {

std::string encodeCommand(const Command &Value);
Outcome<Command> decodeCommand(std::string_view Bytes);

std::string encodeResult(const CommandResult &Value);
Outcome<CommandResult> decodeResult(std::string_view Bytes);

std::string encodeReport(const AssignmentReport &Value);
Outcome<AssignmentReport> decodeReport(std::string_view Bytes);

std::string encodeReply(const AssignmentReply &Value);
Outcome<AssignmentReply> decodeReply(std::string_view Bytes);

/// A snapshot begins with its format's number; another one gives
/// VersionMismatch.
std::string encodeState(const FleetState &Value);
Outcome<FleetState> decodeState(std::string_view Bytes);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_FLEETCODEC_H
