#include "jobservice/RelayWindow.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// The window grows while answers are fast or batches do not wait for the
/// leader, and shrinks while they are slow and batches wait. Commit time does
/// not count as waiting, as fewer reports would not shorten it.
static constexpr std::size_t MinWindow = 4;
/// The window changes by an eighth, and grows by at most MaxWindowStep.
static constexpr std::size_t WindowDivisor = 8;
static constexpr std::size_t MaxWindowStep = 16;
static constexpr Duration FastAnswer = 150ms;
static constexpr Duration ShortWait = 30ms;
static constexpr Duration SlowAnswer = 300ms;
static constexpr Duration LongWait = 100ms;
/// The window is halved from this latency on.
static constexpr Duration VerySlowAnswer = 600ms;
/// Number of urgent reports that may be sent beyond the window.
static constexpr std::size_t UrgentAllowance = 8;

std::size_t RelayWindow::getAvailableInWindow(std::size_t Maximum) const {
  return Maximum > InFlight_ ? Maximum - InFlight_ : 0;
}

std::size_t RelayWindow::getAvailable() const {
  return getAvailableInWindow(std::min(Window_, Limit_));
}

std::size_t RelayWindow::getAvailableForUrgent() const {
  return getAvailableInWindow(std::min(Window_ + UrgentAllowance, Limit_));
}

std::size_t RelayWindow::getBatchLimit() const {
  return std::min(Window_, Limit_);
}

void RelayWindow::recordAnswered(std::size_t Reports, Duration Latency,
                                 Duration Handled) {
  InFlight_ -= Reports;
  raiseLimit(Reports, Latency <= FastAnswer);
  adapt(Latency, Latency - Handled);
}

/// Halves the limit once for all batches that were in flight together. Batches
/// sent before the reduction say nothing of the new limit.
void RelayWindow::recordLost(std::size_t Reports, TimePoint SentAt,
                             TimePoint Now) {
  if (SentAt >= LimitReducedAt_) {
    LimitReducedAt_ = Now;
    Limit_ = std::max<std::size_t>(InFlight_ / 2, 1);
  }
  InFlight_ -= Reports;
  adapt(Now - SentAt, Now - SentAt);
}

/// Uses additive increase and multiplicative decrease, so that relays converge
/// to fair shares of the leader.
void RelayWindow::adapt(Duration Latency, Duration Waited) {
  if (Latency >= VerySlowAnswer && Waited >= LongWait)
    Window_ = std::max(Window_ / 2, MinWindow);
  else if (Latency >= SlowAnswer && Waited >= LongWait)
    Window_ = std::max(Window_ - Window_ / WindowDivisor, MinWindow);
  else if (Latency <= FastAnswer || Waited <= ShortWait)
    Window_ = std::min(Window_ + std::clamp<std::size_t>(
                                     Window_ / WindowDivisor, 1, MaxWindowStep),
                       MaxWindow);
}

/// Raises the limit by one after as many answers as the limit allows in flight,
/// and faster while answers are fast.
void RelayWindow::raiseLimit(std::size_t Answered, bool IsFast) {
  LimitCredit_ += Answered;
  if (!IsFast && LimitCredit_ < Limit_)
    return;
  LimitCredit_ = 0;
  const std::size_t Step =
      IsFast ? std::max<std::size_t>(Limit_ / WindowDivisor, 1) : 1;
  Limit_ = std::min(Limit_ + Step, MaxWindow);
}
