//===- Program.h - tulipweirctl, the operators' command line ---*- C++ -*-===//
//
// Finds the command that the words name, checks how many arguments it has, and
// runs it.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_CTL_PROGRAM_H
#define TULIPWEIR_CTL_PROGRAM_H

#include "tulipweir/ctl/CtlSettings.h"

#include <string>
#include <vector>

namespace tulipweir::ctl {

/// All commands with their arguments and the exit codes, for --help.
std::string describeCommands();

/// Runs one command.
CtlExit runCommand(CtlContext &Context, const std::vector<std::string> &Words);

/// The whole program: reads flags and environment, asks the entries, prints.
/// Returns the exit code.
int runCtl(int ArgC, const char *const *ArgV);

} // namespace tulipweir::ctl

#endif // TULIPWEIR_CTL_PROGRAM_H
