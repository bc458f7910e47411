#include "tulipweir/net/HttpClient.h"

#include "net/HttpPeer.h"

#include <array>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;

static constexpr std::size_t Shards = 16;

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(boost::asio::io_context &Context, const HttpClientSettings &Settings)
      : Context_(Context), Settings_(Settings) {}

  std::uint64_t send(const Endpoint &To, HttpRequest Request,
                     TimePoint Deadline, Callback Done);
  void cancel(std::uint64_t Number);
  void forget(const Endpoint &To);
  void stop();

private:
  struct Shard {
    std::mutex Lock_;
    std::unordered_map<std::uint64_t, HttpExchangePtr> Exchanges_;
  };

  std::shared_ptr<HttpPeer> findPeer(const Endpoint &To);
  HttpExchangePtr takeExchange(std::uint64_t Number, bool Erase);

  boost::asio::io_context &Context_;
  const HttpClientSettings Settings_;
  std::shared_mutex PeersLock_;
  std::map<Endpoint, std::shared_ptr<HttpPeer>> Peers_;
  std::atomic<std::uint64_t> LastNumber_{0};
  std::array<Shard, Shards> Exchanges_;
};

std::shared_ptr<HttpPeer> HttpClient::Impl::findPeer(const Endpoint &To) {
  {
    const std::shared_lock Hold(PeersLock_);
    auto Found = Peers_.find(To);
    if (Found != Peers_.end())
      return Found->second;
  }
  const std::unique_lock Hold(PeersLock_);
  std::shared_ptr<HttpPeer> &Peer = Peers_[To];
  if (!Peer)
    Peer = std::make_shared<HttpPeer>(
        Context_, To, Settings_,
        [Weak = weak_from_this()](const HttpExchangePtr &Exchange,
                                  HttpResult Result) {
          if (std::shared_ptr<Impl> Self = Weak.lock())
            Self->takeExchange(Exchange->Number_, true);
          Exchange->Done_(std::move(Result));
        });
  return Peer;
}

HttpExchangePtr HttpClient::Impl::takeExchange(std::uint64_t Number,
                                               bool Erase) {
  Shard &Its = Exchanges_[Number % Shards];
  const std::lock_guard Hold(Its.Lock_);
  auto Found = Its.Exchanges_.find(Number);
  if (Found == Its.Exchanges_.end())
    return nullptr;
  HttpExchangePtr Exchange = Found->second;
  if (Erase)
    Its.Exchanges_.erase(Found);
  return Exchange;
}

std::uint64_t HttpClient::Impl::send(const Endpoint &To, HttpRequest Request,
                                     TimePoint Deadline, Callback Done) {
  auto Exchange = std::make_shared<HttpExchange>();
  Exchange->Number_ = ++LastNumber_;
  Exchange->Request_ = std::move(Request);
  Exchange->Deadline_ = Deadline;
  Exchange->Done_ = std::move(Done);
  Exchange->Peer_ = findPeer(To);
  {
    Shard &Its = Exchanges_[Exchange->Number_ % Shards];
    const std::lock_guard Hold(Its.Lock_);
    Its.Exchanges_.emplace(Exchange->Number_, Exchange);
  }
  Exchange->Peer_->send(Exchange);
  return Exchange->Number_;
}

void HttpClient::Impl::cancel(std::uint64_t Number) {
  if (HttpExchangePtr Exchange = takeExchange(Number, false))
    Exchange->Peer_->cancel(Exchange);
}

void HttpClient::Impl::forget(const Endpoint &To) {
  std::shared_ptr<HttpPeer> Peer;
  {
    const std::unique_lock Hold(PeersLock_);
    auto Found = Peers_.find(To);
    if (Found == Peers_.end())
      return;
    Peer = std::move(Found->second);
    Peers_.erase(Found);
  }
  Peer->forget();
}

void HttpClient::Impl::stop() {
  std::map<Endpoint, std::shared_ptr<HttpPeer>> Peers;
  {
    const std::unique_lock Hold(PeersLock_);
    Peers = std::exchange(Peers_, {});
  }
  for (const auto &[To, Peer] : Peers)
    Peer->stop();
}

HttpClient::HttpClient(boost::asio::io_context &Context,
                       const HttpClientSettings &Settings)
    : Impl_(std::make_shared<Impl>(Context, Settings)) {}
HttpClient::~HttpClient() { Impl_->stop(); }

std::uint64_t HttpClient::send(const Endpoint &To, HttpRequest Request,
                               TimePoint Deadline, Callback Done) {
  return Impl_->send(To, std::move(Request), Deadline, std::move(Done));
}

void HttpClient::cancel(std::uint64_t Exchange) { Impl_->cancel(Exchange); }

void HttpClient::forget(const Endpoint &Peer) { Impl_->forget(Peer); }
