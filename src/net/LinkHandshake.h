//===- LinkHandshake.h - Who may talk on a link ----------------*- C++ -*-===//
//
// Four messages of one size: the client's challenge, the server's challenge
// with its proof, the client's proof, the server's verdict. A proof is a keyed
// hash over the prover's role and both challenges, so that none can be
// replayed or reflected. No sockets here. Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_LINKHANDSHAKE_H
#define TULIPWEIR_SRC_NET_LINKHANDSHAKE_H

#include "tulipweir/core/Error.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipweir::net {

inline constexpr std::uint16_t LinkVersion = 2;
inline constexpr std::size_t ChallengeBytes = 32;
inline constexpr std::size_t HelloBytes = 72;

using Challenge = std::array<unsigned char, ChallengeBytes>;

/// One message of the handshake.
struct LinkHello {
  std::uint16_t Version_ = LinkVersion;
  /// Why the sender refuses; Internal stands for "it does not".
  ErrorCode Refusal_ = ErrorCode::Internal;
  Challenge Nonce_{};
  Challenge Proof_{};

  std::string encode() const;
  /// Malformed if it is no hello at all, VersionMismatch, or the refusal.
  static Outcome<LinkHello> decode(std::string_view Bytes);
};

enum class LinkRole : std::uint8_t { Client = 1, Server = 2 };

/// One side's part in a handshake.
class LinkHandshake {
public:
  /// Draws the own challenge.
  LinkHandshake(std::string_view Secret, LinkRole Role);

  /// The first message of the client.
  LinkHello makeChallenge() const;
  /// The server's answer to it, with proof.
  LinkHello answerChallenge(const LinkHello &Theirs);
  /// The client checks the server's proof and makes its own.
  Outcome<LinkHello> proveBack(const LinkHello &Theirs);
  /// The server checks the client's proof.
  Outcome<LinkHello> accept(const LinkHello &Theirs) const;

private:
  Challenge makeProof(LinkRole Prover) const;
  bool isProven(const LinkHello &Theirs) const;

  Challenge Key_{};
  LinkRole Role_;
  Challenge Own_{};
  Challenge Other_{};
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_LINKHANDSHAKE_H
