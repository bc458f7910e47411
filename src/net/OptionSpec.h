//===- OptionSpec.h - One option and how its value is read -----*- C++ -*-===//
//
// Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_OPTIONSPEC_H
#define TULIPWEIR_SRC_NET_OPTIONSPEC_H

#include "tulipweir/net/Options.h"

namespace tulipweir::net {

struct OptionSpec {
  std::string Flag_; ///< Without the dashes.
  std::string Help_;
  std::string Allowed_; ///< For people, as in "1 to 64".
  std::string Default_; ///< For people.
  bool Required_ = false;
  bool Secret_ = false;
  bool Switch_ = false;
  /// Reads the text and writes the target; false if it is not allowed.
  std::function<bool(const std::string &)> Read_;

  /// TULIPWEIR_DATA_FOLDER for data-folder.
  std::string getVariable() const;
};

// Makers of specs, one for each kind of value.

OptionSpec makeTextSpec(std::string &Target);
OptionSpec makeSecretSpec(std::string &Target, std::size_t MinBytes);
OptionSpec makeSecretFileSpec(std::string &Target, std::size_t MinBytes);
OptionSpec makeIntegerSpec(std::int64_t &Target, std::int64_t Least,
                           std::int64_t Most);
OptionSpec makeDurationSpec(Duration &Target, Duration Least, Duration Most);
OptionSpec makeChoiceSpec(std::string &Target,
                          const std::vector<std::string> &Allowed);
OptionSpec makeSwitchSpec(bool &Target);
OptionSpec makeEndpointSpec(Endpoint &Target);
OptionSpec makePeersSpec(std::vector<NamedEndpoint> &Target);

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_OPTIONSPEC_H
