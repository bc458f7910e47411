#include "replication/MessageCodec.h"

#include "replication/Packing.h"

using namespace tulipweir;
using namespace tulipweir::replication;

/// Must be incremented with every change of a message's fields.
constexpr char MessageVersion = 1;

namespace tulipweir::replication::layout {

/// A message with the name of its group.
struct Envelope {
  std::string Group_;
  Message Message_;
};

static auto fields(Envelope &X) { return std::tie(X.Group_, X.Message_); }

} // namespace tulipweir::replication::layout

using layout::Envelope;

std::string replication::encodeMessage(const std::string &Group,
                                       const Message &From) {
  return MessageVersion + packing::pack(Envelope{Group, From});
}

Outcome<Message> replication::decodeMessage(const std::string &Group,
                                            std::string_view Bytes) {
  if (Bytes.empty())
    return fail(ErrorCode::Malformed, "an empty log message");
  if (Bytes.front() != MessageVersion)
    return fail(ErrorCode::VersionMismatch,
                "a log message of version " + std::to_string(Bytes.front()) +
                    "; this process supports version " +
                    std::to_string(MessageVersion));
  auto Decoded = packing::unpack<Envelope>(Bytes.substr(1), "a log message");
  if (!Decoded)
    return Decoded.as_failure();
  if (Decoded.value().Group_ != Group)
    return fail(ErrorCode::InvalidArgument,
                "a log message of group '" + Decoded.value().Group_ +
                    "' was received by group '" + Group + "'");
  return std::move(Decoded.value().Message_);
}
