//===- DataCentreCodec.h - Encodes commands and results ---------*- C++ -*-===//
//
// Converts the commands, results, job specifications and progress in a data
// centre's log to and from msgpack. Decoding does not trust its input: invalid
// bytes fail with Malformed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DATACENTRE_DATACENTRECODEC_H
#define TULIPWEIR_DATACENTRE_DATACENTRECODEC_H

#include "tulipweir/core/Error.h"
#include "tulipweir/datacentre/Commands.h"

#include <string>
#include <string_view>

namespace tulipweir::datacentre {

struct JobRecord;

std::string encodeCommand(const Command &Value);
Outcome<Command> decodeCommand(std::string_view Bytes);

std::string encodeResult(const CommandResult &Value);
Outcome<CommandResult> decodeResult(std::string_view Bytes);

/// Encodes a job specification for the fleet log, which treats it as opaque.
std::string encodeJobSpec(const JobSpec &Value);
Outcome<JobSpec> decodeJobSpec(std::string_view Bytes);

/// Encodes what another data centre needs to continue a released job: whether
/// each task ended, its latest attempt and its checkpoint. The result becomes
/// AdoptJob::Progress_ there.
std::string encodeProgress(const JobRecord &Job);
/// Returns an empty list for empty bytes. Fails with Malformed if the bytes are
/// invalid or the number of tasks is not TaskCount.
Outcome<std::vector<TaskProgress>> decodeProgress(std::string_view Bytes,
                                                  std::size_t TaskCount);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_DATACENTRECODEC_H
