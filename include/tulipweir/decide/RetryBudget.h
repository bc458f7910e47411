//===- RetryBudget.h - Limits retries and hedges ---------------*- C++ -*-===//
//
// Retries and hedges may add only a part (10% by default) to the load of first
// tries, so that they never multiply an overload. Each first try adds that
// part of a retry to the balance; each retry or hedge costs one.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_RETRYBUDGET_H
#define TULIPWEIR_DECIDE_RETRYBUDGET_H

namespace tulipweir::decide {

/// Not thread-safe: guarded by its owner's lock.
class RetryBudget {
public:
  /// RetryRatio is the retries per first try, 0 to 1. MaxBalance is the most
  /// that can be saved up, and the initial balance.
  explicit RetryBudget(double RetryRatio, double MaxBalance = 10);

  /// Records that a first try was sent.
  void recordFirstTry();
  /// Spends one retry or hedge if the balance allows it.
  bool trySpend();
  void setRetryRatio(double RetryRatio) { RetryRatio_ = RetryRatio; }

  double balance() const { return Balance_; }

private:
  double RetryRatio_;
  double MaxBalance_;
  double Balance_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_RETRYBUDGET_H
