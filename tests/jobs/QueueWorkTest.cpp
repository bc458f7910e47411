//===- QueueWorkTest.cpp - Work of a queue's jobs by their size -----------===//

#include "jobs/QueueWork.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// Adds as many jobs of 1 and of 4 processor seconds.
static QueueWork makeQueue(int Jobs) {
  QueueWork Queue;
  for (int I = 0; I < Jobs; ++I) {
    Queue.addJob(1);
    Queue.addJob(4);
  }
  return Queue;
}

// Guards against a class that is preferred although as much of its work has
// started as of others, or although nothing could start.
TEST(QueueWorkTest, NoSizeIsBehindWhileAllStartAlike) {
  QueueWork Queue = makeQueue(20);
  EXPECT_FALSE(Queue.isBehind(1));
  EXPECT_FALSE(Queue.isBehind(4));
  Queue.recordStart(1, 10);
  Queue.recordStart(4, 40);
  EXPECT_FALSE(Queue.isBehind(1));
  EXPECT_FALSE(Queue.isBehind(4));
}

// Guards against large jobs that wait for ever behind small ones.
TEST(QueueWorkTest, ASizeOfWhichLessHasStartedIsBehind) {
  QueueWork Queue = makeQueue(20);
  Queue.recordStart(1, 20);
  Queue.recordStart(4, 40);
  EXPECT_TRUE(Queue.isBehind(4));
  EXPECT_FALSE(Queue.isBehind(1));
  Queue.recordStart(4, 40);
  EXPECT_FALSE(Queue.isBehind(4));
}

// Guards against a lack of the past that decides for ever.
TEST(QueueWorkTest, OldWorkFades) {
  QueueWork Queue = makeQueue(100);
  Queue.recordStart(1, 100);
  ASSERT_TRUE(Queue.isBehind(4));
  for (int I = 0; I < 2000; ++I) {
    Queue.addJob(1);
    Queue.recordStart(1, 1);
    Queue.addJob(4);
    Queue.recordStart(4, 4);
  }
  EXPECT_FALSE(Queue.isBehind(4));
}
