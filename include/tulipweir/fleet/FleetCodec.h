//===- FleetCodec.h - Binary encoding of the fleet's values ----*- C++ -*-===//
//
// The encoding is strict msgpack: bytes that do not match the type exactly, or
// that are followed by others, give ErrorCode::Malformed.
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

/// Encodes a snapshot, which begins with the number of its format. decodeState
/// fails with VersionMismatch for any other format.
std::string encodeState(const FleetState &Value);
Outcome<FleetState> decodeState(std::string_view Bytes);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_FLEETCODEC_H
