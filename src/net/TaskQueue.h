//===- TaskQueue.h - Tasks in two classes -----------------------*- C++ -*-===//
//
// The order in which a strand runs its tasks: urgent ones first, each class in
// the order in which they came. A leader with a backlog of reports still
// handles an operator's order at once.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_TASKQUEUE_H
#define TULIPWEIR_SRC_NET_TASKQUEUE_H

#include <deque>
#include <functional>
#include <utility>

namespace tulipweir::net {

/// Not thread-safe.
class TaskQueue {
public:
  using Task = std::function<void()>;

  void push(Task Added) { Usual_.push_back(std::move(Added)); }
  void pushUrgent(Task Added) { Urgent_.push_back(std::move(Added)); }
  /// Removes the next task. There must be one.
  Task pop() {
    std::deque<Task> &From = Urgent_.empty() ? Usual_ : Urgent_;
    Task Next = std::move(From.front());
    From.pop_front();
    return Next;
  }
  bool isEmpty() const { return Usual_.empty() && Urgent_.empty(); }

private:
  std::deque<Task> Usual_;
  std::deque<Task> Urgent_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_TASKQUEUE_H
