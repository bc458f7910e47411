#include "net/HttpPeer.h"

#include "net/HttpClientConnection.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::net;

HttpPeer::HttpPeer(boost::asio::io_context &Context, const Endpoint &To,
                   const HttpClientSettings &Settings, HttpFinish Finish)
    : To_(To), Host_(To.toString()), Settings_(Settings), Context_(Context),
      Finish_(std::move(Finish)) {}

/// Under the lock: an idle connection, a new one, or none at the limit.
HttpPeer::ConnectionPtr
HttpPeer::takeConnection(const HttpExchangePtr &Exchange) {
  ConnectionPtr Taken;
  if (!Idle_.empty()) {
    Taken = std::move(Idle_.back());
    Idle_.pop_back();
  } else if (Open_.size() < Settings_.MaxConnectionsPerPeer_) {
    Taken =
        std::make_shared<HttpClientConnection>(Context_, shared_from_this());
    Open_.emplace(Taken.get(), Taken);
  } else {
    return nullptr;
  }
  Exchange->Connection_ = Taken;
  return Taken;
}

/// Under the lock: the exchange that has waited longest.
HttpExchangePtr HttpPeer::takeWaiting() {
  if (Waiting_.empty())
    return nullptr;
  HttpExchangePtr Next = std::move(Waiting_.front());
  Waiting_.pop_front();
  return Next;
}

void HttpPeer::send(const HttpExchangePtr &Exchange) {
  ConnectionPtr Connection;
  {
    const std::lock_guard Hold(Lock_);
    Connection = takeConnection(Exchange);
    if (!Connection)
      return queue(Exchange);
  }
  Connection->run(Exchange);
}

void HttpPeer::queue(const HttpExchangePtr &Exchange) {
  Waiting_.push_back(Exchange);
  Exchange->WaitTimer_.emplace(Context_, Exchange->Deadline_);
  Exchange->WaitTimer_->async_wait(
      [Self = shared_from_this(), Exchange](boost::system::error_code Problem) {
        if (!Problem)
          Self->expire(Exchange);
      });
}

bool HttpPeer::removeWaiting(const HttpExchangePtr &Exchange) {
  const std::lock_guard Hold(Lock_);
  auto Found = std::find(Waiting_.begin(), Waiting_.end(), Exchange);
  if (Found == Waiting_.end())
    return false;
  Waiting_.erase(Found);
  Exchange->WaitTimer_->cancel();
  return true;
}

void HttpPeer::expire(const HttpExchangePtr &Exchange) {
  if (removeWaiting(Exchange))
    finish(Exchange, {HttpStage::NothingSent,
                      fail(ErrorCode::Timeout,
                           "no connection to " + Host_ + " became free")});
}

void HttpPeer::cancel(const HttpExchangePtr &Exchange) {
  Exchange->Cancelled_ = true;
  if (removeWaiting(Exchange))
    return finish(Exchange, {HttpStage::NothingSent,
                             fail(ErrorCode::Timeout, "cancelled")});
  ConnectionPtr Connection;
  {
    const std::lock_guard Hold(Lock_);
    Connection = Exchange->Connection_.lock();
  }
  if (Connection)
    Connection->cancel(Exchange);
}

void HttpPeer::release(const ConnectionPtr &Connection) {
  HttpExchangePtr Next;
  {
    const std::lock_guard Hold(Lock_);
    Next = takeWaiting();
    if (!Next) {
      Idle_.push_back(Connection);
      return;
    }
    Next->WaitTimer_->cancel();
    Next->Connection_ = Connection;
  }
  Connection->run(Next);
}

void HttpPeer::onClosed(const ConnectionPtr &Connection) {
  HttpExchangePtr Next;
  ConnectionPtr Fresh;
  {
    const std::lock_guard Hold(Lock_);
    Open_.erase(Connection.get());
    std::erase(Idle_, Connection);
    Next = takeWaiting();
    if (!Next)
      return;
    Next->WaitTimer_->cancel();
    Fresh = takeConnection(Next);
    if (!Fresh)
      return queue(Next);
  }
  Fresh->run(Next);
}

void HttpPeer::forget() {
  std::vector<ConnectionPtr> Idle;
  std::vector<ConnectionPtr> Busy;
  {
    const std::lock_guard Hold(Lock_);
    Idle = std::exchange(Idle_, {});
    for (const auto &[Key, Weak] : Open_)
      if (ConnectionPtr Connection = Weak.lock())
        Busy.push_back(std::move(Connection));
  }
  for (const ConnectionPtr &Connection : Busy)
    Connection->retire();
}

void HttpPeer::stop() {
  std::vector<ConnectionPtr> All;
  std::deque<HttpExchangePtr> Waiting;
  {
    const std::lock_guard Hold(Lock_);
    Waiting = std::exchange(Waiting_, {});
    Idle_.clear();
    for (const auto &[Key, Weak] : Open_)
      if (ConnectionPtr Connection = Weak.lock())
        All.push_back(std::move(Connection));
  }
  for (const HttpExchangePtr &Exchange : Waiting) {
    Exchange->WaitTimer_->cancel();
    finish(Exchange, {HttpStage::NothingSent,
                      fail(ErrorCode::Unavailable, "the client was stopped")});
  }
  for (const ConnectionPtr &Connection : All)
    Connection->abort();
}
