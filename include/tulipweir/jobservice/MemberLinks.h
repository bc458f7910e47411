//===- MemberLinks.h - Links between group members --------------*- C++ -*-===//
//
// A control is named by the address at which other members call it. Its links
// use the same IP address and a port that is the same on all VMs. A link is
// created when its name is first used, so the set of controls need not be
// known at startup.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_JOBSERVICE_MEMBERLINKS_H
#define TULIPWEIR_JOBSERVICE_MEMBERLINKS_H

#include "tulipweir/net/Link.h"
#include "tulipweir/replication/Replica.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tulipweir::jobservice {

/// Returns timeouts with which a link detects a silent peer within 1.5 s.
net::LinkSettings makeMemberLinkSettings(const std::string &Secret);

/// Thread-safe.
class MemberLinks final : public replication::Transport {
public:
  MemberLinks(boost::asio::io_context &Context, std::string Self,
              std::uint16_t LinkPort, const net::LinkSettings &Settings);
  ~MemberLinks() override;

  /// Sends replication traffic, which is one-way and may be lost.
  void send(const std::string &ToName, std::string Message) override;
  void call(const std::string &ToName, wire::MessageKind Kind, std::string Body,
            Duration Timeout, net::LinkReply Reply);
  bool isConnected(const std::string &Name) const;
  void stop();

private:
  net::LinkClient *findOrCreate(const std::string &Name);

  boost::asio::io_context &Context_;
  const std::string Self_;
  const std::uint16_t LinkPort_;
  const net::LinkSettings Settings_;
  mutable std::mutex Lock_;
  bool Stopped_ = false; ///< Guarded by Lock_, as is Links_.
  std::map<std::string, std::unique_ptr<net::LinkClient>> Links_;
};

} // namespace tulipweir::jobservice

#endif // TULIPWEIR_JOBSERVICE_MEMBERLINKS_H
