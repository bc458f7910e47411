//===- ExamplesTest.cpp ---------------------------------------------------===//

#include "FleetFixture.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace tulipweir;
using namespace tulipweir::fleet;

/// Tests run in the root or in a build folder directly below it.
static std::string readExample(const std::string &Name) {
  const bool InRoot = std::filesystem::exists("examples/" + Name);
  std::ifstream In((InRoot ? "examples/" : "../examples/") + Name);
  EXPECT_TRUE(In) << "run the tests in the root or the build folder";
  return std::string(std::istreambuf_iterator<char>(In), {});
}

static decide::Policy checkExample(const std::string &Text) {
  const BundleCheck Check = checkBundle(Text);
  for (const BundleProblem &Problem : Check.Problems_)
    ADD_FAILURE() << Problem.Location_ << " " << Problem.Text_;
  return Check.Bundle_.empty() ? decide::Policy() : Check.Bundle_[0].Policy_;
}

TEST(ExamplesTest, DeploymentExamplesAreValidAndUseDifferentWeights) {
  const auto Trust = checkExample(readExample("trust.bundle.json"));
  const auto Franchise = checkExample(readExample("franchise.bundle.json"));
  EXPECT_GT(Trust.TailWeight_, Trust.ThroughputWeight_);
  EXPECT_GT(Franchise.ThroughputWeight_, Franchise.TailWeight_);
  EXPECT_GT(Franchise.EvictionWeight_, Franchise.TailWeight_);
}

TEST(ExamplesTest, LocalTemplateIsValidOnceKeysAreFilledIn) {
  std::string Text = readExample("local.bundle.json");
  const std::string Placeholder = "\"@PUBLIC_KEY@\"";
  EXPECT_FALSE(checkBundle(Text).Problems_.empty());
  for (auto At = Text.find(Placeholder); At != std::string::npos;
       At = Text.find(Placeholder))
    Text.replace(At, Placeholder.size(),
                 "\"" + makeKeyPair().PublicKey_ + "\"");
  checkExample(Text);
}
