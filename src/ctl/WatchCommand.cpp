//===- WatchCommand.cpp - The decisions while they happen -----------------===//

#include "Commands.h"
#include "tulipweir/ctl/Table.h"

#include <algorithm>
#include <ostream>

using namespace tulipweir;
using namespace tulipweir::ctl;

static constexpr std::uint64_t MostAtOnce = 200;
static constexpr std::chrono::milliseconds PollTime{10'000};

/// "14:30:05 #12 place job/3 on vm-7: the text"
static std::string showDecision(const json &Decision) {
  static constexpr std::size_t DateLetters = 11;
  std::string Line =
      showWallTime(readNumber(Decision, "wallMs", 0)).substr(DateLetters);
  Line += " #" + showField(Decision, "/sequence");
  Line += " " + showField(Decision, "/kind");
  if (Decision.contains("job"))
    Line +=
        " " + showField(Decision, "/job") + "/" + showField(Decision, "/task");
  if (Decision.contains("server"))
    Line += " on " + showField(Decision, "/server");
  Line += " (" + showField(Decision, "/reason") + "): ";
  Line += showField(Decision, "/text");
  return makePrintable(std::move(Line));
}

static ApiRequest makePoll(std::uint64_t After) {
  ApiRequest Request;
  Request.Path_ = "/decisions";
  Request.Query_ = "after=" + std::to_string(After) +
                   "&limit=" + std::to_string(MostAtOnce) +
                   "&waitMs=" + std::to_string(PollTime.count());
  Request.Patience_ = PollTime;
  return Request;
}

CtlExit ctl::watchDecisions(CtlContext &Context, const Arguments &) {
  const auto Wanted = static_cast<std::uint64_t>(Context.Settings_.Count_);
  auto After = static_cast<std::uint64_t>(Context.Settings_.After_);
  std::uint64_t Shown = 0;
  for (;;) {
    const auto Got = ask(Context, makePoll(After));
    if (!Got)
      return reportError(Context, Got.error());
    if (!Got.value().isGood())
      return reportError(Context, Got.value());
    for (const json &Decision : findList(Got.value().Body_, "decisions")) {
      if (Context.Settings_.Json_)
        printJson(Context, Decision);
      else
        Context.Out_ << showDecision(Decision) << "\n";
      After = std::max(After, readNumber(Decision, "sequence", After));
      if (Wanted > 0 && ++Shown >= Wanted)
        return CtlExit::Success;
    }
    Context.Out_.flush();
  }
}
