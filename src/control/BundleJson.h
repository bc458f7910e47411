//===- BundleJson.h - Bundles as operators send and see them ---*- C++ -*-===//
//
// Conversion between the JSON of docs/API.md and the fleet's bundles.
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

/// Fails with Malformed or InvalidArgument, naming every problem.
Outcome<fleet::ProposeBundle> parseProposal(const std::string &Body,
                                            std::uint64_t WallMs);
Outcome<fleet::SignBundle> parseSignOff(const Digest &Value,
                                        const std::string &Body,
                                        std::uint64_t WallMs);
/// The bundle's text: the body itself, or its only field "text".
std::string takeBundleText(const std::string &Body);

Json makeCheckJson(const fleet::BundleCheck &Check, const std::string &Text);
Json makeResultJson(const fleet::CommandResult &Result);
/// Without the text.
Json makeAcceptedJson(const fleet::AcceptedBundle &Value);
Json makeProposedJson(const Digest &Value, const fleet::ProposedBundle &From);
Json makeStatusJson(const SurveyResult &Survey);
/// What limits there are in force, for callers and teams.
Json makeLimitsJson(const fleet::Bundle &Value);

} // namespace tulipweir::control

#endif // TULIPWEIR_SRC_CONTROL_BUNDLEJSON_H
