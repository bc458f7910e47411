//===- tulipweir-standin.cpp - Backend servers for tests --------*- C++ -*-===//
//
// One process that speaks for many backend servers.
//
//===----------------------------------------------------------------------===//

#include "standin/StandInProgram.h"

#include <cstdio>

using namespace tulipweir;

int main(int ArgC, char **ArgV) {
  standin::StandInSettings Settings;
  net::Options Options("tulipweir-standin",
                       "Backend servers for tests: announces them, serves "
                       "requests, runs tasks, goes wrong on request.");
  standin::addStandInOptions(Options, Settings);
  net::OptionsResult Result =
      Options.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Result.Exit_) {
    bool Good = *Result.Exit_ == net::ExitCode::Success;
    std::fputs(Result.Text_.c_str(), Good ? stdout : stderr);
    return static_cast<int>(*Result.Exit_);
  }
  net::startLogging("tulipweir-standin", Settings.Log_);
  return static_cast<int>(standin::runStandIn(Settings));
}
