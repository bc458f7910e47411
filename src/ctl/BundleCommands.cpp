//===- BundleCommands.cpp - Check, propose, sign --------------------------===//

#include "Commands.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/Signing.h"

#include <algorithm>
#include <ostream>
#include <thread>

using namespace tulipweir;
using namespace tulipweir::ctl;

using std::chrono::duration_cast;
using std::chrono::milliseconds;

static constexpr std::size_t DigestLetters = 64;
static constexpr milliseconds StatusPause{100};

namespace {

/// A proposal or a sign-off that was answered.
struct SignedAnswer {
  Answer Answer_;
  TimePoint SentAt_{};
};

} // namespace

static json makeCheckJson(const fleet::BundleCheck &Check,
                          const std::string &Text) {
  json Problems = json::array();
  for (const fleet::BundleProblem &Problem : Check.Problems_)
    Problems.push_back({{"place", Problem.Location_}, {"text", Problem.Text_}});
  return {{"ok", Check.Problems_.empty()},
          {"digest", fleet::computeDigest(Text).value()},
          {"problems", std::move(Problems)}};
}

/// Prints the problems; false if there are any.
static bool reportCheck(CtlContext &Context, const std::string &File,
                        const fleet::BundleCheck &Check) {
  for (const fleet::BundleProblem &Problem : Check.Problems_)
    Context.Err_ << File << ": " << Problem.Location_ << " " << Problem.Text_
                 << "\n";
  if (Check.Problems_.empty())
    return true;
  Context.Err_ << File << ": " << Check.Problems_.size()
               << " problem(s); docs/BUNDLES.md describes every field\n";
  return false;
}

CtlExit ctl::checkBundleFile(CtlContext &Context, const Arguments &Words) {
  const auto Text = readFile(Words.front());
  if (!Text)
    return reportError(Context, Text.error());
  const auto Check = fleet::checkBundle(Text.value());
  if (Context.Settings_.Json_) {
    printJson(Context, makeCheckJson(Check, Text.value()));
    return Check.Problems_.empty() ? CtlExit::Success : CtlExit::Failure;
  }
  if (!reportCheck(Context, Words.front(), Check))
    return CtlExit::Failure;
  const fleet::Bundle &Good = Check.Bundle_.front();
  Context.Out_ << Words.front() << ": good; version " << Good.Version_.value()
               << ", digest " << fleet::computeDigest(Text.value()).value()
               << ", " << Good.Services_.size() << " service(s), "
               << Good.Operators_.size() << " operator(s)\n";
  return CtlExit::Success;
}

/// {"operator", "signature"} over the digest, with the key of --key-file.
static Outcome<json> makeSignOff(const CtlSettings &Settings,
                                 const Digest &Value) {
  if (Settings.Operator_.empty() || Settings.KeyFile_.empty())
    return fail(ErrorCode::InvalidArgument,
                "--operator and --key-file are needed to sign; 'tulipweirctl "
                "keygen FILE' makes a key");
  auto Key = readFile(Settings.KeyFile_);
  if (!Key)
    return std::move(Key).as_failure();
  const std::string Line = Key.value().substr(0, Key.value().find('\n'));
  auto Signature = fleet::signDigest(Value, Line);
  if (!Signature)
    return fail(ErrorCode::InvalidArgument,
                Settings.KeyFile_ + ": " + Signature.error().Message_);
  return json{{"operator", Settings.Operator_},
              {"signature", Signature.value()}};
}

/// Whether the status says that this version, or a later one, is in force at
/// every process.
static bool isEverywhere(const json &Status, std::uint64_t Version) {
  return readNumber(Status, "version", 0) >= Version &&
         readFlag(Status, "everywhere");
}

/// Asks until the version is in force everywhere, or for --timeout-ms.
static CtlExit waitForRollOut(CtlContext &Context, std::uint64_t Version,
                              TimePoint SentAt) {
  const TimePoint Deadline = Context.Time_.now() + Context.Settings_.Timeout_;
  const ApiRequest Request{"GET", "/bundles/status", "", "", Duration::zero()};
  for (;;) {
    const auto Got = ask(Context, Request);
    if (Got && Got.value().isGood() &&
        isEverywhere(Got.value().Body_, Version)) {
      const auto Took =
          duration_cast<milliseconds>(Context.Time_.now() - SentAt).count();
      if (Context.Settings_.Json_)
        printJson(
            Context,
            {{"version", Version}, {"everywhere", true}, {"tookMs", Took}});
      else
        Context.Out_ << "version " << Version << " is in force everywhere, "
                     << Took << " ms after it was sent\n";
      return CtlExit::Success;
    }
    if (Context.Time_.now() >= Deadline)
      break;
    std::this_thread::sleep_for(StatusPause);
  }
  Context.Err_ << "tulipweirctl: timeout: version " << Version
               << " is not known to be in force everywhere\nnext: 'bundle "
                  "status' shows which process lacks it or a sign-off\n";
  return CtlExit::Unreachable;
}

/// What is accepted already counts as done: the answer of an earlier try was
/// lost.
static CtlExit finishSigning(CtlContext &Context, const SignedAnswer &Got) {
  const json &Body = Got.Answer_.Body_;
  const bool Accepted = readFlag(Body, "accepted");
  const bool HasSigned = readText(Body, "error") == "already_exists";
  if (!Got.Answer_.isGood() && !Accepted && !HasSigned)
    return reportError(Context, Got.Answer_);
  const std::uint64_t Version = readNumber(Body, "version", 0);
  if (Context.Settings_.Json_)
    printJson(Context, Body);
  else
    Context.Out_ << "version " << Version << ", digest "
                 << readText(Body, "digest") << ": "
                 << readText(Body, "message") << "\n";
  if (!Context.Settings_.Wait_)
    return CtlExit::Success;
  return waitForRollOut(Context, Version, Got.SentAt_);
}

static CtlExit sendSigned(CtlContext &Context, const std::string &Path,
                          const json &Body) {
  SignedAnswer Sent;
  Sent.SentAt_ = Context.Time_.now();
  auto Got =
      ask(Context, {"POST", Path, "", renderJson(Body), Duration::zero()});
  if (!Got)
    return reportError(Context, Got.error());
  Sent.Answer_ = std::move(Got.value());
  return finishSigning(Context, Sent);
}

CtlExit ctl::proposeBundle(CtlContext &Context, const Arguments &Words) {
  const auto Text = readFile(Words.front());
  if (!Text)
    return reportError(Context, Text.error());
  if (!reportCheck(Context, Words.front(), fleet::checkBundle(Text.value())))
    return CtlExit::Failure;
  auto Body =
      makeSignOff(Context.Settings_, fleet::computeDigest(Text.value()));
  if (!Body)
    return reportError(Context, Body.error());
  Body.value()["text"] = Text.value();
  return sendSigned(Context, "/bundles", Body.value());
}

static bool isDigest(const std::string &Word) {
  return Word.size() == DigestLetters &&
         Word.find_first_not_of("0123456789abcdef") == std::string::npos;
}

CtlExit ctl::signBundle(CtlContext &Context, const Arguments &Words) {
  Digest Value(Words.front());
  if (!isDigest(Words.front())) {
    const auto Text = readFile(Words.front());
    if (!Text)
      return reportError(Context, Text.error());
    Value = fleet::computeDigest(Text.value());
  }
  const auto Body = makeSignOff(Context.Settings_, Value);
  if (!Body)
    return reportError(Context, Body.error());
  return sendSigned(Context, "/bundles/" + Value.value() + "/sign",
                    Body.value());
}
