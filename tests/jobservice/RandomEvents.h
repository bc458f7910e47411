//===- RandomEvents.h - Events of a fleet that are drawn by seed *- C++ -*-===//

#ifndef TULIPWEIR_TESTS_JOBSERVICE_RANDOMEVENTS_H
#define TULIPWEIR_TESTS_JOBSERVICE_RANDOMEVENTS_H

#include "jobservice/ChangingLeaders.h"

#include <random>

namespace tulipweir::jobservice::test {

/// Draws events and plans them in a fleet. Equal seeds give equal events.
class RandomEvents {
public:
  RandomEvents(ChangingLeaders &Fleet, std::uint64_t Seed)
      : Fleet_(Fleet), Random_(Seed) {}

protected:
  std::size_t drawBelow(std::size_t Limit) { return Random_() % Limit; }
  bool drawPercent(std::size_t Percent) { return drawBelow(100) < Percent; }
  Duration draw(std::chrono::milliseconds From, std::chrono::milliseconds To) {
    return From + std::chrono::milliseconds(
                      drawBelow(static_cast<std::size_t>((To - From).count())));
  }
  void after(Duration Delay, std::function<void()> Action) {
    Fleet_.at(Fleet_.getTime() + Delay, std::move(Action));
  }
  /// Holds a share of the messages of some kinds, at most for Longest.
  void holdMessages(std::chrono::milliseconds Longest) {
    const std::size_t Kinds = 1 + drawBelow((1U << 7U) - 1);
    const std::size_t Percent = 10 + drawBelow(90);
    Fleet_.setFilter([this, Kinds, Percent](const Message &Sent) {
      const bool IsChosen =
          ((Kinds >> static_cast<unsigned>(Sent.Kind_)) & 1U) != 0;
      return IsChosen && drawPercent(Percent) ? ChangingLeaders::Fate::Hold
                                              : ChangingLeaders::Fate::Deliver;
    });
    after(draw(std::chrono::milliseconds(30), Longest),
          [this] { Fleet_.releaseHeld(); });
  }

  ChangingLeaders &Fleet_;

private:
  std::mt19937_64 Random_;
};

} // namespace tulipweir::jobservice::test

#endif // TULIPWEIR_TESTS_JOBSERVICE_RANDOMEVENTS_H
