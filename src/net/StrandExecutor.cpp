#include "tulipweir/net/StrandExecutor.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

using namespace tulipweir;
using namespace tulipweir::net;

class StrandExecutor::Impl {
public:
  explicit Impl(IoPool &Pool)
      : Pool_(Pool), Strand_(Pool.context().get_executor()) {}

  IoPool &Pool_;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand_;
};

StrandExecutor::StrandExecutor(IoPool &Pool)
    : Impl_(std::make_shared<Impl>(Pool)) {}

StrandExecutor::~StrandExecutor() = default;

void StrandExecutor::post(std::function<void()> Task) {
  boost::asio::post(Impl_->Strand_, std::move(Task));
}

void StrandExecutor::postAfter(Duration Delay, std::function<void()> Task) {
  Impl_->Pool_.runAfter(Delay, [Shared = Impl_, Task = std::move(Task)] {
    boost::asio::post(Shared->Strand_, Task);
  });
}
