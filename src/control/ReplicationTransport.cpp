#include "control/ReplicationTransport.h"

#include "tulipweir/wire/Messages.h"

using namespace tulipweir;
using namespace tulipweir::control;

ReplicationTransport::ReplicationTransport(PeerCaller &Peers, std::string Group)
    : Peers_(Peers), Group_(std::move(Group)) {}

void ReplicationTransport::send(const std::string &ToName,
                                std::string Message) {
  Messages_.fetch_add(1, std::memory_order_relaxed);
  Bytes_.fetch_add(Message.size(), std::memory_order_relaxed);
  const wire::ReplicationMessage Tagged{Group_, std::move(Message)};
  Peers_.post(ToName, wire::ReplicationMessage::Kind, wire::encode(Tagged));
}
