//===- ResourcesTest.cpp
//----------------------------------------------------===//

#include "tulipweir/core/Resources.h"
#include "tulipweir/core/Error.h"

#include <gtest/gtest.h>

using namespace tulipweir;

TEST(ResourcesTest, FitsOnlyWhenEveryDimensionFits) {
  const auto Room = Resources::makeFor(1000, 1024, 1);
  EXPECT_TRUE(Resources::makeFor(1000, 1024, 1).fitsIn(Room));
  EXPECT_FALSE(Resources::makeFor(1001, 1024, 1).fitsIn(Room));
  EXPECT_FALSE(Resources::makeFor(1000, 1025, 1).fitsIn(Room));
  EXPECT_FALSE(Resources::makeFor(1000, 1024, 2).fitsIn(Room));
}

TEST(ResourcesTest, SubtractionUndoesAddition) {
  const auto Amount = Resources::makeFor(250, 64, 2);
  EXPECT_EQ(Amount + Amount - Amount, Amount);
}

TEST(ErrorTest, EveryCodeHasAName) {
  EXPECT_EQ(getErrorName(ErrorCode::InvalidArgument), "invalid_argument");
  EXPECT_EQ(getErrorName(ErrorCode::Internal), "internal");
}

TEST(ErrorTest, FailureCarriesCodeAndMessage) {
  const Outcome<int> Result = fail(ErrorCode::Overfull, "no memory left");
  ASSERT_FALSE(Result.has_value());
  EXPECT_EQ(Result.error().Code_, ErrorCode::Overfull);
}
