#include "control/BundleJson.h"

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr std::size_t MaxNameBytes = 128;
static constexpr std::size_t MaxSignatureBytes = 256;

static fleet::SignOff readSignOff(JsonFields &Fields) {
  fleet::SignOff Value;
  Value.Operator_ =
      OperatorId(Fields.readString("operator", true, MaxNameBytes));
  Value.Signature_ = Fields.readString("signature", true, MaxSignatureBytes);
  return Value;
}

Outcome<fleet::ProposeBundle> control::parseProposal(const std::string &Body,
                                                     std::uint64_t WallMs) {
  Outcome<JsonFields> Parsed = JsonFields::parse(Body);
  if (!Parsed)
    return std::move(Parsed).as_failure();
  JsonFields &Fields = Parsed.value();
  fleet::ProposeBundle Value;
  Value.Text_ = Fields.readString("text", true, fleet::MaxBundleBytes);
  Value.SignOff_ = readSignOff(Fields);
  Value.WallMs_ = WallMs;
  if (const Outcome<void> Checked = Fields.finish(); !Checked)
    return Checked.as_failure();
  return Value;
}

Outcome<fleet::SignBundle> control::parseSignOff(const Digest &Value,
                                                 const std::string &Body,
                                                 std::uint64_t WallMs) {
  Outcome<JsonFields> Parsed = JsonFields::parse(Body);
  if (!Parsed)
    return std::move(Parsed).as_failure();
  JsonFields &Fields = Parsed.value();
  fleet::SignBundle Signed;
  Signed.Digest_ = Value;
  Signed.SignOff_ = readSignOff(Fields);
  Signed.WallMs_ = WallMs;
  if (const Outcome<void> Checked = Fields.finish(); !Checked)
    return Checked.as_failure();
  return Signed;
}

std::string control::extractBundleText(const std::string &Body) {
  const Json Parsed = Json::parse(Body, nullptr, /*allow_exceptions=*/false);
  const bool Wrapped = Parsed.is_object() && Parsed.size() == 1 &&
                       Parsed.contains("text") && Parsed["text"].is_string();
  return Wrapped ? Parsed["text"].get<std::string>() : Body;
}

Json control::makeCheckJson(const fleet::BundleCheck &Check,
                            const std::string &Text) {
  Json Problems = Json::array();
  for (const fleet::BundleProblem &Problem : Check.Problems_)
    Problems.push_back({{"place", Problem.Location_}, {"text", Problem.Text_}});
  Json Result = {{"ok", Check.Problems_.empty()},
                 {"digest", fleet::computeDigest(Text).value()},
                 {"problems", std::move(Problems)}};
  if (!Check.Bundle_.empty())
    Result["version"] = Check.Bundle_.front().Version_.value();
  return Result;
}

Json control::makeResultJson(const fleet::CommandResult &Result) {
  Json Body = {{"accepted", Result.Accepted_},
               {"version", Result.Version_.value()},
               {"digest", Result.Digest_.value()},
               {"message", Result.Message_}};
  if (!Result.Error_.empty())
    Body["error"] = Result.Error_;
  return Body;
}

Json control::makeAcceptedJson(const fleet::AcceptedBundle &Value) {
  Json Signers = Json::array();
  for (const OperatorId &Signer : Value.SignedBy_)
    Signers.push_back(Signer.value());
  return {{"version", Value.Version_.value()},
          {"digest", Value.Digest_.value()},
          {"parentVersion", Value.ParentVersion_.value()},
          {"note", Value.Note_},
          {"signedBy", std::move(Signers)},
          {"wallMs", Value.WallMs_}};
}

Json control::makeProposedJson(const Digest &Value,
                               const fleet::ProposedBundle &Proposal) {
  Json Signers = Json::array();
  for (const fleet::SignOff &Signed : Proposal.SignOffs_)
    Signers.push_back(Signed.Operator_.value());
  return {{"version", Proposal.Version_.value()},
          {"digest", Value.value()},
          {"signedBy", std::move(Signers)}};
}

Json control::makeStatusJson(const SurveyResult &Survey) {
  BundleVersion Newest;
  for (const ControlReport &Report : Survey.Reports_)
    Newest = std::max(Newest, Report.Held_);
  bool InForceEverywhere = Survey.Unanswered_.empty();
  Json Controls = Json::array();
  std::uint64_t DurationMs = 0;
  for (const ControlReport &Report : Survey.Reports_) {
    InForceEverywhere = InForceEverywhere && Report.Held_ == Newest;
    for (const EntryVersion &Entry : Report.Entries_)
      InForceEverywhere = InForceEverywhere && Entry.Held_ == Newest;
    if (Report.Leads_ && Report.RollOut_.Version_ == Newest)
      DurationMs = std::max(DurationMs, Report.RollOut_.DurationMs_);
    Controls.push_back(makeReportJson(Report));
  }
  Json Result = {{"version", Newest.value()},
                 {"everywhere", InForceEverywhere},
                 {"controls", std::move(Controls)},
                 {"silent", Survey.Unanswered_}};
  if (InForceEverywhere)
    Result["lastRollOutMs"] = DurationMs;
  return Result;
}

static Json makeCallerJson(const fleet::CallerLimit &Limit) {
  return {{"caller", Limit.Caller_.value()},
          {"requestsPerSecond", Limit.RequestsPerSecond_},
          {"burst", Limit.Burst_}};
}

static Json makeQuotaJson(const decide::TeamQuota &Quota) {
  return {{"team", Quota.Team_.value()},
          {"limit", makeResourcesJson(Quota.Limit_)}};
}

Json control::makeLimitsJson(const fleet::Bundle &Value) {
  Json Callers = Json::array();
  for (const fleet::CallerLimit &Limit : Value.CallerLimits_)
    Callers.push_back(makeCallerJson(Limit));
  Json Quotas = Json::array();
  for (const decide::TeamQuota &Quota : Value.Policy_.Quotas_)
    Quotas.push_back(makeQuotaJson(Quota));
  return {{"version", Value.Version_.value()},
          {"callers", std::move(Callers)},
          {"quotas", std::move(Quotas)},
          {"retryBudget", Value.RetryBudget_}};
}
