//===- Options.h - Checked settings from flags and environment -*- C++ -*-===//
//
// Each option has one name: flag --data-folder, environment variable
// TULIPWEIR_DATA_FOLDER. The flag goes before the environment, both before the
// default. All that is wrong is reported at once. cxxopts reads the flags.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_NET_OPTIONS_H
#define TULIPWEIR_NET_OPTIONS_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tulipweir::net {

/// Exit codes that every program of ours shares.
enum class ExitCode : int {
  Success = 0,
  Failure = 1,       ///< The operation failed; the text says why.
  BadSettings = 2,   ///< Flags or environment; nothing was started.
  CannotListen = 3,  ///< An address is taken or not ours.
  StorageFailed = 4, ///< The data folder cannot be used.
  GraceExceeded = 5, ///< A planned stop did not end in time.
};

/// A peer named in settings as "name=ip:port".
struct NamedEndpoint {
  std::string Name_;
  Endpoint Endpoint_;
  auto operator<=>(const NamedEndpoint &) const = default;
};

/// What parsing led to: go on, or print the text and leave with the code
/// (--help, --version, --check-settings, errors).
struct OptionsResult {
  std::optional<ExitCode> Exit_;
  std::string Text_;
};

/// Looks up an environment variable; nullopt when it is not set.
using Environment =
    std::function<std::optional<std::string>(const std::string &)>;
Environment getProcessEnvironment();

class Options {
public:
  Options(std::string Program, std::string Summary);
  ~Options();
  Options(const Options &) = delete;
  Options &operator=(const Options &) = delete;

  // Each adds one option whose value is written to Target; Target's value
  // before is the default. Target must outlive parse.

  void addText(const std::string &Flag, std::string &Target,
               const std::string &Help, bool Required = false);
  /// Like addText, but never shown in full: for secrets. Also offers
  /// --FLAG-file, whose first line is the value. One of the two must be given
  /// when MinBytes is over 0 and Target has no default.
  void addSecret(const std::string &Flag, std::string &Target,
                 const std::string &Help, std::size_t MinBytes);
  void addInteger(const std::string &Flag, std::int64_t &Target,
                  std::int64_t Least, std::int64_t Most,
                  const std::string &Help);
  /// In milliseconds.
  void addDuration(const std::string &Flag, Duration &Target, Duration Least,
                   Duration Most, const std::string &Help);
  void addChoice(const std::string &Flag, std::string &Target,
                 const std::vector<std::string> &Allowed,
                 const std::string &Help);
  void addSwitch(const std::string &Flag, bool &Target,
                 const std::string &Help);
  void addEndpoint(const std::string &Flag, Endpoint &Target,
                   const std::string &Help, bool Required = false);
  /// Comma-separated "name=ip:port".
  void addPeers(const std::string &Flag, std::vector<NamedEndpoint> &Target,
                const std::string &Help, bool Required = false);
  /// A rule over several settings, run once all values are read; returns the
  /// problem or an empty string.
  void addRule(std::function<std::string()> Rule);
  /// Words that are no flags, in order (a subcommand and its arguments).
  void allowWords(std::vector<std::string> &Target, const std::string &Help);

  OptionsResult parse(int ArgC, const char *const *ArgV,
                      const Environment &Env);

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_NET_OPTIONS_H
