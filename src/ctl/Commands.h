//===- Commands.h - The commands of tulipweirctl ---------------*- C++ -*-===//
//
// One function for each command; Program.cpp has the table of their names.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CTL_COMMANDS_H
#define TULIPWEIR_SRC_CTL_COMMANDS_H

#include "Answers.h"

namespace tulipweir::ctl {

// BundleCommands.cpp
CtlExit checkBundleFile(CtlContext &Context, const Arguments &Words);
CtlExit proposeBundle(CtlContext &Context, const Arguments &Words);
CtlExit signBundle(CtlContext &Context, const Arguments &Words);

// BundleViews.cpp
CtlExit showBundleStatus(CtlContext &Context, const Arguments &Words);
CtlExit showBundleHistory(CtlContext &Context, const Arguments &Words);
CtlExit showBundleVersion(CtlContext &Context, const Arguments &Words);
CtlExit showCurrentBundle(CtlContext &Context, const Arguments &Words);
CtlExit showBundleDiff(CtlContext &Context, const Arguments &Words);

// KeyCommands.cpp
CtlExit makeKeyFile(CtlContext &Context, const Arguments &Words);

// JobCommands.cpp
CtlExit submitJob(CtlContext &Context, const Arguments &Words);
CtlExit listJobs(CtlContext &Context, const Arguments &Words);
CtlExit showJob(CtlContext &Context, const Arguments &Words);
CtlExit cancelJob(CtlContext &Context, const Arguments &Words);
CtlExit explainTask(CtlContext &Context, const Arguments &Words);

// ExplainCommand.cpp
CtlExit explainFromLogs(CtlContext &Context, const Arguments &Words);

// ViewCommands.cpp
CtlExit showServers(CtlContext &Context, const Arguments &Words);
CtlExit showServices(CtlContext &Context, const Arguments &Words);
CtlExit showLimits(CtlContext &Context, const Arguments &Words);
CtlExit showDump(CtlContext &Context, const Arguments &Words);

// MemberCommands.cpp
CtlExit listMembers(CtlContext &Context, const Arguments &Words);
CtlExit addMember(CtlContext &Context, const Arguments &Words);
CtlExit promoteMember(CtlContext &Context, const Arguments &Words);
CtlExit removeMember(CtlContext &Context, const Arguments &Words);
CtlExit replaceMember(CtlContext &Context, const Arguments &Words);

// WatchCommand.cpp
CtlExit watchDecisions(CtlContext &Context, const Arguments &Words);

} // namespace tulipweir::ctl

#endif // TULIPWEIR_SRC_CTL_COMMANDS_H
