//===- tulipweir-load.cpp - An open-loop caller for tests -------*- C++ -*-===//
//
// Sends a load, prints one line of JSON. Exit code 0 when the run ended, 1 when
// an answer was not to its own request or not whole.
//
//===----------------------------------------------------------------------===//

#include "load/LoadRun.h"

#include <cstdio>

using namespace tulipweir;

int main(int ArgC, char **ArgV) {
  load::LoadSettings Settings;
  net::Options Options("tulipweir-load",
                       "An open-loop caller: latency from the intended time "
                       "of sending, outcomes counted, a JSON summary.");
  load::addLoadOptions(Options, Settings);
  const net::OptionsResult Result =
      Options.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Result.Exit_)
    return net::leaveAfterOptions(Result);
  net::startLogging("tulipweir-load", Settings.Log_);
  load::LoadRun Run(Settings);
  net::IoPool SignalPool(1);
  net::Signals Signals(
      SignalPool.context(), [&] { Run.stop(); }, [&] { Run.stop(); }, [] {});
  Run.run();
  std::printf("%s\n", Run.renderReport().c_str());
  return static_cast<int>(Run.hasWrongAnswers() ? net::ExitCode::Failure
                                                : net::ExitCode::Success);
}
