//===- RetryBudget.cpp - How many retries are affordable ----------------===//

#include "tulipweir/decide/RetryBudget.h"

#include <algorithm>

using namespace tulipweir::decide;

/// Lets ten times a tenth count as a whole one despite rounding.
static constexpr double WholeRetry = 1 - 1e-9;

RetryBudget::RetryBudget(double Part, double Reserve)
    : Part_(Part), Reserve_(Reserve), Saved_(Part > 0 ? Reserve : 0) {}

void RetryBudget::noteRequest() { Saved_ = std::min(Reserve_, Saved_ + Part_); }

bool RetryBudget::trySpend() {
  if (Part_ <= 0 || Saved_ < WholeRetry)
    return false;
  Saved_ = std::max(0.0, Saved_ - 1);
  return true;
}
