//===- tulipweir-standin.cpp - Backend servers for tests --------*- C++ -*-===//
//
// One process that speaks for many backend servers.
//
//===----------------------------------------------------------------------===//

#include "standin/StandInProgram.h"

using namespace tulipweir;

int main(int ArgC, char **ArgV) {
  standin::StandInSettings Settings;
  net::Options Options("tulipweir-standin",
                       "Backend servers for tests: announces them, serves "
                       "requests, runs tasks, goes wrong on request.");
  standin::addStandInOptions(Options, Settings);
  const net::OptionsResult Result =
      Options.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Result.Exit_)
    return net::leaveAfterOptions(Result);
  net::startLogging("tulipweir-standin", Settings.Log_);
  return static_cast<int>(standin::runStandIn(Settings));
}
