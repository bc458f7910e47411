//===- BundleJson.h - JSON form of bundles ---------------------*- C++ -*-===//
//
// Converts between the fleet's bundles and the JSON that docs/API.md
// describes.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CONTROL_BUNDLEJSON_H
#define TULIPWEIR_SRC_CONTROL_BUNDLEJSON_H

#include "control/FleetSurvey.h"
#include "control/JsonFields.h"
#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/BundleRegistry.h"
#include "tulipweir/fleet/Commands.h"

#include <string>

namespace tulipweir::control {

/// Returns Malformed or InvalidArgument with every problem if the body is
/// invalid.
Outcome<fleet::ProposeBundle> parseProposal(const std::string &Body,
                                            std::uint64_t WallMs);
Outcome<fleet::SignBundle> parseSignOff(const Digest &Value,
                                        const std::string &Body,
                                        std::uint64_t WallMs);
/// Returns the text of the bundle: the body itself, or its field "text" if that
/// is the only field.
std::string extractBundleText(const std::string &Body);

Json makeCheckJson(const fleet::BundleCheck &Check, const std::string &Text);
Json makeResultJson(const fleet::CommandResult &Result);
/// Omits the bundle's text.
Json makeAcceptedJson(const fleet::AcceptedBundle &Value);
Json makeProposedJson(const Digest &Value,
                      const fleet::ProposedBundle &Proposal);
Json makeStatusJson(const SurveyResult &Survey);
/// Returns the limits in force for callers and teams.
Json makeLimitsJson(const fleet::Bundle &Value);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEJSON_H
