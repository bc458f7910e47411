//===- JobCommands.cpp - Batch jobs ---------------------------------------===//

#include "Commands.h"
#include "tulipweir/ctl/Table.h"

#include <ostream>

using namespace tulipweir;
using namespace tulipweir::ctl;

static std::string makeJobPath(const std::string &Job) {
  return "/jobs/" + escapeStep(Job);
}

CtlExit ctl::submitJob(CtlContext &Context, const Arguments &Words) {
  const auto Text = readFile(Words.front());
  if (!Text)
    return reportError(Context, Text.error());
  const json Spec = json::parse(Text.value(), nullptr, false, true);
  if (!Spec.is_object()) {
    Context.Err_ << Words.front()
                 << ": is no JSON object; examples/rebill.job.json is a job\n";
    return CtlExit::Failure;
  }
  const auto Got = ask(Context, {"POST", "/jobs", "", renderJson(Spec), {}});
  if (!Got)
    return reportError(Context, Got.error());
  const Answer &Submitted = Got.value();
  // The answer of an earlier try was lost.
  const bool Known = readText(Submitted.Body_, "error") == "already_exists";
  if (!Submitted.isGood() && !Known)
    return reportError(Context, Submitted);
  if (Context.Settings_.Json_)
    printJson(Context, Submitted.Body_);
  else
    Context.Out_ << "job " << makePrintable(readText(Spec, "job"))
                 << (Known ? ": submitted before, unchanged\n"
                           : ": submitted; 'job show' follows it\n");
  for (const json &Warning : findList(Submitted.Body_, "warnings"))
    Context.Err_ << "warning: " << makePrintable(showValue(Warning)) << "\n";
  return CtlExit::Success;
}

static void printJobs(CtlContext &Context, const json &Document) {
  printTable(Context, findList(Document, "jobs"),
             {{"JOB", "/job"},
              {"TEAM", "/team"},
              {"STATE", "/state"},
              {"DATA CENTRE", "/dataCentre"},
              {"PRIORITY", "/priority"},
              {"TASKS", "/tasks"},
              {"WAITING", "/progress/waiting"},
              {"RUNNING", "/progress/running"},
              {"FINISHED", "/progress/finished"},
              {"FAILED", "/progress/failed"},
              {"MESSAGE", "/message"}},
             "no jobs");
}

CtlExit ctl::listJobs(CtlContext &Context, const Arguments &) {
  const std::string Query = "limit=" + std::to_string(Context.Settings_.Limit_);
  return askAndShow(Context, {"GET", "/jobs", Query, "", {}}, printJobs);
}

/// Times in UTC, "-" if it was not noted; everything else as it is.
static std::string showJobField(const std::string &Name, const json &Value) {
  if (Name.ends_with("WallMs") && Value.is_number_unsigned())
    return Value == 0 ? "-" : showWallTime(Value.get<std::uint64_t>());
  const std::string Shown = showValue(Value);
  return Shown.empty() ? "-" : Shown;
}

/// Every field that is no list, one a line, those of objects with their name
/// before them; then the tasks.
static void printJob(CtlContext &Context, const json &Job) {
  Table Fields({"FIELD", "VALUE"});
  for (const auto &Field : Job.items()) {
    const json &Value = Field.value();
    if (Value.is_object())
      for (const auto &Inner : Value.items())
        Fields.addRow({Field.key() + "." + Inner.key(),
                       showJobField(Inner.key(), Inner.value())});
    else if (!Value.is_array())
      Fields.addRow({Field.key(), showJobField(Field.key(), Value)});
  }
  Context.Out_ << Fields.render();
  const char *ListName = Job.contains("taskList") ? "taskList" : "tasks";
  const json &Tasks = findList(Job, ListName);
  if (Tasks.empty())
    return;
  Context.Out_ << "\n";
  printTable(Context, Tasks,
             {{"TASK", "/index"},
              {"STATE", "/state"},
              {"ATTEMPT", "/attempt"},
              {"SERVER", "/server"},
              {"FAILURES", "/failures"},
              {"EVICTIONS", "/evictions"},
              {"LOSSES", "/losses"},
              {"MESSAGE", "/message"}},
             "no tasks");
}

CtlExit ctl::showJob(CtlContext &Context, const Arguments &Words) {
  return askAndShow(Context, {"GET", makeJobPath(Words.front()), "", "", {}},
                    printJob);
}

CtlExit ctl::cancelJob(CtlContext &Context, const Arguments &Words) {
  const auto Got = ask(
      Context, {"POST", makeJobPath(Words.front()) + "/cancel", "", "{}", {}});
  if (!Got)
    return reportError(Context, Got.error());
  const Answer &Cancelled = Got.value();
  const bool Known = readText(Cancelled.Body_, "error") == "already_exists";
  if (!Cancelled.isGood() && !Known)
    return reportError(Context, Cancelled);
  if (Context.Settings_.Json_)
    printJson(Context, Cancelled.Body_);
  else
    Context.Out_ << "job " << makePrintable(Words.front()) << ": "
                 << (Known ? readText(Cancelled.Body_, "message")
                           : "is being cancelled")
                 << "\n";
  return CtlExit::Success;
}

static void printCandidates(CtlContext &Context, const json &Decision) {
  const json &Candidates = findList(Decision, "candidates");
  if (Candidates.empty())
    return;
  Context.Out_ << "\n";
  printTable(Context, Candidates,
             {{"CANDIDATE", "/server"},
              {"ALLOWED", "/allowed"},
              {"SCORE", "/score"},
              {"NOTE", "/note"}},
             "");
}

static void printExplanation(CtlContext &Context, const json &Value) {
  const bool Running = readFlag(Value, "running");
  Context.Out_ << "task " << showField(Value, "/job") << "/"
               << showField(Value, "/task") << " "
               << (Running ? "runs on " + showField(Value, "/server")
                           : std::string("does not run"))
               << "\n";
  if (Value.contains("last"))
    Context.Out_ << "last decision: " << showField(Value, "/last/kind") << " ("
                 << showField(Value, "/last/reason")
                 << "): " << makePrintable(showField(Value, "/last/text"))
                 << "\n";
  if (!Running)
    Context.Out_ << "what would help: "
                 << makePrintable(showField(Value, "/whatWouldHelp")) << "\n";
  if (Value.contains("last"))
    printCandidates(Context, Value["last"]);
}

/// JOB, JOB/TASK or JOB TASK.
CtlExit ctl::explainTask(CtlContext &Context, const Arguments &Words) {
  std::string Job = Words.front();
  std::string Task = Words.size() > 1 ? Words[1] : "0";
  const std::size_t Slash = Job.find('/');
  if (Words.size() == 1 && Slash != std::string::npos) {
    Task = Job.substr(Slash + 1);
    Job.resize(Slash);
  }
  return askAndShow(Context,
                    {"GET",
                     makeJobPath(Job) + "/explain",
                     "task=" + escapeStep(Task),
                     "",
                     {}},
                    printExplanation);
}
