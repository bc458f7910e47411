//===- DataCentreCodec.h - Encodes commands and results ---------*- C++ -*-===//
//
// msgpack encodings of what goes into a data centre's log and comes out of it.
// Decoding never trusts its input: bytes that do not fit give Malformed.
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

/// A job's specification as the fleet log keeps it (opaque there).
std::string encodeJobSpec(const JobSpec &Value);
Outcome<JobSpec> decodeJobSpec(std::string_view Bytes);

/// What another data centre needs to go on with a released job: of each task
/// whether it ended, its latest attempt and its checkpoint. Goes into
/// AdoptJob::Progress_ there.
std::string encodeProgress(const JobRecord &Job);
/// Empty bytes give an empty list. Fails with Malformed, also when the number
/// of tasks is not TaskCount.
Outcome<std::vector<TaskProgress>> decodeProgress(std::string_view Bytes,
                                                  std::size_t TaskCount);

} // namespace tulipweir::datacentre

#endif // TULIPWEIR_DATACENTRE_DATACENTRECODEC_H
