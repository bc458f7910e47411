#include "tulipweir/net/IoPool.h"

#include <utility>

#include <algorithm>
#include <boost/asio.hpp>
#include <thread>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;

namespace asio = boost::asio;

class IoPool::Impl {
public:
  explicit Impl(unsigned Threads)
      : Context_(static_cast<int>(Threads)), Work_(Context_.get_executor()) {
    for (unsigned I = 0; I < std::max(Threads, 1U); ++I)
      Threads_.emplace_back([this] { Context_.run(); });
  }

  void stop() {
    Context_.stop();
    for (std::thread &Thread : Threads_)
      if (Thread.joinable() && Thread.get_id() != std::this_thread::get_id())
        Thread.join();
  }

  asio::io_context Context_;

private:
  asio::executor_work_guard<asio::io_context::executor_type> Work_;
  std::vector<std::thread> Threads_;
};

namespace {

/// A timer that arms itself again after each run of its task.
class Repeater : public std::enable_shared_from_this<Repeater> {
public:
  Repeater(asio::io_context &Context, Duration Period,
           std::function<void()> Task)
      : Timer_(Context), Period_(Period), Task_(std::move(Task)) {}

  void arm() {
    Timer_.expires_after(Period_);
    Timer_.async_wait([Self = shared_from_this()](auto Problem) {
      if (Problem)
        return;
      Self->Task_();
      Self->arm();
    });
  }

private:
  asio::steady_timer Timer_;
  Duration Period_;
  std::function<void()> Task_;
};

} // namespace

IoPool::IoPool(unsigned Threads) : Impl_(std::make_unique<Impl>(Threads)) {}
IoPool::~IoPool() { stop(); }

asio::io_context &IoPool::context() { return Impl_->Context_; }

void IoPool::runAfter(Duration Delay, std::function<void()> Task) {
  auto Timer = std::make_shared<asio::steady_timer>(Impl_->Context_, Delay);
  Timer->async_wait([Timer, Task = std::move(Task)](auto Problem) {
    if (!Problem)
      Task();
  });
}

void IoPool::runEvery(Duration Period, std::function<void()> Task) {
  std::make_shared<Repeater>(Impl_->Context_, Period, std::move(Task))->arm();
}

void IoPool::stop() { Impl_->stop(); }
