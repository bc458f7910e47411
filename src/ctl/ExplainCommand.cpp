//===- ExplainCommand.cpp - What the logs of all processes say of a job ---===//

#include "Commands.h"
#include "tulipweir/ctl/Table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <set>
#include <sstream>

using namespace tulipweir;
using namespace tulipweir::ctl;
using Json = nlohmann::json;

namespace {

/// One line of a log.
struct LogLine {
  double Time_ = 0; ///< Seconds since 1970.
  Json Fields_;
};

} // namespace

static std::string textOf(const Json &Fields, const char *Name) {
  const auto Found = Fields.find(Name);
  if (Found == Fields.end())
    return "";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

/// Lines that are no JSON object are left out; something may stand before it.
static Outcome<std::vector<LogLine>> readLog(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return fail(ErrorCode::NotFound, "cannot read " + Path);
  std::vector<LogLine> Lines;
  for (std::string Text; std::getline(File, Text);) {
    const std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos)
      continue;
    Json Fields = Json::parse(Text.substr(Begin), nullptr, false);
    const bool IsEvent = Fields.is_object() && Fields.contains("event") &&
                         Fields.contains("time") && Fields["time"].is_number();
    if (IsEvent)
      Lines.push_back({Fields["time"].get<double>(), std::move(Fields)});
  }
  return Lines;
}

/// What befell the servers that the job ran on, and who decided, belongs to it.
static bool isAbout(const Json &Fields, const std::string &Job,
                    const std::set<std::string> &Servers) {
  if (textOf(Fields, "job") == Job)
    return true;
  const std::string Event = textOf(Fields, "event");
  if (Event == "leadership_begun" || Event == "leadership_ended" ||
      Event == "storage_trouble" || Event == "members_changed")
    return true;
  const bool IsOfServer =
      Event == "server_gone" || Event == "server_draining" ||
      Event == "server_quarantined" || Event == "server_returned";
  return IsOfServer && Servers.count(textOf(Fields, "server")) != 0;
}

static std::string describe(const Json &Fields) {
  std::string Text = textOf(Fields, "event");
  for (const char *Name :
       {"task", "attempt", "server", "outcome", "reason", "age_ms", "count"})
    if (const std::string Value = textOf(Fields, Name); !Value.empty())
      Text += std::string("  ") + Name + "=" + Value;
  return makePrintable(Text);
}

CtlExit ctl::explainFromLogs(CtlContext &Context, const Arguments &Words) {
  if (!Context.Settings_.FromLogs_) {
    Context.Err_ << "tulipweirctl: explain reads collected logs: explain --log "
                    "FILE... JOB; for a running system see job explain\n";
    return CtlExit::BadUsage;
  }
  const std::string &Job = Words.back();
  std::vector<LogLine> Lines;
  for (auto File = Words.begin(); File + 1 != Words.end(); ++File) {
    auto Read = readLog(*File);
    if (!Read) {
      Context.Err_ << "tulipweirctl: " << Read.error().Message_ << "\n";
      return CtlExit::BadUsage;
    }
    Lines.insert(Lines.end(), Read.value().begin(), Read.value().end());
  }
  std::stable_sort(Lines.begin(), Lines.end(),
                   [](const LogLine &Left, const LogLine &Right) {
                     return Left.Time_ < Right.Time_;
                   });
  std::set<std::string> Servers;
  double First = 0;
  double Last = 0;
  for (const LogLine &Each : Lines) {
    if (textOf(Each.Fields_, "job") != Job)
      continue;
    First = First == 0 ? Each.Time_ : First;
    Last = Each.Time_;
    Servers.insert(textOf(Each.Fields_, "server"));
  }
  if (First == 0) {
    Context.Err_ << "tulipweirctl: no line of these logs names job "
                 << makePrintable(Job) << "\n";
    return CtlExit::NotFound;
  }
  for (const LogLine &Each : Lines) {
    const bool IsWithin = Each.Time_ >= First && Each.Time_ <= Last;
    if (!IsWithin || !isAbout(Each.Fields_, Job, Servers))
      continue;
    if (Context.Settings_.Json_) {
      Context.Out_ << Each.Fields_.dump() << "\n";
      continue;
    }
    Context.Out_ << std::fixed << std::setprecision(3) << std::setw(10)
                 << Each.Time_ - First << " s  "
                 << makePrintable(textOf(Each.Fields_, "process")) << "  "
                 << describe(Each.Fields_) << "\n";
  }
  return CtlExit::Success;
}
