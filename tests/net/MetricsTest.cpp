#include "tulipweir/net/Metrics.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <random>
#include <thread>
#include <vector>

using namespace tulipweir;
using namespace tulipweir::net;
using namespace std::chrono_literals;

TEST(MetricsTest, rendersPrometheusText) {
  Metrics All;
  All.addCounter("served_total", "Served.", "service=\"a\"").add(3);
  All.addCounter("served_total", "Served.", "service=\"b\"").add();
  All.addGauge("slots", "Slots.", [] { return 2.5; });
  LatencyHistogram &Latency = All.addHistogram("latency_seconds", "Latency.");
  Latency.record(1ms);
  Latency.record(1ms);
  Latency.record(200s);
  EXPECT_EQ(All.renderText(), "# HELP latency_seconds Latency.\n"
                              "# TYPE latency_seconds histogram\n"
                              "latency_seconds_bucket{le=\"0.00125893\"} 2\n"
                              "latency_seconds_bucket{le=\"+Inf\"} 3\n"
                              "latency_seconds_sum 200.002\n"
                              "latency_seconds_count 3\n"
                              "# HELP served_total Served.\n"
                              "# TYPE served_total counter\n"
                              "served_total{service=\"a\"} 3\n"
                              "served_total{service=\"b\"} 1\n"
                              "# HELP slots Slots.\n"
                              "# TYPE slots gauge\n"
                              "slots 2.5\n");
}

TEST(MetricsTest, givesTheSameObjectForTheSameName) {
  Metrics All;
  EXPECT_EQ(&All.addCounter("a", "A."), &All.addCounter("a", "A."));
  EXPECT_NE(&All.addCounter("a", "A."), &All.addCounter("a", "A.", "x=\"1\""));
}

TEST(MetricsTest, countsFromManyThreads) {
  Metrics All;
  Counter &Count = All.addCounter("n", "N.");
  LatencyHistogram &Latency = All.addHistogram("h", "H.");
  std::vector<std::thread> Threads;
  Threads.reserve(4);
  for (int T = 0; T < 4; ++T)
    Threads.emplace_back([&] {
      for (int I = 0; I < 10'000; ++I) {
        Count.add();
        Latency.record(1ms);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  EXPECT_EQ(Count.value(), 40'000U);
  EXPECT_EQ(Latency.getCount(), 40'000U);
}

TEST(MetricsTest, quantilesAreWithinABinOfTheTruth) {
  LatencyHistogram Latency;
  EXPECT_EQ(Latency.getQuantile(0.5), Duration::zero());
  std::mt19937 Random(1);
  std::vector<Duration> Values;
  for (int I = 0; I < 10'000; ++I) {
    Values.push_back(std::chrono::microseconds(20 + Random() % 1'000'000));
    Latency.record(Values.back());
  }
  std::sort(Values.begin(), Values.end());
  for (double Quantile : {0.01, 0.5, 0.9, 0.99, 1.0}) {
    const auto Index =
        static_cast<std::size_t>(Quantile * double(Values.size())) - 1;
    const auto True = double(Values[Index].count());
    const auto Told = double(Latency.getQuantile(Quantile).count());
    EXPECT_GE(Told, True * 0.99) << Quantile;
    EXPECT_LE(Told, True * 1.27) << Quantile;
  }
}

TEST(MetricsTest, countsWhatIsOutsideTheAxis) {
  LatencyHistogram Latency;
  Latency.record(-5s);
  Latency.record(1ns);
  EXPECT_EQ(Latency.getQuantile(1), 10us);
  Latency.record(1h);
  EXPECT_EQ(Latency.getQuantile(1), 100s);
  EXPECT_EQ(Latency.getCount(), 3U);
}
