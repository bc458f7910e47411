//===- BundleCheck.cpp - Parsing and checks of a bundle's text -----------===//

#include "FieldReader.h"
#include "JsonText.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/Signing.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

using namespace tulipweir;
using namespace tulipweir::fleet;
using nlohmann::json;

using ProblemList = std::vector<BundleProblem>;

static constexpr std::size_t MaxNoteBytes = 1000;
static constexpr std::size_t MaxOperators = 64;
static constexpr std::size_t MaxServices = 1000;
static constexpr std::size_t MaxCallers = 10'000;
static constexpr std::size_t MaxTeams = 2000;
static constexpr std::int64_t MaxVersion = 1'000'000'000'000;
static constexpr std::size_t DigestHexDigits = 64;
static constexpr std::size_t MaxProblems = 100;

static constexpr std::int64_t SecondMs = 1000;
static constexpr std::int64_t HourMs = 3600 * SecondMs;
static constexpr std::int64_t DayMs = 24 * HourMs;
static constexpr std::int64_t MaxMilliCpus = 1'000'000;
static constexpr std::int64_t MaxMemoryMib = 100'000'000;
static constexpr std::int64_t MaxAccelerators = 10'000;

/// Calls ReadOne for each entry, with a reader at the entry's JSON pointer.
template <class Entry>
static void readList(FieldReader &Reader, const std::string &Name,
                     Presence Expected, std::size_t MaxEntries,
                     std::vector<Entry> &Target, ProblemList &Problems,
                     Entry (*ReadOne)(FieldReader &)) {
  const json *List = Reader.findArray(Name, Expected, MaxEntries);
  if (!List)
    return;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const auto Pointer =
        appendPointer(Reader.makePointer(Name), std::to_string(Index));
    FieldReader EntryReader((*List)[Index], Pointer, Problems);
    Target.push_back(ReadOne(EntryReader));
    EntryReader.reportUnknownFields();
  }
}

/// Reports each entry whose key equals that of an earlier entry. Empty keys
/// have been reported before.
template <class Entry, class KeyOf>
static void
reportDuplicates(const std::string &Pointer, const std::vector<Entry> &Entries,
                 const std::string &Kind, KeyOf GetKey, ProblemList &Problems) {
  std::set<std::string> Seen;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    const std::string &Key = GetKey(Entries[Index]);
    if (Key.empty() || Seen.insert(Key).second)
      continue;
    std::string Text = Kind;
    Text.append(" '").append(Key).append("' is listed more than once");
    Problems.push_back({appendPointer(Pointer, std::to_string(Index)), Text});
  }
}

static Resources readResources(FieldReader &Reader) {
  Resources Amount;
  Reader.readInteger("milliCpus", Amount.MilliCpus_, {0, MaxMilliCpus});
  Reader.readInteger("memoryMib", Amount.MemoryMib_, {0, MaxMemoryMib});
  Reader.readInteger("accelerators", Amount.Accelerators_,
                     {0, MaxAccelerators});
  return Amount;
}

static OperatorKey readOperator(FieldReader &Reader) {
  OperatorKey Key;
  std::string Name;
  if (Reader.readName("operator", Name))
    Key.Operator_ = OperatorId(Name);
  Reader.readText("publicKey", Key.PublicKey_, Presence::Required,
                  DigestHexDigits);
  if (!Key.PublicKey_.empty() && !isPublicKey(Key.PublicKey_))
    Reader.addProblem("publicKey",
                      "is not an Ed25519 public key; 64 lower-case "
                      "hexadecimal digits as printed by "
                      "'tulipweirctl keygen' are expected");
  return Key;
}

static ServiceConfig readService(FieldReader &Reader) {
  ServiceConfig Service;
  std::string Name;
  if (Reader.readName("service", Name))
    Service.Service_ = ServiceId(Name);
  Reader.readMillis("defaultDeadlineMs", Service.DefaultDeadline_, {1, HourMs});
  Reader.readMillis("maxDeadlineMs", Service.MaxDeadline_, {1, HourMs});
  Reader.readMillis("targetP99Ms", Service.TargetP99_, {1, HourMs});
  Reader.readInteger("queueLimit", Service.QueueLimit_, {0, 100'000});
  Reader.readInteger("maxBodyBytes", Service.MaxBodyBytes_, {0, 64LL << 20});
  Reader.readBool("hedgingAllowed", Service.HedgingAllowed_);
  return Service;
}

static void checkDeadlines(FieldReader &Reader, const ServiceConfig &Service) {
  if (Service.DefaultDeadline_ > Service.MaxDeadline_)
    Reader.addProblem("defaultDeadlineMs",
                      "must not be longer than maxDeadlineMs");
}

static CallerLimit readCallerLimit(FieldReader &Reader) {
  static constexpr double MaxRate = 10'000'000;
  CallerLimit Limit;
  std::string Name;
  Reader.readText("caller", Name, Presence::Required, 128);
  Limit.Caller_ = CallerId(Name);
  if (Name.empty())
    Reader.addProblem("caller", "is empty; a caller's name is expected, or "
                                "\"*\" for every caller not listed");
  Reader.readNumber("requestsPerSecond", Limit.RequestsPerSecond_, {0, MaxRate},
                    Presence::Required);
  Reader.readNumber("burst", Limit.Burst_, {0, MaxRate}, Presence::Required);
  return Limit;
}

static decide::TeamQuota readQuota(FieldReader &Reader) {
  decide::TeamQuota Quota;
  std::string Name;
  if (Reader.readName("team", Name))
    Quota.Team_ = TeamId(Name);
  Quota.Limit_ = readResources(Reader);
  return Quota;
}

static void readWeights(FieldReader &Reader, decide::Policy &Policy) {
  Reader.readNumber("tailWeight", Policy.TailWeight_, {0, 100});
  Reader.readNumber("throughputWeight", Policy.ThroughputWeight_, {0, 100});
  Reader.readNumber("evictionWeight", Policy.EvictionWeight_, {0, 100});
  const double Sum =
      Policy.TailWeight_ + Policy.ThroughputWeight_ + Policy.EvictionWeight_;
  if (Sum <= 0)
    Reader.addProblem("tailWeight", "and the other two weights are all 0; at "
                                    "least one must be above 0");
}

static decide::Policy readPolicy(FieldReader &Reader, ProblemList &Problems) {
  decide::Policy Policy;
  readWeights(Reader, Policy);
  Reader.readInteger("urgentPriority", Policy.UrgentPriority_, {1, 1'000'000});
  Reader.readNumber("usageQuantile", Policy.UsageQuantile_, {0.5, 1});
  Reader.readNumber("usageMargin", Policy.UsageMargin_, {0, 1});
  Reader.readInteger("guardReports", Policy.GuardReports_, {1, 20});
  Reader.readNumber("guardReleasePart", Policy.GuardReleasePart_, {0.1, 1});
  Reader.readInteger("throttlePercent", Policy.ThrottlePercent_, {5, 95});
  Reader.readInteger("quarantineJobs", Policy.QuarantineJobs_, {2, 20});
  Reader.readMillis("quarantineMs", Policy.QuarantineTime_, {SecondMs, DayMs});
  Reader.readMillis("ageingStepMs", Policy.AgeingStep_, {SecondMs, HourMs});
  readList(Reader, "quotas", Presence::Optional, MaxTeams, Policy.Quotas_,
           Problems, readQuota);
  reportDuplicates(
      Reader.makePointer("quotas"), Policy.Quotas_, "team",
      [](const decide::TeamQuota &Quota) -> const std::string & {
        return Quota.Team_.value();
      },
      Problems);
  return Policy;
}

static bool isDigest(std::string_view Text) {
  return Text.size() == DigestHexDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

static void readVersions(FieldReader &Reader, Bundle &Target) {
  std::int64_t Version = 0;
  std::int64_t Parent = 0;
  std::string ParentDigest;
  Reader.readInteger("version", Version, {1, MaxVersion}, Presence::Required);
  Reader.readInteger("parentVersion", Parent, {0, MaxVersion},
                     Presence::Required);
  Reader.readText("parentDigest", ParentDigest, Presence::Required,
                  DigestHexDigits);
  if (Version > 0 && Version <= Parent)
    Reader.addProblem("version", "must be greater than parentVersion");
  if (Parent == 0 && !ParentDigest.empty())
    Reader.addProblem("parentDigest", "is set, but parentVersion 0 means that "
                                      "there is no parent; \"\" is expected");
  if (Parent > 0 && !isDigest(ParentDigest))
    Reader.addProblem("parentDigest",
                      "is not a digest; the 64 hexadecimal digits shown by "
                      "'tulipweirctl bundle current' are expected");
  Target.Version_ = BundleVersion(static_cast<std::uint64_t>(Version));
  Target.ParentVersion_ = BundleVersion(static_cast<std::uint64_t>(Parent));
  Target.ParentDigest_ = Digest(ParentDigest);
}

static void readOperators(FieldReader &Reader, Bundle &Target,
                          ProblemList &Problems) {
  readList(Reader, "operators", Presence::Required, MaxOperators,
           Target.Operators_, Problems, readOperator);
  const auto Pointer = Reader.makePointer("operators");
  reportDuplicates(
      Pointer, Target.Operators_, "operator",
      [](const OperatorKey &Key) -> const std::string & {
        return Key.Operator_.value();
      },
      Problems);
  // One person listed under two names could sign off twice.
  reportDuplicates(
      Pointer, Target.Operators_, "public key",
      [](const OperatorKey &Key) -> const std::string & {
        return Key.PublicKey_;
      },
      Problems);
  Reader.readInteger("signOffsNeeded", Target.SignOffsNeeded_,
                     {1, static_cast<std::int64_t>(MaxOperators)});
  if (Target.SignOffsNeeded_ > Target.Operators_.size())
    Reader.addProblem("signOffsNeeded",
                      "is " + std::to_string(Target.SignOffsNeeded_) +
                          ", but there are " +
                          std::to_string(Target.Operators_.size()) +
                          " operators; no later bundle could be accepted");
}

static void readServices(FieldReader &Reader, Bundle &Target,
                         ProblemList &Problems) {
  const json *List =
      Reader.findArray("services", Presence::Required, MaxServices);
  if (!List)
    return;
  for (std::size_t Index = 0; Index < List->size(); ++Index) {
    const auto Pointer =
        appendPointer(Reader.makePointer("services"), std::to_string(Index));
    FieldReader Entry((*List)[Index], Pointer, Problems);
    ServiceConfig Service = readService(Entry);
    checkDeadlines(Entry, Service);
    if (const json *Share = Entry.findObject("share")) {
      FieldReader ShareReader(*Share, Entry.makePointer("share"), Problems);
      Service.Share_ = readResources(ShareReader);
      ShareReader.reportUnknownFields();
    }
    Entry.reportUnknownFields();
    Target.Services_.push_back(std::move(Service));
  }
  reportDuplicates(
      Reader.makePointer("services"), Target.Services_, "service",
      [](const ServiceConfig &Service) -> const std::string & {
        return Service.Service_.value();
      },
      Problems);
}

static void readCallerLimits(FieldReader &Reader, Bundle &Target,
                             ProblemList &Problems) {
  readList(Reader, "callerLimits", Presence::Optional, MaxCallers,
           Target.CallerLimits_, Problems, readCallerLimit);
  reportDuplicates(
      Reader.makePointer("callerLimits"), Target.CallerLimits_, "caller",
      [](const CallerLimit &Limit) -> const std::string & {
        return Limit.Caller_.value();
      },
      Problems);
}

static Bundle readBundle(FieldReader &Reader, ProblemList &Problems) {
  Bundle Target;
  readVersions(Reader, Target);
  Reader.readText("note", Target.Note_, Presence::Required, MaxNoteBytes);
  readOperators(Reader, Target, Problems);
  readServices(Reader, Target, Problems);
  readCallerLimits(Reader, Target, Problems);
  Reader.readNumber("retryBudget", Target.RetryBudget_, {0, 1});
  Reader.readMillis("requestRetentionMs", Target.RequestRetention_,
                    {60 * SecondMs, 30 * DayMs});
  if (const json *Policy = Reader.findObject("policy")) {
    FieldReader PolicyReader(*Policy, Reader.makePointer("policy"), Problems);
    Target.Policy_ = readPolicy(PolicyReader, Problems);
    PolicyReader.reportUnknownFields();
  }
  for (const ServiceConfig &Service : Target.Services_)
    Target.Policy_.Targets_.push_back({Service.Service_, Service.TargetP99_});
  Reader.reportUnknownFields();
  return Target;
}

static void truncateProblems(ProblemList &Problems) {
  if (Problems.size() <= MaxProblems)
    return;
  const std::size_t Remaining = Problems.size() - MaxProblems;
  Problems.resize(MaxProblems);
  Problems.push_back({"", std::to_string(Remaining) + " more problems"});
}

BundleCheck fleet::checkBundle(std::string_view Text) {
  BundleCheck Check;
  if (Text.size() > MaxBundleBytes) {
    Check.Problems_.push_back(
        {"1:1", "has " + std::to_string(Text.size()) + " bytes; at most " +
                    std::to_string(MaxBundleBytes) + " are allowed"});
    return Check;
  }
  const auto Value = readJsonText(Text, Check.Problems_);
  if (!Value)
    return Check;
  FieldReader Reader(*Value, "", Check.Problems_);
  Bundle Checked = readBundle(Reader, Check.Problems_);
  truncateProblems(Check.Problems_);
  if (Check.Problems_.empty())
    Check.Bundle_.push_back(std::move(Checked));
  return Check;
}
