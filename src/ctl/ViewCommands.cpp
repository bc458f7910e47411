//===- ViewCommands.cpp - Servers, services, limits, dump -----------------===//

#include "Commands.h"

#include <ostream>

using namespace tulipweir;
using namespace tulipweir::ctl;

static void printServers(CtlContext &Context, const json &Document) {
  printTable(Context, findList(Document, "servers"),
             {{"SERVER", "/server"},
              {"RACK", "/rack"},
              {"ADDRESS", "/address"},
              {"STATE", "/state"},
              {"CPUS (m)", "/capacity/milliCpus"},
              {"RESERVED", "/reserved/milliCpus"},
              {"MEMORY (MiB)", "/capacity/memoryMib"},
              {"RESERVED", "/reserved/memoryMib"},
              {"ACCEL", "/capacity/accelerators"},
              {"RESERVED", "/reserved/accelerators"},
              {"TASKS", "/tasks"},
              {"SLOTS", "/slots"},
              {"SERVICES", "/services"}},
             "no backend server has announced itself");
}

CtlExit ctl::showServers(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/servers", "", "", {}}, printServers);
}

static void printServices(CtlContext &Context, const json &Document) {
  printTable(Context, findList(Document, "services"),
             {{"SERVICE", "/service"},
              {"SERVERS", "/servers"},
              {"SLOTS", "/slots"},
              {"REQUESTS", "/requests"},
              {"MOST LOAD %", "/mostLoadPercent"},
              {"TARGET P99 MS", "/targetP99Ms"},
              {"WORST P99 US", "/worstP99Micros"},
              {"DEADLINE MS", "/defaultDeadlineMs"},
              {"QUEUE", "/queueLimit"},
              {"HEDGING", "/hedgingAllowed"}},
             "the bundle in force names no service");
}

CtlExit ctl::showServices(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/services", "", "", {}}, printServices);
}

static void printLimits(CtlContext &Context, const json &Document) {
  Context.Out_ << "bundle version " << showField(Document, "/version")
               << ", retry budget " << showField(Document, "/retryBudget")
               << "\n\n";
  printTable(Context, findList(Document, "callers"),
             {{"CALLER", "/caller"},
              {"REQUESTS/S", "/requestsPerSecond"},
              {"BURST", "/burst"}},
             "no caller limits");
  Context.Out_ << "\n";
  printTable(Context, findList(Document, "quotas"),
             {{"TEAM", "/team"},
              {"CPUS (m)", "/limit/milliCpus"},
              {"MEMORY (MiB)", "/limit/memoryMib"},
              {"ACCELERATORS", "/limit/accelerators"}},
             "no team quotas");
}

CtlExit ctl::showLimits(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/limits", "", "", {}}, printLimits);
}

static void printDump(CtlContext &Context, const json &Document) {
  static constexpr int Indent = 2;
  Context.Out_ << Document.dump(Indent, ' ', false,
                                json::error_handler_t::replace)
               << "\n";
}

CtlExit ctl::showDump(CtlContext &Context, const Arguments &) {
  return askAndShow(Context, {"GET", "/dump", "", "", {}}, printDump);
}
