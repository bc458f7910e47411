//===- Answers.cpp - Reading and showing the API's answers ----------------===//

#include "Answers.h"
#include "tulipweir/ctl/Table.h"

#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::ctl;

namespace {
struct StatusHint {
  unsigned Status_;
  CtlExit Exit_;
  const char *Next_;
};
} // namespace

static constexpr const char *RunAgain =
    "next: run the same command again; what was taken is not taken twice";

static constexpr StatusHint Hints[] = {
    {404, CtlExit::NotFound, ""},
    {409, CtlExit::Conflict, ""},
    {502, CtlExit::Unreachable, RunAgain},
    {503, CtlExit::Unreachable, RunAgain},
    {504, CtlExit::Unreachable, RunAgain},
};

Outcome<Answer> ctl::ask(CtlContext &Context, const ApiRequest &Request) {
  auto Got = Context.Api_.call(Request);
  if (!Got)
    return std::move(Got).as_failure();
  Answer Read;
  Read.Status_ = Got.value().Status_;
  Read.Body_ = json::parse(Got.value().Body_, nullptr, false);
  if (Read.Body_.is_discarded())
    return fail(ErrorCode::Malformed,
                "the answer with status " + std::to_string(Read.Status_) +
                    " is not JSON; is --entry the port of a tulipweir-entry?");
  return Read;
}

CtlExit ctl::reportError(CtlContext &Context, const Answer &Refused) {
  if (Context.Settings_.Json_)
    printJson(Context, Refused.Body_);
  const std::string Name = readText(Refused.Body_, "error");
  const std::string Message = readText(Refused.Body_, "message");
  Context.Err_ << "tulipweirctl: " << (Name.empty() ? "refused" : Name) << ": "
               << (Message.empty() ? "status " + std::to_string(Refused.Status_)
                                   : Message)
               << "\n";
  for (const StatusHint &Hint : Hints) {
    if (Hint.Status_ != Refused.Status_)
      continue;
    if (*Hint.Next_)
      Context.Err_ << Hint.Next_ << "\n";
    return Hint.Exit_;
  }
  return CtlExit::Failure;
}

CtlExit ctl::reportError(CtlContext &Context, const Error &Problem) {
  Context.Err_ << "tulipweirctl: " << getErrorName(Problem.Code_) << ": "
               << Problem.Message_ << "\n";
  if (Problem.Code_ != ErrorCode::Unavailable &&
      Problem.Code_ != ErrorCode::Timeout)
    return CtlExit::Failure;
  Context.Err_ << "next: check --entry, or run the same command again; what "
                  "was taken is not taken twice\n";
  return CtlExit::Unreachable;
}

std::string ctl::renderJson(const json &Document) {
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

void ctl::printJson(CtlContext &Context, const json &Document) {
  Context.Out_ << renderJson(Document) << "\n";
}

CtlExit ctl::askAndShow(CtlContext &Context, const ApiRequest &Request,
                        void (*Show)(CtlContext &, const json &)) {
  const auto Got = ask(Context, Request);
  if (!Got)
    return reportError(Context, Got.error());
  if (!Got.value().isGood())
    return reportError(Context, Got.value());
  if (Context.Settings_.Json_)
    printJson(Context, Got.value().Body_);
  else
    Show(Context, Got.value().Body_);
  return CtlExit::Success;
}

std::string ctl::showValue(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_null())
    return "";
  if (!Value.is_array())
    return renderJson(Value);
  std::string Text;
  for (const json &Entry : Value)
    Text += (Text.empty() ? "" : ",") + showValue(Entry);
  return Text;
}

std::string ctl::showField(const json &Object, const std::string &Pointer) {
  const json::json_pointer Place(Pointer);
  const std::string Text =
      Object.contains(Place) ? showValue(Object[Place]) : "";
  return Text.empty() ? "-" : Text;
}

std::uint64_t ctl::readNumber(const json &Object, const std::string &Name,
                              std::uint64_t Otherwise) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_number_unsigned())
    return Otherwise;
  return Object[Name].get<std::uint64_t>();
}

std::string ctl::readText(const json &Object, const std::string &Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return "";
  return Object[Name].get<std::string>();
}

bool ctl::readFlag(const json &Object, const std::string &Name) {
  return Object.is_object() && Object.contains(Name) &&
         Object[Name].is_boolean() && Object[Name].get<bool>();
}

const json &ctl::findList(const json &Document, const std::string &Name) {
  static const json Empty = json::array();
  if (!Document.is_object() || !Document.contains(Name) ||
      !Document[Name].is_array())
    return Empty;
  return Document[Name];
}

void ctl::printTable(CtlContext &Context, const json &List,
                     const std::vector<Column> &Columns,
                     const std::string &Empty) {
  std::vector<std::string> Titles;
  Titles.reserve(Columns.size());
  for (const Column &One : Columns)
    Titles.emplace_back(One.Title_);
  Table Rows(std::move(Titles));
  for (const json &Entry : List) {
    std::vector<std::string> Cells;
    Cells.reserve(Columns.size());
    for (const Column &One : Columns)
      Cells.push_back(showField(Entry, One.Pointer_));
    Rows.addRow(std::move(Cells));
  }
  Context.Out_ << (Rows.isEmpty() ? Empty + "\n" : Rows.render());
}

std::string ctl::showWallTime(std::uint64_t WallMs) {
  static constexpr std::uint64_t MillisPerSecond = 1000;
  const auto Seconds = static_cast<std::time_t>(WallMs / MillisPerSecond);
  std::tm Parts{};
  if (!gmtime_r(&Seconds, &Parts))
    return "-";
  char Text[32];
  const std::size_t Size =
      std::strftime(Text, sizeof(Text), "%Y-%m-%d %H:%M:%S", &Parts);
  return std::string(Text, Size);
}

Outcome<std::string> ctl::readFile(const std::string &Name) {
  const auto ReadAll = [](std::istream &In) {
    return std::string(std::istreambuf_iterator<char>(In), {});
  };
  if (Name == "-")
    return ReadAll(std::cin);
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return fail(ErrorCode::NotFound, "cannot read the file '" + Name + "'");
  return ReadAll(In);
}
