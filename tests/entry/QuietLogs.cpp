//===- QuietLogs.cpp - Disables log output in the tests -------------------===//

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

namespace {

class QuietLogs final : public testing::Environment {
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
};

} // namespace

static testing::Environment *const Registered =
    testing::AddGlobalTestEnvironment(new QuietLogs);
