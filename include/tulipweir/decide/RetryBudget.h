//===- RetryBudget.h - How many retries are affordable ---------*- C++ -*-===//
//
// Retries and hedges may add only a part (10% by default) to the load that
// first tries bring, so that they never multiply an overload. Each first try
// earns that part of a retry; each retry or hedge spends a whole one.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_DECIDE_RETRYBUDGET_H
#define TULIPWEIR_DECIDE_RETRYBUDGET_H

namespace tulipweir::decide {

/// Not thread-safe: guarded by its owner's lock.
class RetryBudget {
public:
  /// Part is retries per first try, 0 to 1; Reserve is the most that can be
  /// saved up, and what a quiet service starts with.
  explicit RetryBudget(double RetryRatio, double MaxBalance = 10);

  /// A first try was sent.
  void recordFirstTry();
  /// Spends one retry or hedge if it is affordable.
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
