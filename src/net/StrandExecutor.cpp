#include "tulipweir/net/StrandExecutor.h"

#include "net/TaskQueue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <mutex>
#include <optional>
#include <utility>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

/// After this time the strand lets the thread read from the network, as urgent
/// work may be on its way.
static constexpr Duration MaxTurn = 5ms;

class StrandExecutor::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(IoPool &Pool) : Pool_(Pool) {}

  template <class Function> void post(Function Push) {
    {
      const std::lock_guard Hold(Lock_);
      if (IsClosed_)
        return;
      Push(Tasks_);
      if (std::exchange(IsScheduled_, true))
        return;
    }
    schedule();
  }

  IoPool &Pool_;

private:
  /// A scheduled turn. Tasks may own the strand, so a turn that never comes, as
  /// the pool has stopped, drops them.
  class Turn {
  public:
    explicit Turn(std::shared_ptr<Impl> Of) : Of_(std::move(Of)) {}
    Turn(Turn &&) noexcept = default;
    Turn &operator=(Turn &&) noexcept = default;
    ~Turn() {
      if (Of_)
        Of_->drop();
    }
    void operator()() { std::exchange(Of_, nullptr)->run(); }

  private:
    std::shared_ptr<Impl> Of_;
  };

  void schedule() {
    boost::asio::post(Pool_.context(), Turn(shared_from_this()));
  }

  void drop() {
    // Destroyed after the lock is released.
    TaskQueue Dropped;
    {
      const std::lock_guard Hold(Lock_);
      IsClosed_ = true;
      std::swap(Dropped, Tasks_);
    }
  }

  /// Returns the next task; if there is none, nothing is scheduled any more.
  std::optional<TaskQueue::Task> takeNext() {
    const std::lock_guard Hold(Lock_);
    if (!Tasks_.isEmpty())
      return Tasks_.pop();
    IsScheduled_ = false;
    return std::nullopt;
  }

  void run() {
    const TimePoint End = BootClock::now() + MaxTurn;
    while (std::optional<TaskQueue::Task> Next = takeNext()) {
      (*Next)();
      Next.reset();
      if (BootClock::now() >= End)
        return schedule();
    }
  }

  std::mutex Lock_;
  TaskQueue Tasks_;          ///< Guarded by Lock_.
  bool IsScheduled_ = false; ///< Guarded by Lock_.
  bool IsClosed_ = false;    ///< Guarded by Lock_.
};

StrandExecutor::StrandExecutor(IoPool &Pool)
    : Impl_(std::make_shared<Impl>(Pool)) {}

StrandExecutor::~StrandExecutor() = default;

void StrandExecutor::post(std::function<void()> Task) {
  Impl_->post([&Task](TaskQueue &To) { To.push(std::move(Task)); });
}

void StrandExecutor::postUrgent(std::function<void()> Task) {
  Impl_->post([&Task](TaskQueue &To) { To.pushUrgent(std::move(Task)); });
}

void StrandExecutor::postAfter(Duration Delay, std::function<void()> Task) {
  Impl_->Pool_.runAfter(
      Delay, [Shared = Impl_, Task = std::move(Task)]() mutable {
        Shared->post([&Task](TaskQueue &To) { To.push(std::move(Task)); });
      });
}
