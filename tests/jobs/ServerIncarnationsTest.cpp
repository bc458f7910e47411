//===- ServerIncarnationsTest.cpp - Incarnations at each address ----------===//

#include "tulipweir/jobs/ServerIncarnations.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::jobs;

static std::string getAddress(int Server) {
  return "10.0.0.1:" + std::to_string(Server);
}
static std::string getId(int Server, int Life) {
  return "i-" + std::to_string(Server) + "/" + std::to_string(Life);
}

// Pattern of load: all servers of a large fleet register, and restart one after
// the other. Guards against a successor that is not recognized since its
// address was forgotten, so that the crash of its predecessor is.
TEST(ServerIncarnationsTest, NoAddressOfARegisteredServerIsForgotten) {
  const int Servers = 12'000;
  ServerIncarnations Incarnations;
  for (int I = 0; I < Servers; ++I)
    Incarnations.registerIncarnation(getId(I, 1), getAddress(I));
  for (int I = 0; I < Servers; ++I) {
    Incarnations.recordCrash(getAddress(I));
    Incarnations.vacate(getAddress(I));
    ASSERT_EQ(Incarnations.registerIncarnation(getId(I, 2), getAddress(I)),
              getId(I, 1));
    ASSERT_TRUE(Incarnations.isAfterCrash(getAddress(I)));
  }
  for (int I = 0; I < Servers; ++I)
    EXPECT_TRUE(Incarnations.isOver(getId(I, 1)));
}

// Guards against memory that grows with each server that ever registered.
TEST(ServerIncarnationsTest, VacantAddressesAndEndedServersAreBounded) {
  ServerIncarnations Incarnations;
  Incarnations.registerIncarnation(getId(0, 1), getAddress(0));
  for (int I = 1; I < 20'000; ++I) {
    Incarnations.registerIncarnation(getId(I, 1), getAddress(I));
    Incarnations.vacate(getAddress(I));
    Incarnations.endIncarnation(getId(I, 1));
  }
  EXPECT_LT(Incarnations.listLatest().size(), 5'000U);
  EXPECT_LT(Incarnations.endedIds().size(), 5'000U);
  EXPECT_EQ(Incarnations.listLatest().front().Id_, getId(0, 1));
  EXPECT_TRUE(Incarnations.isOver(getId(19'999, 1)));
}

// Guards against members that forget different addresses after a snapshot.
TEST(ServerIncarnationsTest, ARestoredSnapshotForgetsTheSameAddresses) {
  ServerIncarnations Incarnations;
  for (int I = 0; I < 5'000; ++I)
    Incarnations.registerIncarnation(getId(I, 1), getAddress(I));
  for (int I = 4'000; I >= 0; --I)
    Incarnations.vacate(getAddress(I));
  ServerIncarnations Restored = ServerIncarnations::makeFrom(
      Incarnations.listLatest(),
      {Incarnations.endedIds().begin(), Incarnations.endedIds().end()});
  for (int I = 4'001; I < 5'000; ++I)
    Restored.occupy(getAddress(I));
  for (int I = 4'001; I < 5'000; ++I)
    for (ServerIncarnations *Each : {&Incarnations, &Restored})
      Each->vacate(getAddress(I));
  EXPECT_EQ(Restored.listLatest(), Incarnations.listLatest());
  EXPECT_LT(Restored.listLatest().size(), 5'000U);
}
