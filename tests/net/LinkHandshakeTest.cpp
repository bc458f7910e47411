#include "net/LinkHandshake.h"

#include <gtest/gtest.h>
#include <random>

using namespace tulipweir;
using namespace tulipweir::net;

static const std::string Secret = "0123456789abcdef";

static ErrorCode getCode(const Outcome<LinkHello> &From) {
  return From ? ErrorCode::Internal : From.error().Code_;
}

TEST(LinkHandshakeTest, acceptsWhoHoldsTheSecret) {
  LinkHandshake Client(Secret, LinkRole::Client);
  LinkHandshake Server(Secret, LinkRole::Server);
  const LinkHello Answer = Server.answerChallenge(Client.makeChallenge());
  const auto Proof = Client.proveBack(Answer);
  ASSERT_TRUE(Proof);
  EXPECT_TRUE(Server.accept(Proof.value()));
}

TEST(LinkHandshakeTest, refusesAServerWithAnotherSecret) {
  LinkHandshake Client(Secret, LinkRole::Client);
  LinkHandshake Server(Secret + "x", LinkRole::Server);
  EXPECT_EQ(
      getCode(Client.proveBack(Server.answerChallenge(Client.makeChallenge()))),
      ErrorCode::PermissionDenied);
}

TEST(LinkHandshakeTest, refusesAClientWithAnotherSecret) {
  LinkHandshake Client(Secret + "x", LinkRole::Client);
  LinkHandshake Helper(Secret + "x", LinkRole::Server);
  LinkHandshake Server(Secret, LinkRole::Server);
  Server.answerChallenge(Client.makeChallenge());
  const auto Proof =
      Client.proveBack(Helper.answerChallenge(Client.makeChallenge()));
  EXPECT_EQ(getCode(Server.accept(Proof.value())), ErrorCode::PermissionDenied);
}

TEST(LinkHandshakeTest, refusesAReflectedOrReplayedProof) {
  LinkHandshake Client(Secret, LinkRole::Client);
  LinkHandshake Server(Secret, LinkRole::Server);
  const LinkHello Answer = Server.answerChallenge(Client.makeChallenge());
  EXPECT_EQ(getCode(Server.accept(Answer)), ErrorCode::PermissionDenied);
  const auto Proof = Client.proveBack(Answer);
  LinkHandshake Later(Secret, LinkRole::Server);
  Later.answerChallenge(Client.makeChallenge());
  EXPECT_EQ(getCode(Later.accept(Proof.value())), ErrorCode::PermissionDenied);
}

TEST(LinkHandshakeTest, readsBackWhatItWrote) {
  const LinkHello Hello =
      LinkHandshake(Secret, LinkRole::Client).makeChallenge();
  ASSERT_EQ(Hello.encode().size(), HelloBytes);
  EXPECT_EQ(LinkHello::decode(Hello.encode()).value().Nonce_, Hello.Nonce_);
}

TEST(LinkHandshakeTest, refusesOtherVersionsProtocolsAndRefusals) {
  LinkHello Hello;
  Hello.Version_ = 0x0201;
  EXPECT_EQ(getCode(LinkHello::decode(Hello.encode())),
            ErrorCode::VersionMismatch);
  Hello = {};
  Hello.Refusal_ = ErrorCode::PermissionDenied;
  EXPECT_EQ(getCode(LinkHello::decode(Hello.encode())),
            ErrorCode::PermissionDenied);
  std::string Bytes = LinkHello().encode();
  EXPECT_EQ(getCode(LinkHello::decode(Bytes.substr(1))), ErrorCode::Malformed);
  Bytes[0] ^= 1;
  EXPECT_EQ(getCode(LinkHello::decode(Bytes)), ErrorCode::Malformed);
}

TEST(LinkHandshakeTest, oneChangedBitAnywhereIsRefused) {
  LinkHandshake Client(Secret, LinkRole::Client);
  LinkHandshake Server(Secret, LinkRole::Server);
  const std::string Good =
      Server.answerChallenge(Client.makeChallenge()).encode();
  for (std::size_t Bit = 0; Bit < Good.size() * 8; ++Bit) {
    if (Bit / 8 == 7) // Not used yet.
      continue;
    std::string Bad = Good;
    Bad[Bit / 8] = static_cast<char>(Bad[Bit / 8] ^ (1 << (Bit % 8)));
    const auto Hello = LinkHello::decode(Bad);
    EXPECT_FALSE(Hello && Client.proveBack(Hello.value())) << Bit;
  }
}
