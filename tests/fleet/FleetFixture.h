//===- FleetFixture.h - Bundles and signed commands for tests --*- C++ -*-===//

#ifndef TULIPWEIR_TESTS_FLEET_FLEETFIXTURE_H
#define TULIPWEIR_TESTS_FLEET_FLEETFIXTURE_H

#include "tulipweir/fleet/Bundle.h"
#include "tulipweir/fleet/Commands.h"
#include "tulipweir/fleet/Signing.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace tulipweir::fleet::test {

/// Returns the same pair for the same number.
inline KeyPair makeTestKeys(unsigned Number) {
  std::string Seed(64, '0');
  for (std::size_t I = Seed.size(); Number > 0; Number /= 10)
    Seed[--I] = static_cast<char>('0' + Number % 10);
  return deriveKeyPair(Seed).value();
}

inline OperatorId makeOperator(unsigned Number) {
  return OperatorId("op" + std::to_string(Number));
}

/// Returns a complete bundle with the operators 1 to Operators.
inline nlohmann::json makeBundleJson(std::uint64_t Version,
                                     std::uint64_t Parent,
                                     const std::string &ParentDigest,
                                     unsigned Operators, unsigned Needed) {
  nlohmann::json Value = {{"version", Version},
                          {"parentVersion", Parent},
                          {"parentDigest", ParentDigest},
                          {"note", "test"},
                          {"signOffsNeeded", Needed},
                          {"operators", nlohmann::json::array()},
                          {"services", nlohmann::json::array()}};
  for (unsigned I = 1; I <= Operators; ++I)
    Value["operators"].push_back({{"operator", makeOperator(I).value()},
                                  {"publicKey", makeTestKeys(I).PublicKey_}});
  return Value;
}

inline std::string makeBundleText(std::uint64_t Version, std::uint64_t Parent,
                                  const std::string &ParentDigest,
                                  unsigned Operators = 3, unsigned Needed = 2,
                                  const std::string &Note = "test") {
  auto Value = makeBundleJson(Version, Parent, ParentDigest, Operators, Needed);
  Value["note"] = Note;
  return Value.dump();
}

inline SignOff makeSignOff(const Digest &Value, unsigned Operator) {
  return {makeOperator(Operator),
          signDigest(Value, makeTestKeys(Operator).SecretKey_).value()};
}

inline ProposeBundle makeProposal(const std::string &Text, unsigned Operator) {
  return {Text, makeSignOff(computeDigest(Text), Operator), 1000};
}

inline SignBundle makeSignCommand(const std::string &Text, unsigned Operator) {
  const Digest Value = computeDigest(Text);
  return {Value, makeSignOff(Value, Operator), 1000};
}

} // namespace tulipweir::fleet::test

#endif // TULIPWEIR_TESTS_FLEET_FLEETFIXTURE_H
