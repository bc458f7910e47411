//===- PlatformCluster.h - The platform's programs as processes -----------===//
//
// Three controls, two entries and stand-in workers on loopback addresses.
// Wired, all links between processes run through forwarders, one for each
// direction of each pair, so that a test can cut them.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_TESTS_PLATFORM_SYSTEM_PLATFORMCLUSTER_H
#define TULIPWEIR_TESTS_PLATFORM_SYSTEM_PLATFORMCLUSTER_H

#include "platform/system/Worker.h"
#include "system/support/Child.h"
#include "system/support/Forwarder.h"
#include "system/support/HttpCall.h"

#include <functional>
#include <map>
#include <memory>

namespace tulipweir::platform_test {

inline constexpr std::chrono::seconds Timeout{60};
inline constexpr const char *Host = "jobs.example";
inline constexpr int Controls = 3;
inline constexpr int Entries = 2;

class PlatformCluster {
public:
  using Json = nlohmann::json;
  enum class Links : std::uint8_t { Direct, Forwarded };

  explicit PlatformCluster(Links Mode);
  /// Ends what it started.
  ~PlatformCluster();
  PlatformCluster(const PlatformCluster &) = delete;
  PlatformCluster &operator=(const PlatformCluster &) = delete;

  // Processes, named "control0" and so on.

  system_test::Child &process(const std::string &Name) {
    return *Processes_.at(Name);
  }
  const std::map<std::string, std::unique_ptr<system_test::Child>> &
  processes() const {
    return Processes_;
  }
  /// Of a control that does not run: its disk is lost, as is its part in
  /// founding the group.
  void loseDisk(const std::string &Name);
  void printLogs() const;
  /// Calls Act for each forwarder from or to the process; all are wired.
  void
  forEachForwarder(const std::string &Name, bool From, bool To,
                   const std::function<void(system_test::Forwarder &)> &Act);

  // Calls. Tries each control until one answers for itself.

  system_test::HttpAnswer callControl(const std::string &Method,
                                      const std::string &Path,
                                      const std::string &Body = "");
  /// One call to one control, whatever it answers.
  system_test::HttpAnswer tryControl(int Control, const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body = "");
  system_test::HttpAnswer callEntry(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body = "",
                                    int Entry = 0);
  static Json makeConfiguration(std::uint64_t Version);
  /// Two steps of four tasks each.
  static Json makeJob(const std::string &Payload);
  /// The name of the control that leads; empty if none says so.
  std::string findLeader();

  // Workers.

  void addWorkers(int Count);
  std::unique_ptr<Worker> makeWorker(const std::string &Id,
                                     const std::string &Address = "");

  Audit Audit_;
  std::vector<std::unique_ptr<Worker>> Workers_;

private:
  /// Where a process is, and the port of its links there.
  struct ProcessEndpoint {
    std::string Address_;
    std::uint16_t LinkPort_ = 0;
  };
  void addProcess(const std::string &Role, int I);
  void writeSettings(const std::string &Name, bool IsFirstStart);
  void addForwarders();
  std::string getPath(const std::string &Name, const char *Ending) const;
  static bool isControl(const std::string &Name) {
    return Name.starts_with("control");
  }

  system_test::TempFolder Folder_;
  const Links Mode_;
  const std::uint16_t ControlPort_ = system_test::pickPort();
  const std::uint16_t ClientPort_ = system_test::pickPort();
  const std::uint16_t ReadyPort_ = system_test::pickPort();
  std::map<std::string, ProcessEndpoint> Endpoints_;
  std::map<std::string, std::unique_ptr<system_test::Child>> Processes_;
  /// By the names of the calling and the called process.
  std::map<std::pair<std::string, std::string>,
           std::unique_ptr<system_test::Forwarder>>
      Forwarders_;
};

} // namespace tulipweir::platform_test

#endif // TULIPWEIR_TESTS_PLATFORM_SYSTEM_PLATFORMCLUSTER_H
