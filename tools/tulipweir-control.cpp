//===- tulipweir-control.cpp - The control process ------------------------===//
//
// Holds the replicated logs of a data centre and of the fleet. Exit codes are
// those of net::ExitCode: 0 after a planned stop, 2 for wrong settings, 3 for
// an address that is taken, 4 for a data folder that cannot be used, 5 when a
// planned stop had to cut something off.
//
//===----------------------------------------------------------------------===//

#include "tulipweir/control/ControlProcess.h"

#include "tulipweir/net/Process.h"

#include <spdlog/spdlog.h>

#include <future>
#include <iostream>

using namespace tulipweir;

static int leave(net::ExitCode Code) { return static_cast<int>(Code); }

int main(int ArgC, char **ArgV) {
  control::ControlSettings Settings;
  net::Options Flags("tulipweir-control",
                     "Replicated logs, leases, placement and bundles");
  control::addControlOptions(Flags, Settings);
  const net::OptionsResult Parsed =
      Flags.parse(ArgC, ArgV, net::getProcessEnvironment());
  if (Parsed.Exit_)
    return net::leaveAfterOptions(Parsed);
  net::startLogging("tulipweir-control", Settings.Log_);

  const SystemClock Time;
  control::ControlProcess Process(Settings, Time);
  std::promise<void> StopAsked;
  const net::Signals Watching(
      Process.context(), [&StopAsked] { StopAsked.set_value(); },
      [&Process] { Process.abortStop(); },
      [&Process] { std::cerr << Process.makeStateDump() << std::endl; });
  const control::ControlProcess::StartResult Started = Process.start();
  if (Started.Code_ != net::ExitCode::Success) {
    spdlog::error("cannot start: {}", Started.Message_);
    return leave(Started.Code_);
  }
  StopAsked.get_future().wait();
  return leave(Process.stop());
}
