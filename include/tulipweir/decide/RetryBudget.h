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
  explicit RetryBudget(double Part, double Reserve = 10);

  /// A first try was sent.
  void noteRequest();
  /// Spends one retry or hedge if it is affordable.
  bool trySpend();
  void setPart(double Part) { Part_ = Part; }

  double saved() const { return Saved_; }

private:
  double Part_;
  double Reserve_;
  double Saved_;
};

} // namespace tulipweir::decide

#endif // TULIPWEIR_DECIDE_RETRYBUDGET_H
