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

/// An operator's keys. The secret one is the 32-byte seed and never leaves the
/// operator's machine.
struct KeyPair {
  std::string PublicKey_;
  std::string SecretKey_;
  bool operator==(const KeyPair &) const = default;
};

/// Makes a new pair from the system's random source.
KeyPair makeKeyPair();

/// Derives the pair from its secret key; InvalidArgument if that is not one.
Outcome<KeyPair> deriveKeyPair(std::string_view SecretKey);

/// Signs the digest's hexadecimal text; InvalidArgument for a bad key.
Outcome<std::string> signDigest(const Digest &Value,
                                std::string_view SecretKey);

/// Whether Signature was made over Value by the owner of PublicKey. False for
/// anything that is not a key or a signature.
bool verifyDigest(const Digest &Value, std::string_view PublicKey,
                  std::string_view Signature);

/// Whether the text is a usable public key: on the curve, of full order.
bool isPublicKey(std::string_view Text);

} // namespace tulipweir::fleet

#endif // TULIPWEIR_FLEET_SIGNING_H
