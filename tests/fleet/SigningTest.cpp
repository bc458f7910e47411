//===- SigningTest.cpp ----------------------------------------------------===//

#include "FleetFixture.h"

#include <gtest/gtest.h>

using namespace tulipweir;
using namespace tulipweir::fleet;
using namespace tulipweir::fleet::test;

TEST(SigningTest, OnlySignedDigestAndSignersKeyVerify) {
  const KeyPair Keys = makeKeyPair();
  const Digest Value = computeDigest("text");
  const std::string Signature = signDigest(Value, Keys.SecretKey_).value();
  EXPECT_TRUE(verifyDigest(Value, Keys.PublicKey_, Signature));
  EXPECT_FALSE(
      verifyDigest(computeDigest("text "), Keys.PublicKey_, Signature));
  EXPECT_FALSE(verifyDigest(Value, makeKeyPair().PublicKey_, Signature));
}

TEST(SigningTest, SignatureWithAnyChangedDigitIsRejected) {
  const KeyPair Keys = makeTestKeys(1);
  const Digest Value = computeDigest("text");
  const std::string Signature = signDigest(Value, Keys.SecretKey_).value();
  for (std::size_t I = 0; I < Signature.size(); ++I) {
    std::string Forged = Signature;
    Forged[I] = Forged[I] == '0' ? '1' : '0';
    EXPECT_FALSE(verifyDigest(Value, Keys.PublicKey_, Forged)) << I;
  }
}

TEST(SigningTest, NonCanonicalKeysAndSignaturesAreRejected) {
  const KeyPair Keys = makeTestKeys(1);
  const Digest Value = computeDigest("text");
  const std::string Signature = signDigest(Value, Keys.SecretKey_).value();
  for (const std::string &Bad :
       {std::string(), Signature + "00", Signature.substr(2),
        std::string(128, 'z'), std::string(128, 'A')})
    EXPECT_FALSE(verifyDigest(Value, Keys.PublicKey_, Bad)) << Bad;
  EXPECT_FALSE(signDigest(Value, "12ab").has_value());
  EXPECT_FALSE(deriveKeyPair(std::string(64, 'G')).has_value());
}

TEST(SigningTest, LowOrderPointsAreNotPublicKeys) {
  EXPECT_TRUE(isPublicKey(makeKeyPair().PublicKey_));
  EXPECT_FALSE(isPublicKey(std::string(64, '0')));
  EXPECT_FALSE(isPublicKey("01" + std::string(62, '0')));
}

TEST(SigningTest, DigestMatchesPublishedBlake2bValue) {
  // The published value of BLAKE2b-256 for "abc".
  EXPECT_EQ(computeDigest("abc").value(), "bddd813c634239723171ef3fee98579b"
                                          "94964e3bb1cb3e427262c8c068d52319");
}
