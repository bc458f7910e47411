#include "control/BundleRoutes.h"

#include "control/BundleJson.h"
#include "control/OperatorErrors.h"
#include "tulipweir/fleet/FleetCodec.h"

#include <charconv>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr Duration ProposeTimeout = std::chrono::seconds(8);
static constexpr std::size_t DefaultHistory = 50;
static constexpr std::size_t MostHistory = 1000;

const RouteEntry<BundleRoutes> BundleRoutes::Table[] = {
    {"POST", "/bundles/check", &BundleRoutes::check},
    {"POST", "/bundles", &BundleRoutes::propose},
    {"POST", "/bundles/{}/sign", &BundleRoutes::sign},
    {"GET", "/bundles", &BundleRoutes::listHistory},
    {"GET", "/bundles/current", &BundleRoutes::showCurrent},
    {"GET", "/bundles/status", &BundleRoutes::showStatus},
    {"GET", "/bundles/{}", &BundleRoutes::showVersion},
    {"GET", "/limits", &BundleRoutes::showLimits},
    {"GET", "/passed-on/report", &BundleRoutes::showReport}};

BundleRoutes::BundleRoutes(const fleet::FleetStateMachine &Fleet,
                           BundleKeeper &Keeper, FleetProposer &Proposer,
                           FleetSurvey &Survey, const Clock &Time)
    : Fleet_(Fleet), Keeper_(Keeper), Proposer_(Proposer), Survey_(Survey),
      Time_(Time) {}

RouteMatch BundleRoutes::handle(const wire::OperatorCall &Call,
                                OperatorDone &Done) {
  return routeCall(*this, Table, Call, Done);
}

void BundleRoutes::check(const RoutedCall &Call, OperatorDone Done) {
  const std::string Text = takeBundleText(Call.Call_.Body_);
  Done({200, renderJson(makeCheckJson(fleet::checkBundle(Text), Text))});
}

void BundleRoutes::propose(const RoutedCall &Call, OperatorDone Done) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  Outcome<fleet::ProposeBundle> Value = parseProposal(Call.Call_.Body_, WallMs);
  if (!Value)
    return Done(makeErrorAnswer(Value.error()));
  const fleet::BundleCheck Check = fleet::checkBundle(Value.value().Text_);
  if (!Check.Problems_.empty()) {
    Json Body = makeCheckJson(Check, Value.value().Text_);
    Body["error"] = getErrorName(ErrorCode::InvalidArgument);
    Body["message"] = "the bundle has " +
                      std::to_string(Check.Problems_.size()) +
                      " problems; nothing was proposed";
    return Done({400, renderJson(Body)});
  }
  send(std::move(Value.value()), std::move(Done));
}

void BundleRoutes::sign(const RoutedCall &Call, OperatorDone Done) {
  const auto WallMs = static_cast<std::uint64_t>(Time_.wallNow().count());
  Outcome<fleet::SignBundle> Value =
      parseSignOff(Digest(Call.Words_.front()), Call.Call_.Body_, WallMs);
  if (!Value)
    return Done(makeErrorAnswer(Value.error()));
  send(std::move(Value.value()), std::move(Done));
}

void BundleRoutes::send(const fleet::Command &Command, OperatorDone Done) {
  Proposer_.propose(
      fleet::encodeCommand(Command), ProposeTimeout,
      [this, Done = std::move(Done)](Outcome<std::string> Bytes) {
        if (!Bytes)
          return Done(makeErrorAnswer(
              getErrorName(Bytes.error().Code_),
              Bytes.error().Message_ +
                  "; whether it was taken is open, sending it again is safe"));
        const Outcome<fleet::CommandResult> Result =
            fleet::decodeResult(Bytes.value());
        if (!Result)
          return Done(makeErrorAnswer(Result.error()));
        const std::uint32_t Status =
            Result.value().Error_.empty()
                ? 200
                : getErrorStatus(Result.value().Error_);
        // Whoever is told "accepted" finds it in force here.
        Keeper_.afterChanges(
            [Done, Answer = wire::OperatorAnswer{
                       Status, renderJson(makeResultJson(Result.value()))}] {
              Done(Answer);
            });
      });
}

void BundleRoutes::listHistory(const RoutedCall &Call, OperatorDone Done) {
  const std::uint64_t Limit =
      Call.findNumber("limit", DefaultHistory, MostHistory);
  Json Bundles = Json::array();
  for (const fleet::AcceptedBundle &Value : Fleet_.listHistory(Limit))
    Bundles.push_back(makeAcceptedJson(Value));
  Json Proposals = Json::array();
  Fleet_.read([&Proposals](const fleet::FleetState &State) {
    for (const auto &[Digest, Value] : State.bundles().proposals())
      Proposals.push_back(makeProposedJson(Digest, Value));
    return 0;
  });
  Done({200, renderJson({{"bundles", std::move(Bundles)},
                         {"proposals", std::move(Proposals)}})});
}

static wire::OperatorAnswer
makeBundleAnswer(const std::optional<fleet::AcceptedBundle> &Found,
                 const std::string &WhenMissing) {
  if (!Found)
    return makeErrorAnswer(Error::make(ErrorCode::NotFound, WhenMissing));
  Json Body = makeAcceptedJson(*Found);
  Body["text"] = Found->Text_;
  return {200, renderJson(Body)};
}

void BundleRoutes::showCurrent(const RoutedCall &, OperatorDone Done) {
  const std::shared_ptr<const KeptBundle> Held = Keeper_.get();
  Done(makeBundleAnswer(Held ? std::optional(Held->Accepted_) : std::nullopt,
                        "no bundle is in force yet; propose the first one"));
}

void BundleRoutes::showVersion(const RoutedCall &Call, OperatorDone Done) {
  const std::string &Text = Call.Words_.front();
  std::uint64_t Version = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Version);
  if (Read.ec != std::errc() || Read.ptr != End)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::InvalidArgument,
                    "a version is a whole number, not " + Text)));
  Done(makeBundleAnswer(Fleet_.findBundle(BundleVersion(Version)),
                        "no bundle with version " + Text + " was accepted"));
}

void BundleRoutes::showStatus(const RoutedCall &, OperatorDone Done) {
  Survey_.ask([Done = std::move(Done)](const SurveyResult &Result) {
    Done({200, renderJson(makeStatusJson(Result))});
  });
}

void BundleRoutes::showReport(const RoutedCall &, OperatorDone Done) {
  Done({200, renderJson(makeReportJson(Survey_.makeSelfReport()))});
}

void BundleRoutes::showLimits(const RoutedCall &, OperatorDone Done) {
  const std::shared_ptr<const fleet::Bundle> InForce = Keeper_.getBundle();
  if (!InForce)
    return Done(makeErrorAnswer(
        Error::make(ErrorCode::NotFound, "no bundle is in force yet")));
  Done({200, renderJson(makeLimitsJson(*InForce))});
}
