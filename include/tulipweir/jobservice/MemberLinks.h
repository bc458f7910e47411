//===- MemberLinks.h - Links between group members --------------*- C++ -*-===//
//
// A control is named by the address at which others call it; its links are on
// the same IP number at a port that is the same on all VMs. Links are made when
// a name is first used, so the set of controls need not be known at the start.
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

/// Timeouts that let a link notice a silent peer well within an election.
net::LinkSettings makeMemberLinkSettings(const std::string &Secret);

/// Thread-safe.
class MemberLinks final : public replication::Transport {
public:
  MemberLinks(boost::asio::io_context &Context, std::string Self,
              std::uint16_t LinkPort, const net::LinkSettings &Settings);
  ~MemberLinks() override;

  /// Replication traffic; one-way and lossy.
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
