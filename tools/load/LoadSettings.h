//===- LoadSettings.h - What the load program is told ----------*- C++ -*-===//
//
// Settings of tulipweir-load by flag and environment.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_LOAD_LOADSETTINGS_H
#define TULIPWEIR_TOOLS_LOAD_LOADSETTINGS_H

#include "tulipweir/net/Options.h"
#include "tulipweir/net/Process.h"

#include <string>
#include <vector>

namespace tulipweir::load {

struct LoadSettings {
  std::string Targets_; ///< Comma-separated "ip:port", used round robin.
  bool Direct_ = false; ///< The targets are stand-ins, not entries.
  std::string Service_ = "booking";
  std::string Path_ = "load";
  std::string Query_; ///< Passed on as it is.
  std::string Method_ = "GET";
  std::int64_t BodyBytes_ = 0;
  std::string Caller_;
  Duration Deadline_ = std::chrono::seconds(2);
  std::string KeyMode_ = "none"; ///< none, own or ticket.
  std::int64_t Resends_ = 0;     ///< Of a request whose outcome is unknown.
  std::int64_t RatePerSecond_ = 100;
  std::string Arrivals_ = "poisson";
  Duration Warmup_ = std::chrono::seconds(0);
  Duration Length_ = std::chrono::seconds(10);
  std::int64_t Seed_ = 1;
  std::int64_t Threads_ = 2;
  std::int64_t Connections_ = 4'096;
  std::string RequestLog_; ///< A JSON line for each request; none if empty.
  net::LogSettings Log_;
};

void addLoadOptions(net::Options &To, LoadSettings &Target);
/// The targets that checked settings name.
std::vector<net::Endpoint> readTargets(const LoadSettings &From);

} // namespace tulipweir::load

#endif // TULIPWEIR_TOOLS_LOAD_LOADSETTINGS_H
