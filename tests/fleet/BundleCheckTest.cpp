//===- BundleCheckTest.cpp ------------------------------------------------===//

#include "FleetFixture.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>
#include <regex>

using namespace tulipweir;
using namespace tulipweir::fleet;
using namespace tulipweir::fleet::test;
using nlohmann::json;
using testing::Contains;
using testing::Field;

/// Returns a bundle in which every known field is set.
static json makeFullBundle() {
  json Value = makeBundleJson(2, 1, std::string(64, 'a'), 3, 2);
  Value["services"] = {
      {{"service", "booking"},
       {"defaultDeadlineMs", 500},
       {"maxDeadlineMs", 5000},
       {"targetP99Ms", 80},
       {"queueLimit", 32},
       {"maxBodyBytes", 4096},
       {"hedgingAllowed", true},
       {"share",
        {{"milliCpus", 1500}, {"memoryMib", 512}, {"accelerators", 1}}}},
      {{"service", "tariff"}}};
  Value["callerLimits"] = {
      {{"caller", "*"}, {"requestsPerSecond", 50.5}, {"burst", 100}}};
  Value["retryBudget"] = 0.2;
  Value["requestRetentionMs"] = 3600000;
  Value["policy"] = {{"tailWeight", 70},
                     {"throughputWeight", 15},
                     {"evictionWeight", 15},
                     {"urgentPriority", 90},
                     {"usageQuantile", 0.9},
                     {"usageMargin", 0.2},
                     {"guardReports", 4},
                     {"guardReleasePart", 0.7},
                     {"throttlePercent", 30},
                     {"quarantineJobs", 4},
                     {"quarantineMs", 90000},
                     {"ageingStepMs", 20000},
                     {"quotas",
                      {{{"team", "huts"},
                        {"milliCpus", 8000},
                        {"memoryMib", 16384},
                        {"accelerators", 2}}}}};
  return Value;
}

static std::vector<BundleProblem> findProblems(const std::string &Text) {
  return checkBundle(Text).Problems_;
}

TEST(BundleCheckTest, EveryFieldIsRead) {
  const BundleCheck Check = checkBundle(makeFullBundle().dump());
  ASSERT_EQ(Check.Bundle_.size(), 1U) << Check.Problems_.front().Location_;
  const Bundle &Read = Check.Bundle_.front();
  EXPECT_EQ(Read.Version_, BundleVersion(2));
  EXPECT_EQ(Read.SignOffsNeeded_, 2U);
  EXPECT_EQ(Read.Operators_.at(2).Operator_, makeOperator(3));
  const ServiceConfig &Booking = Read.Services_.at(0);
  EXPECT_EQ(Booking.DefaultDeadline_, std::chrono::milliseconds(500));
  EXPECT_EQ(Booking.Share_, Resources::makeFor(1500, 512, 1));
  EXPECT_TRUE(Booking.HedgingAllowed_);
  EXPECT_EQ(Booking.QueueLimit_, 32U);
  EXPECT_EQ(Booking.MaxBodyBytes_, 4096U);
  EXPECT_EQ(Read.CallerLimits_.at(0).RequestsPerSecond_, 50.5);
  EXPECT_EQ(Read.RetryBudget_, 0.2);
  EXPECT_EQ(Read.RequestRetention_, std::chrono::hours(1));
  EXPECT_EQ(Read.Policy_.ThrottlePercent_, 30U);
  EXPECT_EQ(Read.Policy_.AgeingStep_, std::chrono::seconds(20));
  EXPECT_EQ(Read.Policy_.Quotas_.at(0).Limit_,
            Resources::makeFor(8000, 16384, 2));
  EXPECT_EQ(Read.Policy_.Targets_.size(), 2U);
  EXPECT_EQ(Read.Policy_.Targets_.at(0).P99_, std::chrono::milliseconds(80));
}

TEST(BundleCheckTest, OmittedFieldsHaveDocumentedDefaults) {
  const auto Check = checkBundle(makeBundleText(1, 0, ""));
  ASSERT_EQ(Check.Bundle_.size(), 1U);
  EXPECT_EQ(Check.Bundle_[0].Policy_, decide::Policy());
  EXPECT_EQ(Check.Bundle_[0].RequestRetention_, std::chrono::hours(24));
}

TEST(BundleCheckTest, CommentsAreAllowed) {
  const std::string Text = "// why\n" + makeBundleText(1, 0, "") + "/* end */";
  EXPECT_TRUE(findProblems(Text).empty());
}

namespace {
struct InvalidField {
  const char *Pointer_;
  json Value_;
};
} // namespace

/// Each line violates one rule; the problem must name exactly that location.
TEST(BundleCheckTest, EachInvalidFieldIsReportedAtItsLocation) {
  const InvalidField Lines[] = {
      {"/version", 0},
      {"/version", "2"},
      {"/version", 2.5},
      {"/version", -1},
      {"/version", 1}, // Not above its parent.
      {"/parentDigest", "abc"},
      {"/parentDigest", std::string(64, 'G')},
      {"/note", 5},
      {"/note", std::string(1001, 'x')},
      {"/signOffsNeeded", 4}, // There are three operators.
      {"/signOffsNeeded", 0},
      {"/operators", json::object()},
      {"/operators/0", 7},
      {"/operators/0/operator", ""},
      {"/operators/0/operator", ".x"},
      {"/operators/0/operator", "a b"},
      {"/operators/0/publicKey", std::string(64, '0')},
      {"/services/0/service", std::string(65, 'a')},
      {"/services/0/queueLimit", 100001},
      {"/services/0/queueLimit", 18446744073709551615ULL},
      {"/services/0/defaultDeadlineMs", 5001}, // Above its maximum.
      {"/services/0/targetP99Ms", 0},
      {"/services/0/hedgingAllowed", 1},
      {"/services/0/share", json::array()},
      {"/services/0/share/milliCpus", -1},
      {"/services/0/share/gpus", 1},
      {"/services/0/targetP99", 5},
      {"/callerLimits/0/caller", ""},
      {"/callerLimits/0/burst", -0.5},
      {"/callerLimits/0/requestsPerSecond", "many"},
      {"/retryBudget", 1.01},
      {"/requestRetentionMs", 59999},
      {"/policy", nullptr},
      {"/policy/tailWeight", 100.5},
      {"/policy/usageQuantile", 0.49},
      {"/policy/guardReports", 21},
      {"/policy/throttlePercent", 96},
      {"/policy/quarantineJobs", 1},
      {"/policy/ageingStepMs", 3600001},
      {"/policy/quotas/0/team", true},
      {"/policy/a~1b", 1}, // An unknown field with a slash in its name.
      {"/extra", {}},
  };
  for (const InvalidField &Line : Lines) {
    json Value = makeFullBundle();
    Value[json::json_pointer(Line.Pointer_)] = Line.Value_;
    EXPECT_THAT(findProblems(Value.dump()),
                Contains(Field(&BundleProblem::Location_, Line.Pointer_)))
        << Line.Pointer_ << " = " << Line.Value_;
  }
}

TEST(BundleCheckTest, MissingRequiredFieldsAreReported) {
  for (const char *Name : {"version", "parentVersion", "parentDigest", "note",
                           "operators", "services"}) {
    json Value = makeFullBundle();
    Value.erase(Name);
    EXPECT_THAT(
        findProblems(Value.dump()),
        Contains(Field(&BundleProblem::Location_, std::string("/") + Name)));
  }
}

TEST(BundleCheckTest, DuplicateEntriesAndSharedKeysAreRejected) {
  json Value = makeFullBundle();
  Value["services"][1]["service"] = "booking";
  Value["operators"][1]["operator"] = "op1";
  Value["operators"][2]["publicKey"] = Value["operators"][0]["publicKey"];
  const auto Problems = findProblems(Value.dump());
  for (const char *Place : {"/services/1", "/operators/1", "/operators/2"})
    EXPECT_THAT(Problems, Contains(Field(&BundleProblem::Location_, Place)));
}

TEST(BundleCheckTest, AllProblemsAreReportedAtOnce) {
  json Value = makeFullBundle();
  Value["version"] = "two";
  Value["services"][0]["queueLimit"] = -1;
  Value["policy"]["usageMargin"] = 2;
  Value["surprise"] = 1;
  EXPECT_EQ(findProblems(Value.dump()).size(), 4U);
}

TEST(BundleCheckTest, DuplicateKeyIsReportedAtItsLocation) {
  std::string Text = makeFullBundle().dump();
  const std::string Entry = "\"queueLimit\":32";
  Text.replace(Text.find(Entry), Entry.size(), Entry + "," + Entry);
  EXPECT_THAT(findProblems(Text), Contains(Field(&BundleProblem::Location_,
                                                 "/services/0/queueLimit")));
}

TEST(BundleCheckTest, SyntaxErrorHasLineAndColumn) {
  const auto Problems = findProblems("{\n  \"version\": 1,\n  oops\n}");
  ASSERT_EQ(Problems.size(), 1U);
  EXPECT_EQ(Problems[0].Location_, "3:3");
}

TEST(BundleCheckTest, OversizedAndDeeplyNestedTextsAreRejected) {
  EXPECT_EQ(findProblems(std::string(MaxBundleBytes + 1, ' ')).size(), 1U);
  EXPECT_EQ(findProblems(std::string(200'000, '[')).size(), 1U);
  EXPECT_FALSE(findProblems("{\"version\": 1e400}").empty());
}

// Fuzz tests with fixed seeds.

/// Specifies the types of an accepted text independently of the checked code.
static bool isWellTyped(const std::string &Pattern, const json &Leaf) {
  static const std::regex Texts(
      "/note|/parentDigest|/operators/N/(operator|publicKey)"
      "|/services/N/service|/callerLimits/N/caller|/policy/quotas/N/team");
  static const std::regex Numbers(
      "/retryBudget|/callerLimits/N/(requestsPerSecond|burst)"
      "|/policy/(tail|throughput|eviction)Weight"
      "|/policy/(usageQuantile|usageMargin|guardReleasePart)");
  static const std::regex Integers(
      "/version|/parentVersion|/signOffsNeeded|/requestRetentionMs"
      "|/services/N/(defaultDeadlineMs|maxDeadlineMs|targetP99Ms|queueLimit"
      "|maxBodyBytes|share/(milliCpus|memoryMib|accelerators))"
      "|/policy/(urgentPriority|guardReports|throttlePercent|quarantineJobs"
      "|quarantineMs|ageingStepMs"
      "|quotas/N/(milliCpus|memoryMib|accelerators))");
  if (std::regex_match(Pattern, Texts))
    return Leaf.is_string();
  if (std::regex_match(Pattern, Numbers))
    return Leaf.is_number();
  if (std::regex_match(Pattern, Integers))
    return Leaf.is_number_integer() && Leaf >= 0;
  return Pattern == "/services/N/hedgingAllowed" && Leaf.is_boolean();
}

/// Returns the first leaf with a wrong type in an accepted text, or "".
static std::string findIllTyped(const json &Value, const std::string &Pattern) {
  if (!Value.is_structured())
    return isWellTyped(Pattern, Value) ? "" : Pattern;
  for (const auto &Item : Value.items()) {
    std::string Longer = Pattern;
    Longer.append("/").append(Value.is_array() ? "N" : Item.key());
    auto Path = findIllTyped(Item.value(), Longer);
    if (!Path.empty())
      return Path;
  }
  return "";
}

static void expectConsistentResult(const std::string &Text) {
  const BundleCheck Check = checkBundle(Text);
  ASSERT_NE(Check.Bundle_.empty(), Check.Problems_.empty()) << Text;
  if (Check.Bundle_.empty())
    return;
  const json Read = json::parse(Text, nullptr, true, true);
  ASSERT_EQ(findIllTyped(Read, ""), "") << Text;
}

TEST(BundleFuzzTest, MutatedTextIsNeverAcceptedWithWrongTypes) {
  const std::string Whole = makeFullBundle().dump();
  static constexpr char SpecialBytes[] = "{}[]\",:0123456789.-eE/*\\ntf \xff\0";
  std::mt19937_64 Random(4711);
  std::size_t Accepted = 0;
  for (int Round = 0; Round < 6000; ++Round) {
    std::string Text = Whole;
    for (unsigned Change = 0; Change < 1 + Round % 3U; ++Change) {
      const std::size_t At = Random() % Text.size();
      const char Byte = SpecialBytes[Random() % (sizeof(SpecialBytes) - 1)];
      if (Random() % 3 == 0)
        Text.erase(At, 1 + Random() % 8);
      else if (Random() % 2 == 0)
        Text.insert(At, 1, Byte);
      else
        Text[At] = Byte;
    }
    expectConsistentResult(Text);
    Accepted += checkBundle(Text).Bundle_.size();
  }
  EXPECT_GT(Accepted, 0U) << "no mutation left a valid bundle";
}

TEST(BundleFuzzTest, ReplacedValueIsNeverAcceptedWithWrongType) {
  const json Flat = makeFullBundle().flatten();
  const json Values = {nullptr,
                       true,
                       -1,
                       0,
                       1,
                       7,
                       1e9,
                       0.5,
                       1e300,
                       "",
                       "x",
                       std::string(64, 'a'),
                       json::array(),
                       json::object(),
                       json::array({1}),
                       {{"a", 1}}};
  std::mt19937_64 Random(42);
  for (int Round = 0; Round < 2000; ++Round) {
    json Value = makeFullBundle();
    auto Leaf = Flat.begin();
    std::advance(Leaf, Random() % Flat.size());
    Value[json::json_pointer(Leaf.key())] = Values[Random() % Values.size()];
    expectConsistentResult(Value.dump());
  }
}

TEST(BundleFuzzTest, RandomBytesAreRejected) {
  std::mt19937_64 Random(99);
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Text(Random() % 200, '\0');
    for (char &Byte : Text)
      Byte = static_cast<char>(Random());
    EXPECT_TRUE(checkBundle(Text).Bundle_.empty());
  }
}
