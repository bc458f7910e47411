//===- StrandExecutorTest.cpp - Tasks of a strand -------------------------===//

#include "tulipweir/net/StrandExecutor.h"

#include "net/TaskQueue.h"

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

// Pattern of load: a backlog of reports at a leader. Guards against operators'
// orders that wait for all of it.
TEST(TaskQueueTest, UrgentTasksOvertakeABacklogInTheirOwnOrder) {
  TaskQueue Queue;
  std::string Order;
  for (const char Name : {'a', 'b', 'c'})
    Queue.push([&Order, Name] { Order += Name; });
  Queue.pop()();
  for (const char Name : {'x', 'y'})
    Queue.pushUrgent([&Order, Name] { Order += Name; });
  Queue.push([&Order] { Order += 'd'; });
  while (!Queue.isEmpty())
    Queue.pop()();
  EXPECT_EQ(Order, "axybcd");
}

TEST(StrandExecutorTest, TasksRunInOrderAndUrgentOnesFirst) {
  IoPool Pool(2);
  StrandExecutor Strand(Pool);
  std::promise<void> Begun;
  std::promise<void> Filled;
  std::promise<void> Done;
  std::string Order;
  Strand.post([&] {
    Begun.set_value();
    Filled.get_future().wait();
  });
  Begun.get_future().wait();
  Strand.post([&] { Order += 'a'; });
  Strand.post([&] { Order += 'b'; });
  Strand.postUrgent([&] { Order += 'x'; });
  Strand.post([&] { Done.set_value(); });
  Filled.set_value();
  Done.get_future().wait();
  EXPECT_EQ(Order, "xab");
  Pool.stop();
}

// Guards against a strand with a backlog that keeps its thread from reading
// what arrives, urgent work among it.
TEST(StrandExecutorTest, ABacklogLetsOtherWorkOfThePoolRun) {
  IoPool Pool(1);
  StrandExecutor Strand(Pool);
  std::atomic<int> Run{0};
  std::promise<int> RunBefore;
  std::promise<void> Done;
  constexpr int Tasks = 100;
  Strand.post([&] {
    boost::asio::post(Pool.context(), [&] { RunBefore.set_value(Run); });
  });
  for (int I = 0; I < Tasks; ++I)
    Strand.post([&] {
      std::this_thread::sleep_for(1ms);
      ++Run;
    });
  Strand.post([&] { Done.set_value(); });
  EXPECT_LT(RunBefore.get_future().get(), Tasks / 2);
  Done.get_future().wait();
  EXPECT_EQ(Run, Tasks);
  Pool.stop();
}

// Guards against a leak: tasks often own what owns their strand.
TEST(StrandExecutorTest, TasksThatOwnTheirStrandEndWithThePool) {
  std::weak_ptr<StrandExecutor> Watched;
  {
    IoPool Pool(1);
    const auto Strand = std::make_shared<StrandExecutor>(Pool);
    Watched = Strand;
    std::promise<void> Begun;
    std::promise<void> Stopping;
    Strand->post([&] {
      Begun.set_value();
      Stopping.get_future().wait();
      std::this_thread::sleep_for(20ms);
    });
    Begun.get_future().wait();
    Strand->post([Strand] {});
    Stopping.set_value();
    Pool.stop();
  }
  EXPECT_TRUE(Watched.expired());
}
