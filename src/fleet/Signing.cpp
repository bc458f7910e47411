//===- Signing.cpp - Operators' keys and signatures -----------------------===//

#include "tulipweir/fleet/Signing.h"
#include "tulipweir/fleet/Bundle.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstddef>
#include <mutex>
#include <optional>
#include <set>

using namespace tulipweir;
using namespace tulipweir::fleet;

template <std::size_t Size> using Bytes = std::array<unsigned char, Size>;

using PublicBytes = Bytes<crypto_sign_PUBLICKEYBYTES>;
using SecretBytes = Bytes<crypto_sign_SECRETKEYBYTES>;
using SeedBytes = Bytes<crypto_sign_SEEDBYTES>;
using SignatureBytes = Bytes<crypto_sign_BYTES>;

static constexpr std::size_t DigestBytes = 32;

static void initSodium() {
  [[maybe_unused]] static const int Started = sodium_init();
  assert(Started >= 0 && "libsodium failed to initialize");
}

template <std::size_t Size> static std::string toHex(const Bytes<Size> &Data) {
  std::string Text(Size * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(), Data.data(), Data.size());
  Text.pop_back();
  return Text;
}

static bool isLowerHex(char Character) {
  return (Character >= '0' && Character <= '9') ||
         (Character >= 'a' && Character <= 'f');
}

/// Each value has one spelling: upper case and other lengths are rejected.
template <std::size_t Size>
static std::optional<Bytes<Size>> fromHex(std::string_view Text) {
  if (Text.size() != Size * 2 || !std::ranges::all_of(Text, isLowerHex))
    return std::nullopt;
  Bytes<Size> Data{};
  if (sodium_hex2bin(Data.data(), Data.size(), Text.data(), Text.size(),
                     nullptr, nullptr, nullptr) != 0)
    return std::nullopt;
  return Data;
}

static const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

struct RawKeyPair {
  PublicBytes Public_{};
  SecretBytes Secret_{};
};

static RawKeyPair expandSeed(const SeedBytes &Seed) {
  RawKeyPair Pair;
  crypto_sign_seed_keypair(Pair.Public_.data(), Pair.Secret_.data(),
                           Seed.data());
  return Pair;
}

namespace {

/// Caches the keys that passed the check, which costs one scalar multiplication
/// per key, because every bundle contains the same few keys. Thread-safe.
class ValidatedKeys {
public:
  bool contains(const PublicBytes &Key) const {
    const std::lock_guard Lock(Mutex_);
    return Keys_.contains(Key);
  }
  void add(const PublicBytes &Key) {
    const std::lock_guard Lock(Mutex_);
    if (Keys_.size() >= MaxKeys)
      Keys_.clear();
    Keys_.insert(Key);
  }

private:
  static constexpr std::size_t MaxKeys = 4096;
  mutable std::mutex Mutex_;
  std::set<PublicBytes> Keys_;
};

} // namespace

static Error makeInvalidKeyError() {
  return Error::make(ErrorCode::InvalidArgument,
                     "the secret key is not 64 lower-case hexadecimal digits; "
                     "create one with 'tulipweirctl keygen'");
}

KeyPair fleet::makeKeyPair() {
  initSodium();
  SeedBytes Seed{};
  randombytes_buf(Seed.data(), Seed.size());
  return KeyPair{toHex(expandSeed(Seed).Public_), toHex(Seed)};
}

Outcome<KeyPair> fleet::deriveKeyPair(std::string_view SecretKey) {
  initSodium();
  const auto Seed = fromHex<crypto_sign_SEEDBYTES>(SecretKey);
  if (!Seed)
    return makeInvalidKeyError();
  return KeyPair{toHex(expandSeed(*Seed).Public_), std::string(SecretKey)};
}

Outcome<std::string> fleet::signDigest(const Digest &Value,
                                       std::string_view SecretKey) {
  initSodium();
  const auto Seed = fromHex<crypto_sign_SEEDBYTES>(SecretKey);
  if (!Seed)
    return makeInvalidKeyError();
  const RawKeyPair Pair = expandSeed(*Seed);
  SignatureBytes Signature{};
  crypto_sign_detached(Signature.data(), nullptr, asBytes(Value.value()),
                       Value.value().size(), Pair.Secret_.data());
  return toHex(Signature);
}

bool fleet::verifyDigest(const Digest &Value, std::string_view PublicKey,
                         std::string_view Signature) {
  initSodium();
  const auto Key = fromHex<crypto_sign_PUBLICKEYBYTES>(PublicKey);
  const auto RawSignature = fromHex<crypto_sign_BYTES>(Signature);
  if (!Key || !RawSignature)
    return false;
  return crypto_sign_verify_detached(RawSignature->data(),
                                     asBytes(Value.value()),
                                     Value.value().size(), Key->data()) == 0;
}

bool fleet::isPublicKey(std::string_view Text) {
  initSodium();
  const auto Key = fromHex<crypto_sign_PUBLICKEYBYTES>(Text);
  if (!Key)
    return false;
  static ValidatedKeys Known;
  if (Known.contains(*Key))
    return true;
  if (crypto_core_ed25519_is_valid_point(Key->data()) != 1)
    return false;
  Known.add(*Key);
  return true;
}

Digest fleet::computeDigest(std::string_view Text) {
  initSodium();
  Bytes<DigestBytes> Hash{};
  crypto_generichash(Hash.data(), Hash.size(), asBytes(Text), Text.size(),
                     nullptr, 0);
  return Digest(toHex(Hash));
}
