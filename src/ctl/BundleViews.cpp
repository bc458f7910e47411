//===- BundleViews.cpp - Bundles as they stand and stood ------------------===//

#include "Commands.h"
#include "tulipweir/ctl/Table.h"

#include <algorithm>
#include <ostream>

using namespace tulipweir;
using namespace tulipweir::ctl;

static bool isNumber(const std::string &Word) {
  return !Word.empty() &&
         Word.find_first_not_of("0123456789") == std::string::npos;
}

static void addEntryRows(Table &Rows, const json &Control) {
  for (const json &Entry : findList(Control, "entries"))
    Rows.addRow({"entry", showField(Entry, "/entry"),
                 showField(Control, "/dataCentre"),
                 showField(Entry, "/version"), showField(Entry, "/ageMs")});
}

static void printStatus(CtlContext &Context, const json &Status) {
  Table Rows({"ROLE", "NAME", "DATA CENTRE", "VERSION", "REPORT AGE MS"});
  for (const json &Control : findList(Status, "controls")) {
    const bool Leads = readFlag(Control, "leader");
    Rows.addRow({Leads ? "leader" : "control", showField(Control, "/control"),
                 showField(Control, "/dataCentre"),
                 showField(Control, "/version")});
    addEntryRows(Rows, Control);
  }
  for (const json &Silent : findList(Status, "silent"))
    Rows.addRow({"control", Silent.is_string() ? Silent.get<std::string>() : "",
                 "", "no answer"});
  Context.Out_ << Rows.render() << "\n"
               << "newest version " << showField(Status, "/version")
               << (readFlag(Status, "everywhere")
                       ? " is in force everywhere"
                       : " is not yet known to be in force everywhere");
  if (Status.contains("lastRollOutMs"))
    Context.Out_ << "; the last roll-out took "
                 << showField(Status, "/lastRollOutMs") << " ms";
  Context.Out_ << "\n";
}

CtlExit ctl::showBundleStatus(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/bundles/status", "", "", {}},
                    printStatus);
}

static void printHistory(CtlContext &Context, const json &History) {
  Table Rows({"VERSION", "DIGEST", "ACCEPTED (UTC)", "SIGNED BY", "NOTE"});
  for (const json &One : findList(History, "bundles"))
    Rows.addRow({showField(One, "/version"), showField(One, "/digest"),
                 showWallTime(readNumber(One, "wallMs", 0)),
                 showField(One, "/signedBy"), showField(One, "/note")});
  for (const json &One : findList(History, "proposals"))
    Rows.addRow({showField(One, "/version"), showField(One, "/digest"),
                 "waits for sign-offs", showField(One, "/signedBy")});
  Context.Out_ << (Rows.isEmpty() ? "no bundle was accepted yet\n"
                                  : Rows.render());
}

CtlExit ctl::showBundleHistory(CtlContext &Context, const Arguments &) {
  const std::string Query = "limit=" + std::to_string(Context.Settings_.Limit_);
  return askAndShow(Context, {"GET", "/bundles", Query, "", {}}, printHistory);
}

static void printText(CtlContext &Context, const json &Bundle) {
  const std::string Text = readText(Bundle, "text");
  if (Text.empty()) {
    Context.Err_ << "the text of version " << showField(Bundle, "/version")
                 << " is no longer kept; its digest is "
                 << showField(Bundle, "/digest") << "\n";
    return;
  }
  Context.Out_ << Text << (Text.ends_with('\n') ? "" : "\n");
  // Beside the text, so that it can be sent to a file as it is.
  Context.Err_ << "version " << showField(Bundle, "/version") << ", digest "
               << showField(Bundle, "/digest") << ", accepted "
               << showWallTime(readNumber(Bundle, "wallMs", 0)) << " UTC\n";
}

CtlExit ctl::showBundleVersion(CtlContext &Context, const Arguments &Words) {
  return askAndShow(
      Context, {"GET", "/bundles/" + escapeStep(Words.front()), "", "", {}},
      printText);
}

CtlExit ctl::showCurrentBundle(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/bundles/current", "", "", {}},
                    printText);
}

/// The bundle named by a version's number, "current", or a file.
static Outcome<json> readNamed(CtlContext &Context, const std::string &Name) {
  std::string Text;
  if (isNumber(Name) || Name == "current") {
    const auto Got = ask(Context, {"GET", "/bundles/" + Name, "", "", {}});
    if (!Got)
      return Got.as_failure();
    Text = readText(Got.value().Body_, "text");
    if (Text.empty())
      return fail(ErrorCode::NotFound, "version " + Name +
                                           " was not accepted, or its text is "
                                           "no longer kept");
  } else {
    auto Read = readFile(Name);
    if (!Read)
      return std::move(Read).as_failure();
    Text = std::move(Read.value());
  }
  json Value = json::parse(Text, nullptr, false, true);
  if (Value.is_discarded())
    return fail(ErrorCode::Malformed, "'" + Name +
                                          "' is not JSON; 'bundle "
                                          "check' shows where");
  return Value;
}

/// One line for each changed field, as "place: before -> after".
static std::string showChange(const json &Change, const json &Before) {
  const std::string Kind = Change.at("op").get<std::string>();
  const std::string Place = Change.at("path").get<std::string>();
  const auto Old = [&] {
    return renderJson(Before.at(json::json_pointer(Place)));
  };
  if (Kind == "add")
    return "+ " + Place + ": " + renderJson(Change.at("value"));
  if (Kind == "remove")
    return "- " + Place;
  return "~ " + Place + ": " + Old() + " -> " + renderJson(Change.at("value"));
}

CtlExit ctl::showBundleDiff(CtlContext &Context, const Arguments &Words) {
  const std::string After = Words.size() > 1 ? Words[1] : "current";
  const auto Old = readNamed(Context, Words.size() > 1 ? Words[0] : "current");
  const auto New = readNamed(Context, Words.size() > 1 ? After : Words[0]);
  if (!Old)
    return reportError(Context, Old.error());
  if (!New)
    return reportError(Context, New.error());
  const json Changes = json::diff(Old.value(), New.value());
  if (Context.Settings_.Json_) {
    printJson(Context, Changes);
    return CtlExit::Success;
  }
  json Current = Old.value();
  for (const json &Change : Changes) {
    Context.Out_ << makePrintable(showChange(Change, Current)) << "\n";
    // Each change counts from what the one before it left.
    Current = Current.patch(json::array({Change}));
  }
  if (Changes.empty())
    Context.Out_ << "no difference but for comments and spaces\n";
  return CtlExit::Success;
}
