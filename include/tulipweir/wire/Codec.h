//===- Codec.h - msgpack encoding of the messages --------------*- C++ -*-===//
//
// Every type of Messages.h can be encoded and decoded. Decoding never trusts
// its input: bytes that do not fit the type give ErrorCode::Malformed.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_WIRE_CODEC_H
#define TULIPWEIR_WIRE_CODEC_H

#include "tulipweir/core/Error.h"

#include <string>
#include <string_view>

namespace tulipweir::wire {

/// Returns the message as msgpack. Instantiated for the types of Messages.h.
template <class Message> std::string encode(const Message &Value);

/// Reads one message that fills Bytes exactly, or fails with Malformed.
template <class Message> Outcome<Message> decode(std::string_view Bytes);

} // namespace tulipweir::wire

#endif // TULIPWEIR_WIRE_CODEC_H
