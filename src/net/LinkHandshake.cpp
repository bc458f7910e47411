#include "net/LinkHandshake.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <sodium.h>

using namespace tulipweir;
using namespace tulipweir::net;

static constexpr std::string_view Magic = "TLWR";
static constexpr std::size_t NonceAt = 8;
static constexpr std::size_t ProofAt = NonceAt + ChallengeBytes;
static_assert(ProofAt + ChallengeBytes == HelloBytes);
static_assert(crypto_generichash_BYTES == ChallengeBytes);

static std::string_view viewOf(const Challenge &Bytes) {
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

std::string LinkHello::encode() const {
  std::string Bytes(Magic);
  Bytes.push_back(static_cast<char>(Version_ & 0xff));
  Bytes.push_back(static_cast<char>(Version_ >> 8));
  Bytes.push_back(static_cast<char>(Refusal_));
  Bytes.push_back('\0');
  return Bytes.append(viewOf(Nonce_)).append(viewOf(Proof_));
}

Outcome<LinkHello> LinkHello::decode(std::string_view Bytes) {
  if (Bytes.size() != HelloBytes || !Bytes.starts_with(Magic))
    return fail(ErrorCode::Malformed, "the peer speaks another protocol");
  LinkHello Hello;
  const auto ByteAt = [Bytes](std::size_t I) {
    return static_cast<unsigned char>(Bytes[I]);
  };
  Hello.Version_ = static_cast<std::uint16_t>(ByteAt(4) | ByteAt(5) << 8);
  Hello.Refusal_ = static_cast<ErrorCode>(ByteAt(6));
  if (Hello.Version_ != LinkVersion)
    return fail(ErrorCode::VersionMismatch, "the peer speaks link version " +
                                                std::to_string(Hello.Version_) +
                                                "; this process speaks " +
                                                std::to_string(LinkVersion));
  if (Hello.Refusal_ != ErrorCode::Internal)
    return fail(ErrorCode::PermissionDenied,
                "the peer refused our proof; check the shared secret");
  std::memcpy(Hello.Nonce_.data(), Bytes.data() + NonceAt, ChallengeBytes);
  std::memcpy(Hello.Proof_.data(), Bytes.data() + ProofAt, ChallengeBytes);
  return Hello;
}

LinkHandshake::LinkHandshake(std::string_view Secret, LinkRole Role)
    : Role_(Role) {
  [[maybe_unused]] const int Ready = sodium_init();
  assert(Ready >= 0 && "libsodium cannot start");
  crypto_generichash(Key_.data(), Key_.size(),
                     reinterpret_cast<const unsigned char *>(Secret.data()),
                     Secret.size(), nullptr, 0);
  randombytes_buf(Own_.data(), Own_.size());
}

Challenge LinkHandshake::makeProof(LinkRole Prover) const {
  const bool IsClient = Role_ == LinkRole::Client;
  std::string Text(1, static_cast<char>(Prover));
  Text.append(viewOf(IsClient ? Own_ : Other_));
  Text.append(viewOf(IsClient ? Other_ : Own_));
  Challenge Proof{};
  crypto_generichash(Proof.data(), Proof.size(),
                     reinterpret_cast<const unsigned char *>(Text.data()),
                     Text.size(), Key_.data(), Key_.size());
  return Proof;
}

bool LinkHandshake::isProven(const LinkHello &Theirs) const {
  const Challenge Wanted = makeProof(
      Role_ == LinkRole::Client ? LinkRole::Server : LinkRole::Client);
  return sodium_memcmp(Wanted.data(), Theirs.Proof_.data(), ChallengeBytes) ==
         0;
}

LinkHello LinkHandshake::makeChallenge() const {
  LinkHello Hello;
  Hello.Nonce_ = Own_;
  return Hello;
}

LinkHello LinkHandshake::answerChallenge(const LinkHello &Theirs) {
  Other_ = Theirs.Nonce_;
  LinkHello Hello = makeChallenge();
  Hello.Proof_ = makeProof(LinkRole::Server);
  return Hello;
}

Outcome<LinkHello> LinkHandshake::proveBack(const LinkHello &Theirs) {
  Other_ = Theirs.Nonce_;
  if (!isProven(Theirs))
    return fail(ErrorCode::PermissionDenied,
                "the server does not hold the shared secret");
  LinkHello Hello;
  Hello.Proof_ = makeProof(LinkRole::Client);
  return Hello;
}

Outcome<LinkHello> LinkHandshake::accept(const LinkHello &Theirs) const {
  if (!isProven(Theirs))
    return fail(ErrorCode::PermissionDenied,
                "the client does not hold the shared secret");
  return LinkHello();
}
