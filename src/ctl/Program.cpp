//===- Program.cpp - tulipweirctl, the operators' command line ------------===//

#include "tulipweir/ctl/Program.h"
#include "Commands.h"
#include "tulipweir/ctl/HttpOperatorApi.h"
#include "tulipweir/ctl/Table.h"
#include "tulipweir/net/Options.h"
#include "tulipweir/net/Process.h"

#include <cstddef>
#include <iostream>
#include <string_view>

using namespace tulipweir;
using namespace tulipweir::ctl;

namespace {

struct CommandEntry {
  std::string_view Group_; ///< The first word.
  std::string_view Name_;  ///< The second word; empty if there is none.
  std::string_view Arguments_;
  std::string_view Help_;
  std::size_t Least_; ///< Arguments.
  std::size_t Most_;
  CtlExit (*Run_)(CtlContext &, const Arguments &);
};

} // namespace

static constexpr CommandEntry Commands[] = {
    {"keygen", "", "FILE", "makes a key; the secret goes to a new FILE", 1, 1,
     makeKeyFile},
    {"bundle", "check", "FILE", "shows all problems; asks nobody", 1, 1,
     checkBundleFile},
    {"bundle", "propose", "FILE", "checks, signs and proposes", 1, 1,
     proposeBundle},
    {"bundle", "sign", "FILE|DIGEST", "adds your sign-off to a proposal", 1, 1,
     signBundle},
    {"bundle", "status", "", "the version at every process", 0, 0,
     showBundleStatus},
    {"bundle", "history", "", "accepted bundles and waiting proposals", 0, 0,
     showBundleHistory},
    {"bundle", "show", "VERSION", "the text of an accepted bundle", 1, 1,
     showBundleVersion},
    {"bundle", "current", "", "the text, version and digest in force", 0, 0,
     showCurrentBundle},
    {"bundle", "diff", "[BEFORE] AFTER",
     "fields that differ; each a version, 'current' or a file", 1, 2,
     showBundleDiff},
    {"job", "submit", "FILE", "submits a batch job", 1, 1, submitJob},
    {"job", "list", "", "batch jobs", 0, 0, listJobs},
    {"job", "show", "JOB", "one job and its tasks", 1, 1, showJob},
    {"job", "cancel", "JOB", "stops a job", 1, 1, cancelJob},
    {"job", "explain", "JOB[/TASK]", "why a task waits or runs where it does",
     1, 2, explainTask},
    {"explain", "", "--log FILE... JOB",
     "what the logs of all processes say of a job, in order of time", 2, 4096,
     explainFromLogs},
    {"servers", "", "", "backend servers of the data centre", 0, 0,
     showServers},
    {"services", "", "", "services and their targets", 0, 0, showServices},
    {"limits", "", "", "caller limits and team quotas in force", 0, 0,
     showLimits},
    {"members", "list", "", "members of the replication groups", 0, 0,
     listMembers},
    {"members", "add", "GROUP NAME [INCARNATION]", "adds a learner", 2, 3,
     addMember},
    {"members", "promote", "GROUP NAME [INCARNATION]",
     "makes a learner a voter", 2, 3, promoteMember},
    {"members", "remove", "GROUP NAME [INCARNATION]", "takes a member out", 2,
     3, removeMember},
    {"members", "replace", "GROUP NAME [INCARNATION]",
     "a VM with a new disk takes the place of its former self", 2, 3,
     replaceMember},
    {"watch", "", "", "decisions while they happen", 0, 0, watchDecisions},
    {"dump", "", "", "the leader's whole state as JSON", 0, 0, showDump},
};

static std::string showUsage(const CommandEntry &Entry) {
  std::string Usage(Entry.Group_);
  if (!Entry.Name_.empty())
    Usage += " " + std::string(Entry.Name_);
  if (!Entry.Arguments_.empty())
    Usage += " " + std::string(Entry.Arguments_);
  return Usage;
}

std::string ctl::describeCommands() {
  std::string Text = "COMMAND\n\nCommands:\n";
  for (const CommandEntry &Entry : Commands)
    Text +=
        "  " + showUsage(Entry) + "\n      " + std::string(Entry.Help_) + "\n";
  return Text +
         "\nExit codes: 0 it holds, now or already before; 1 refused, or what\n"
         "was checked has problems; 2 bad flags or arguments, nothing was\n"
         "sent; 6 somebody else's change came first; 7 no answer, or nobody\n"
         "can decide (running it again is safe); 8 not found.\n\nFlags:";
}

/// 'members' alone lists them.
static const CommandEntry *findCommand(const Arguments &Words) {
  for (const CommandEntry &Entry : Commands) {
    if (Words.empty() || Entry.Group_ != Words[0])
      continue;
    const bool IsAlone = Words.size() == 1 && Entry.Name_ == "list";
    if (Entry.Name_.empty() || IsAlone ||
        (Words.size() > 1 && Entry.Name_ == Words[1]))
      return &Entry;
  }
  return nullptr;
}

CtlExit ctl::runCommand(CtlContext &Context, const Arguments &Words) {
  const CommandEntry *Entry = findCommand(Words);
  if (!Entry) {
    Context.Err_ << "tulipweirctl: "
                 << (Words.empty()
                         ? "no command is given"
                         : "there is no such command: \"" +
                               makePrintable(Words[0]) +
                               (Words.size() > 1 ? " " + makePrintable(Words[1])
                                                 : "") +
                               "\"")
                 << "; --help shows all\n";
    return CtlExit::BadUsage;
  }
  const std::size_t Skipped =
      std::min<std::size_t>(Words.size(), Entry->Name_.empty() ? 1 : 2);
  const Arguments Rest(Words.begin() + static_cast<std::ptrdiff_t>(Skipped),
                       Words.end());
  if (Rest.size() < Entry->Least_ || Rest.size() > Entry->Most_) {
    Context.Err_ << "usage: tulipweirctl [flags] " << showUsage(*Entry) << "\n";
    return CtlExit::BadUsage;
  }
  return Entry->Run_(Context, Rest);
}

int ctl::runCtl(int ArgC, const char *const *ArgV) {
  CtlSettings Settings;
  std::vector<std::string> Words;
  net::Options Options("tulipweirctl", "the operators' command line");
  addCtlOptions(Options, Settings);
  Options.allowWords(Words, describeCommands());
  const auto Parsed = Options.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Parsed.Exit_)
    return net::leaveAfterOptions(Parsed);
  const SystemClock Time;
  ApiSettings Api;
  Api.Entries_ = Settings.Entries_;
  Api.Timeout_ = Settings.Timeout_;
  HttpOperatorApi Entries(Api, Time);
  CtlContext Context{Settings, Entries, Time, std::cout, std::cerr};
  return static_cast<int>(runCommand(Context, Words));
}
