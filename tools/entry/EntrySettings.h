//===- EntrySettings.h - What an entry process is told ---------*- C++ -*-===//
//
// Settings of tulipweir-entry by flag and environment.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_ENTRY_ENTRYSETTINGS_H
#define TULIPWEIR_TOOLS_ENTRY_ENTRYSETTINGS_H

#include "tulipweir/entry/AnnouncementBatcher.h"
#include "tulipweir/net/HttpServer.h"
#include "tulipweir/net/Options.h"
#include "tulipweir/net/Process.h"

#include <string>
#include <vector>

namespace tulipweir::entry {

struct EntrySettings {
  std::string Name_;
  std::string DataCentre_;
  net::Endpoint Listen_{"127.0.0.1", 0};
  std::string Advertise_; ///< Empty: where it listens.
  std::vector<net::NamedEndpoint> Controls_;
  /// Control processes of other data centres, named "data centre/name".
  std::vector<net::NamedEndpoint> OtherControls_;
  std::string Secret_;
  Duration ReportPeriod_ = std::chrono::milliseconds(500);
  BatcherSettings Batching_;
  Duration MaxRequest_ = std::chrono::seconds(60);
  Duration StopDelay_ = std::chrono::milliseconds(500);
  Duration Grace_ = std::chrono::seconds(60);
  std::int64_t MaxConnections_ = 10'000;
  std::int64_t MaxBodyBytes_ = 8LL * 1024 * 1024;
  std::int64_t MaxHeaderBytes_ = 16LL * 1024;
  Duration ReadTimeout_ = std::chrono::seconds(10);
  std::int64_t Threads_ = 4;
  net::LogSettings Log_;
};

void addEntryOptions(net::Options &To, EntrySettings &Target);
net::HttpServerSettings makeServerSettings(const EntrySettings &From);

} // namespace tulipweir::entry

#endif // TULIPWEIR_TOOLS_ENTRY_ENTRYSETTINGS_H
