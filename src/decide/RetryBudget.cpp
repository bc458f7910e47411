//===- RetryBudget.cpp - Limits retries and hedges -----------------------===//

#include "tulipweir/decide/RetryBudget.h"

#include <algorithm>

using namespace tulipweir::decide;

/// Balance needed for one retry. It is slightly under 1, so that ten times a
/// tenth suffices despite rounding.
static constexpr double RetryCost = 1 - 1e-9;

RetryBudget::RetryBudget(double RetryRatio, double MaxBalance)
    : RetryRatio_(RetryRatio), MaxBalance_(MaxBalance),
      Balance_(RetryRatio > 0 ? MaxBalance : 0) {}

void RetryBudget::recordFirstTry() {
  Balance_ = std::min(MaxBalance_, Balance_ + RetryRatio_);
}

bool RetryBudget::trySpend() {
  if (RetryRatio_ <= 0 || Balance_ < RetryCost)
    return false;
  Balance_ = std::max(0.0, Balance_ - 1);
  return true;
}
