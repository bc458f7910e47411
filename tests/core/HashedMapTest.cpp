//===- HashedMapTest.cpp - Ordered map with lookups by hash ---------------===//

#include "tulipweir/core/HashedMap.h"

#include <gtest/gtest.h>
#include <random>

using namespace tulipweir;

// Guards against an index that differs from the entries.
TEST(HashedMapTest, FindsWhatAnOrderedMapFinds) {
  std::mt19937 Random(7);
  HashedMap<int> Map;
  std::map<std::string, int> Expected;
  for (int I = 0; I < 20'000; ++I) {
    const std::string Name = std::to_string(Random() % 500);
    if (Random() % 3 == 0) {
      EXPECT_EQ(Map.erase(Name), Expected.erase(Name) != 0);
    } else {
      Map[Name] = I;
      Expected[Name] = I;
    }
    const std::string Other = std::to_string(Random() % 500);
    const auto It = Expected.find(Other);
    ASSERT_EQ(Map.find(Other) != nullptr, It != Expected.end());
    if (It != Expected.end()) {
      ASSERT_EQ(*Map.find(Other), It->second);
    }
  }
  EXPECT_EQ(Map.ordered(), Expected);
}

// Guards against an index that refers to the entries of another map.
TEST(HashedMapTest, CopiesAndMovedMapsFindTheirOwnEntries) {
  HashedMap<int> Original;
  Original["a"] = 1;
  HashedMap<int> Copy(Original);
  *Copy.find("a") = 2;
  EXPECT_EQ(Original.at("a"), 1);
  HashedMap<int> Moved(std::move(Copy));
  EXPECT_EQ(Moved.at("a"), 2);
  Original = Moved;
  Moved.clear();
  EXPECT_EQ(Moved.find("a"), nullptr);
  EXPECT_EQ(Original.at("a"), 2);
}
