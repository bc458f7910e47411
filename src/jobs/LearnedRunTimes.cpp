#include "jobs/LearnedRunTimes.h"

#include <algorithm>
#include <functional>

using namespace tulipweir;
using namespace tulipweir::jobs;

/// The weight of the samples that count: of some fifty steps of twenty tasks,
/// as the tasks of a step deviate from its declared run time together.
static constexpr float MaxTotalWeight = 1024;
/// Bounds the memory; each holds two histograms of 1.3 KB.
static constexpr std::size_t MaxClasses = 256;
/// Values are kept in thousandths, of a second if no run time is declared.
static constexpr std::int64_t Thousand = 1000;

LearnedRunTimes::Class::Class()
    : Ratios_(MaxTotalWeight), Spreads_(MaxTotalWeight) {}

static std::size_t combine(std::size_t Seed, std::size_t Value) {
  constexpr std::size_t Prime = 1099511628211U;
  return (Seed ^ Value) * Prime;
}

static std::size_t hashText(std::size_t Seed, std::string_view Text) {
  for (const char Each : Text)
    Seed = combine(Seed, static_cast<unsigned char>(Each));
  return Seed;
}

std::size_t LearnedRunTimes::Hash::operator()(const Key &Value) const {
  const std::size_t Queue = hashText(0, Value.Queue_);
  return combine(hashText(combine(Queue, 0), Value.Image_),
                 (Value.Fills_ ? 1U : 0U) + (Value.IsDeclared_ ? 2U : 0U));
}

std::size_t LearnedRunTimes::Hash::operator()(const KeyView &Value) const {
  const std::size_t Queue =
      hashText(hashText(0, Value.Host_), Value.PathPrefix_);
  return combine(hashText(combine(Queue, 0), Value.Image_),
                 (Value.Fills_ ? 1U : 0U) + (Value.IsDeclared_ ? 2U : 0U));
}

bool LearnedRunTimes::Equal::operator()(const Key &A, const Key &B) const {
  return A.Fills_ == B.Fills_ && A.IsDeclared_ == B.IsDeclared_ &&
         A.Image_ == B.Image_ && A.Queue_ == B.Queue_;
}

bool LearnedRunTimes::Equal::operator()(const KeyView &A, const Key &B) const {
  return A.Fills_ == B.Fills_ && A.IsDeclared_ == B.IsDeclared_ &&
         A.Image_ == B.Image_ &&
         B.Queue_.size() == A.Host_.size() + A.PathPrefix_.size() &&
         B.Queue_.starts_with(A.Host_) && B.Queue_.ends_with(A.PathPrefix_);
}

LearnedRunTimes::KeyView LearnedRunTimes::makeView(const QueuePolicy &Queue,
                                                   const StepSpec &Step) {
  return {Queue.Host_, Queue.PathPrefix_, Step.Image_, Step.Fills_,
          Step.EstimateMs_ > 0};
}

/// Returns the time that learned values are thousandths of.
static Duration getBasis(const StepSpec &Step) {
  return Step.EstimateMs_ > 0
             ? Duration(std::chrono::milliseconds(Step.EstimateMs_))
             : Duration(std::chrono::seconds(1));
}

static std::int64_t getThousandths(Duration Value, Duration Basis) {
  return static_cast<std::int64_t>(double(Thousand) * double(Value.count()) /
                                   double(Basis.count()));
}

const LearnedRunTimes::Class *
LearnedRunTimes::find(const QueuePolicy &Queue, const StepSpec &Step) const {
  const auto It = Classes_.find(makeView(Queue, Step));
  return It == Classes_.end() ? nullptr : &It->second;
}

LearnedRunTimes::Class &LearnedRunTimes::findOrAdd(const KeyView &View) {
  const auto It = Classes_.find(View);
  if (It != Classes_.end())
    return It->second;
  if (Classes_.size() >= MaxClasses)
    Classes_.erase(std::min_element(
        Classes_.begin(), Classes_.end(), [](const auto &A, const auto &B) {
          return A.second.LastUse_ < B.second.LastUse_;
        }));
  return Classes_[{std::string(View.Host_).append(View.PathPrefix_),
                   std::string(View.Image_), View.Fills_, View.IsDeclared_}];
}

void LearnedRunTimes::add(const QueuePolicy &Queue, const StepSpec &Step,
                          const RunTimeBounds &RunTime, Duration Median,
                          double Weight) {
  Class &Learned = findOrAdd(makeView(Queue, Step));
  Learned.LastUse_ = ++Uses_;
  const Duration Basis = getBasis(Step);
  Learned.Ratios_.addBetween(getThousandths(RunTime.Shortest_, Basis),
                             getThousandths(RunTime.Longest_, Basis),
                             static_cast<float>(Weight));
  ++Learned.RatioCount_;
  Learned.Median_ = Learned.Ratios_.getQuantile(MedianFraction);
  Learned.Tail_ = Learned.Ratios_.getQuantile(TailFraction);
  if (Median <= Duration(0))
    return;
  Learned.Spreads_.addBetween(getThousandths(RunTime.Shortest_, Median),
                              getThousandths(RunTime.Longest_, Median),
                              static_cast<float>(Weight));
  Learned.SpreadTail_ = Learned.Spreads_.getQuantile(TailFraction);
  ++Learned.SpreadCount_;
}

std::optional<Duration> LearnedRunTimes::findQuantile(const QueuePolicy &Queue,
                                                      const StepSpec &Step,
                                                      double Fraction) const {
  const Class *Learned = find(Queue, Step);
  if (!Learned || Learned->RatioCount_ < MinSamples)
    return std::nullopt;
  std::int64_t Value = 0;
  if (Fraction == MedianFraction)
    Value = Learned->Median_;
  else if (Fraction == TailFraction)
    Value = Learned->Tail_;
  else
    Value = Learned->Ratios_.getQuantile(Fraction);
  return getBasis(Step) * Value / Thousand;
}

std::optional<double> LearnedRunTimes::findSpread(const QueuePolicy &Queue,
                                                  const StepSpec &Step,
                                                  double Fraction) const {
  const Class *Learned = find(Queue, Step);
  if (!Learned || Learned->SpreadCount_ < MinSamples)
    return std::nullopt;
  const std::int64_t Value = Fraction == TailFraction
                                 ? Learned->SpreadTail_
                                 : Learned->Spreads_.getQuantile(Fraction);
  return double(Value) / double(Thousand);
}

std::vector<LearnedRunTime> LearnedRunTimes::list() const {
  std::vector<LearnedRunTime> Rows;
  Rows.reserve(Classes_.size());
  for (const auto &[Known, Learned] : Classes_)
    Rows.push_back({Known.Queue_, Known.Image_, Known.Fills_, Known.IsDeclared_,
                    Learned.RatioCount_, Learned.Median_, Learned.Tail_});
  std::sort(Rows.begin(), Rows.end());
  return Rows;
}
