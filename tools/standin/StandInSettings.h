//===- StandInSettings.h - What the stand-in program is told ---*- C++ -*-===//
//
// Settings of tulipweir-standin by flag and environment, and the settings of
// each server that follow from them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_STANDINSETTINGS_H
#define TULIPWEIR_TOOLS_STANDIN_STANDINSETTINGS_H

#include "standin/StandInServer.h"

#include "tulipweir/net/Options.h"
#include "tulipweir/net/Process.h"

#include <string>
#include <vector>

namespace tulipweir::standin {

struct StandInSettings {
  std::string DataCentre_ = "dc1";
  std::string NamePrefix_;
  std::string Services_ = "booking";
  std::string Entries_; ///< Comma-separated "ip:port".
  std::string Listen_ = "127.0.0.1";
  std::int64_t BasePort_ = 0;
  std::int64_t Servers_ = 1;
  std::int64_t ServersPerRack_ = 8;
  std::int64_t MilliCpus_ = 32'000;
  std::int64_t MemoryMib_ = 128'000;
  std::int64_t Accelerators_ = 0;
  std::int64_t Slots_ = 8;
  std::int64_t Connections_ = 64;
  std::int64_t ServiceTimeUs_ = 2'000;
  std::string ServiceTimeKind_ = "exponential";
  Duration UsageLag_ = std::chrono::seconds(1);
  Duration CheckpointTime_ = std::chrono::milliseconds(50);
  Duration AnnounceTimeout_ = std::chrono::milliseconds(700);
  Duration DrainHold_ = std::chrono::seconds(3);
  Duration Grace_ = std::chrono::seconds(30);
  net::Endpoint Admin_{"127.0.0.1", 0};
  std::string Audit_;
  std::int64_t Seed_ = 1;
  std::int64_t Threads_ = 2;
  net::LogSettings Log_;
};

void addStandInOptions(net::Options &To, StandInSettings &Target);
/// Splits at commas; empty parts are dropped.
std::vector<std::string> splitList(const std::string &Text);
/// The settings of the server with that number, from 0.
StandInServerSettings makeServerSettings(const StandInSettings &From,
                                         std::size_t Number);

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_STANDINSETTINGS_H
