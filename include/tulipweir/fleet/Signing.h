//===- Signing.h - Operators' keys and signatures --------------*- C++ -*-===//
//
// Ed25519 by libsodium. All values are lower-case hexadecimal, so that they
// can be pasted into bundles and command lines.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_FLEET_SIGNING_H
#define TULIPWEIR_FLEET_SIGNING_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"

#include <string>
#include <string_view>

namespace tulipweir::fleet {

/// Key pair of an operator. The secret key is the 32-byte seed and never leaves
/// the operator's machine.
struct KeyPair {
  std::string PublicKey_;
  std::string SecretKey_;
  bool operator==(const KeyPair &) const = default;
};

/// Generates a new pair from the system's random source.
KeyPair makeKeyPair();

/// Derives the pair from its secret key; fails with InvalidArgument if the key
/// is invalid.
Outcome<KeyPair> deriveKeyPair(std::string_view SecretKey);

/// Signs the digest's hexadecimal text; fails with InvalidArgument if the key
/// is invalid.
Outcome<std::string> signDigest(const Digest &Value,
                                std::string_view SecretKey);

/// Returns whether Signature is the signature of the digest by the owner of
/// PublicKey; false if either is malformed.
bool verifyDigest(const Digest &Value, std::string_view PublicKey,
                  std::string_view Signature);

/// Returns whether the text is a usable public key: a point on the curve, of
/// full order.
bool isPublicKey(std::string_view Text);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_SIGNING_H
