#include "jobservice/RelayWindow.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::jobservice;
using namespace std::chrono_literals;

/// The window grows while answers are quick or batches do not wait for the
/// leader, and shrinks when they do. Commit time does not count, as fewer
/// reports would not shorten it.
static constexpr std::size_t LeastWindow = 4;
/// The window changes by an eighth, and grows by at most WindowStep.
static constexpr std::size_t WindowParts = 8;
static constexpr std::size_t WindowStep = 16;
static constexpr Duration QuickAnswer = 150ms;
static constexpr Duration QuickTurn = 30ms;
static constexpr Duration SlowAnswer = 300ms;
static constexpr Duration SlowTurn = 100ms;
/// The window is halved above this.
static constexpr Duration HopelessAnswer = 600ms;
/// Urgent reports sent beyond the window.
static constexpr std::size_t UrgentRoom = 8;

std::size_t RelayWindow::getRoomBelow(std::size_t Most) const {
  return Most > InFlight_ ? Most - InFlight_ : 0;
}

std::size_t RelayWindow::getRoom() const {
  return getRoomBelow(std::min(Window_, Limit_));
}

std::size_t RelayWindow::getUrgentRoom() const {
  return getRoomBelow(std::min(Window_ + UrgentRoom, Limit_));
}

std::size_t RelayWindow::getBatchLimit() const {
  return std::min(Window_, Limit_);
}

void RelayWindow::noteAnswered(std::size_t Reports, Duration Took,
                               Duration Handled) {
  InFlight_ -= Reports;
  raiseLimit(Reports, Took <= QuickAnswer);
  adapt(Took, Took - Handled);
}

/// Halves the limit once for all batches that were on the way together, as the
/// later ones say nothing of the limit since.
void RelayWindow::noteLost(std::size_t Reports, TimePoint SentAt,
                           TimePoint Now) {
  if (SentAt >= LimitCutAt_) {
    LimitCutAt_ = Now;
    Limit_ = std::max<std::size_t>(InFlight_ / 2, 1);
  }
  InFlight_ -= Reports;
  adapt(Now - SentAt, Now - SentAt);
}

/// Additive increase and multiplicative decrease, so that relays converge to
/// fair shares of the leader.
void RelayWindow::adapt(Duration Took, Duration Waited) {
  if (Took >= HopelessAnswer && Waited >= SlowTurn)
    Window_ = std::max(Window_ / 2, LeastWindow);
  else if (Took >= SlowAnswer && Waited >= SlowTurn)
    Window_ = std::max(Window_ - Window_ / WindowParts, LeastWindow);
  else if (Took <= QuickAnswer || Waited <= QuickTurn)
    Window_ = std::min(
        Window_ + std::clamp<std::size_t>(Window_ / WindowParts, 1, WindowStep),
        MostWindow);
}

/// Raises the limit by one for each limit's worth of answers, and faster while
/// they are quick.
void RelayWindow::raiseLimit(std::size_t Answered, bool IsQuick) {
  LimitCredit_ += Answered;
  if (!IsQuick && LimitCredit_ < Limit_)
    return;
  LimitCredit_ = 0;
  const std::size_t Step =
      IsQuick ? std::max<std::size_t>(Limit_ / WindowParts, 1) : 1;
  Limit_ = std::min(Limit_ + Step, MostWindow);
}
