//===- tulipweir-entry.cpp - Callers' way in --------------------*- C++ -*-===//
//
// Serves callers, backend servers and operators over HTTP, and routes by what
// its data centre's control processes grant.
//
//===----------------------------------------------------------------------===//

#include "entry/EntryProgram.h"

using namespace tulipweir;

int main(int ArgC, char **ArgV) {
  entry::EntrySettings Settings;
  net::Options Options("tulipweir-entry",
                       "Takes callers' requests to backend servers, passes "
                       "announcements and operators' calls to the leader.");
  entry::addEntryOptions(Options, Settings);
  const net::OptionsResult Result =
      Options.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Result.Exit_)
    return net::leaveAfterOptions(Result);
  net::startLogging("tulipweir-entry", Settings.Log_);
  return static_cast<int>(entry::runEntry(Settings));
}
