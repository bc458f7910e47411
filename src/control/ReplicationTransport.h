//===- ReplicationTransport.h - A group's transport ------------*- C++ -*-===//
//
// Tags the messages of a group and posts them over the links to other control
// processes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_REPLICATIONTRANSPORT_H
#define TULIPWEIR_SRC_CONTROL_REPLICATIONTRANSPORT_H

#include "control/PeerCaller.h"
#include "tulipweir/replication/Replica.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace tulipweir::control {

class ReplicationTransport final : public replication::Transport {
public:
  ReplicationTransport(PeerCaller &Peers, std::string Group);
  void send(const std::string &ToName, std::string Message) override;

  std::uint64_t getMessageCount() const { return Messages_; }
  std::uint64_t getByteCount() const { return Bytes_; }

private:
  PeerCaller &Peers_;
  const std::string Group_;
  std::atomic<std::uint64_t> Messages_{0};
  std::atomic<std::uint64_t> Bytes_{0};
};

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_REPLICATIONTRANSPORT_H
