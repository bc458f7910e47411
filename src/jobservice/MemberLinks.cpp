#include "tulipweir/jobservice/MemberLinks.h"

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// A link whose writes stall for this time is closed. The timeout is far above
/// a round trip of a few milliseconds, so only a cut-off or frozen peer reaches
/// it.
static constexpr Duration StallTimeout = 1500ms;
static constexpr Duration HandshakeTimeout = 1s;
static constexpr Duration MaxReconnectDelay = 300ms;
/// Two to three intervals and an election fit into the three seconds within
/// which a silent connection must be detected. One interval is far above the
/// 0.1 s for which a busy leader may delay others.
static constexpr Duration LifeCheckInterval = 500ms;

net::LinkSettings
jobservice::makeMemberLinkSettings(const std::string &Secret) {
  net::LinkSettings Settings;
  Settings.Secret_ = Secret;
  Settings.WriteStallTimeout_ = StallTimeout;
  Settings.HandshakeTimeout_ = HandshakeTimeout;
  Settings.ReconnectLast_ = MaxReconnectDelay;
  Settings.LifeCheckInterval_ = LifeCheckInterval;
  return Settings;
}

MemberLinks::MemberLinks(boost::asio::io_context &Context, std::string Self,
                         std::uint16_t LinkPort,
                         const net::LinkSettings &Settings)
    : Context_(Context), Self_(std::move(Self)), LinkPort_(LinkPort),
      Settings_(Settings) {}

MemberLinks::~MemberLinks() { stop(); }

net::LinkClient *MemberLinks::findOrCreate(const std::string &Name) {
  const std::lock_guard Hold(Lock_);
  if (Stopped_ || Name == Self_)
    return nullptr;
  const auto It = Links_.find(Name);
  if (It != Links_.end())
    return It->second.get();
  Outcome<net::Endpoint> Address = net::Endpoint::parse(Name);
  if (!Address)
    return nullptr;
  Address.value().Port_ = LinkPort_;
  auto Link =
      std::make_unique<net::LinkClient>(Context_, Address.value(), Settings_);
  Link->start();
  return Links_.emplace(Name, std::move(Link)).first->second.get();
}

void MemberLinks::send(const std::string &ToName, std::string Message) {
  if (net::LinkClient *Link = findOrCreate(ToName))
    Link->post(wire::MessageKind::Replication, std::move(Message));
}

void MemberLinks::call(const std::string &ToName, wire::MessageKind Kind,
                       std::string Body, Duration Timeout,
                       net::LinkReply Reply) {
  net::LinkClient *Link = findOrCreate(ToName);
  if (!Link)
    return Reply(fail(ErrorCode::Unavailable, "no link to " + ToName));
  Link->call(Kind, std::move(Body), Timeout, std::move(Reply));
}

bool MemberLinks::isConnected(const std::string &Name) const {
  const std::lock_guard Hold(Lock_);
  const auto It = Links_.find(Name);
  return It != Links_.end() && It->second->isConnected();
}

void MemberLinks::stop() {
  const std::lock_guard Hold(Lock_);
  Stopped_ = true;
  for (auto &[Name, Link] : Links_)
    Link->stop();
}
