//===- AdminApi.h - Switching the stand-ins' faults ------------*- C++ -*-===//
//
// HTTP for tests:
//   GET  /admin/servers                          status of all
//   GET  /admin/servers/NAME/tasks               its inventory
//   POST /admin/servers/NAME/faults/FAULT?value=N   NAME may be "*"
//   POST /admin/servers/NAME/crash               it comes back as a new boot
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TOOLS_STANDIN_ADMINAPI_H
#define TULIPWEIR_TOOLS_STANDIN_ADMINAPI_H

#include "standin/StandInServer.h"

#include <memory>
#include <string>
#include <vector>

namespace tulipweir::standin {

/// Thread-safe: the servers are.
class AdminApi {
public:
  explicit AdminApi(std::vector<std::shared_ptr<StandInServer>> Servers)
      : Servers_(std::move(Servers)) {}

  net::HttpResponse handle(const net::HttpRequest &Request) const;
  /// JSON of all servers, for the dump.
  std::string dump() const;

private:
  net::HttpResponse handleServer(const net::HttpRequest &Request,
                                 const std::string &Name,
                                 const std::string &Action) const;

  std::vector<std::shared_ptr<StandInServer>> Servers_;
};

} // namespace tulipweir::standin

#endif // TULIPWEIR_TOOLS_STANDIN_ADMINAPI_H
