//===- StandInProgram.h - The process around stand-in servers --*- C++ -*-===//
//
// Starts the servers and the admin API, ticks them, and stops them as planned.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_STANDINPROGRAM_H
#define TULIPWEIR_TOOLS_STANDIN_STANDINPROGRAM_H

#include "standin/StandInSettings.h"

namespace tulipweir::standin {

/// Runs until a planned stop has ended.
net::ExitCode runStandIn(const StandInSettings &Settings);

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_STANDINPROGRAM_H
