//===- MessageCodec.h - Encoding of log messages ---------------*- C++ -*-===//
//
// Transport carries a version, the group's name and one message.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_MESSAGECODEC_H
#define TULIPWEIR_REPLICATION_MESSAGECODEC_H

#include "replication/LogMessages.h"

#include <string_view>

namespace tulipweir::replication {

std::string encodeMessage(const std::string &Group, const Message &From);

/// Fails with VersionMismatch, with InvalidArgument for a message of another
/// group, or with Malformed.
Outcome<Message> decodeMessage(const std::string &Group,
                               std::string_view Bytes);

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_MESSAGECODEC_H
