//===- CtlFixture.h - Commands against an API that answers by hand --------===//

#ifndef TULIPWEIR_TESTS_CTL_CTLFIXTURE_H
#define TULIPWEIR_TESTS_CTL_CTLFIXTURE_H

#include "tulipweir/ctl/OperatorApi.h"
#include "tulipweir/ctl/Program.h"
#include "tulipweir/fleet/Signing.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace tulipweir::ctl::test {

/// Gives the prepared answers in order, the last one again and again.
class FakeApi final : public OperatorApi {
public:
  Outcome<ApiAnswer> call(const ApiRequest &Request) override {
    Asked_.push_back(Request);
    if (Answers_.empty())
      return fail(ErrorCode::Unavailable, "nobody there");
    const ApiAnswer Next = Answers_.front();
    if (Answers_.size() > 1)
      Answers_.pop_front();
    return Next;
  }

  std::deque<ApiAnswer> Answers_;
  std::vector<ApiRequest> Asked_;
};

/// Time passes with every look at the clock.
class TickingClock final : public Clock {
public:
  TimePoint now() const override {
    return TimePoint(std::chrono::seconds(++Looks_));
  }
  WallTime wallNow() const override { return WallTime(0); }

private:
  mutable int Looks_ = 0;
};

class CtlTest : public testing::Test {
protected:
  CtlTest() : Folder_(testing::TempDir() + "ctl.XXXXXX") {
    EXPECT_NE(mkdtemp(Folder_.data()), nullptr);
  }
  ~CtlTest() override {
    for (const std::string &Name : Files_)
      std::remove(Name.c_str());
    std::remove(Folder_.c_str());
  }

  CtlExit run(const std::vector<std::string> &Words) {
    Out_.str("");
    Err_.str("");
    CtlContext Context{Settings_, Api_, Time_, Out_, Err_};
    return runCommand(Context, Words);
  }
  void answer(unsigned Status, const std::string &Body) {
    Api_.Answers_.push_back({Status, Body});
  }
  std::string name(const std::string &File) {
    Files_.push_back(Folder_ + "/" + File);
    return Files_.back();
  }
  std::string write(const std::string &File, const std::string &Text) {
    std::string Path = name(File);
    std::ofstream(Path, std::ios::binary) << Text;
    return Path;
  }
  /// Sets an operator up who can sign.
  fleet::KeyPair makeOperator() {
    auto Keys = fleet::makeKeyPair();
    Settings_.Operator_ = "ana";
    Settings_.KeyFile_ = write("key", Keys.SecretKey_ + "\n");
    return Keys;
  }
  static std::string makeBundle(const std::string &PublicKey) {
    return R"({"version": 1, "parentVersion": 0, "parentDigest": "",
      "note": "first", "services": [], "operators":
      [{"operator": "ana", "publicKey": ")" +
           PublicKey + "\"}]}";
  }

  std::string Folder_;
  std::vector<std::string> Files_;
  CtlSettings Settings_;
  FakeApi Api_;
  TickingClock Time_;
  std::ostringstream Out_;
  std::ostringstream Err_;
};

} // namespace tulipweir::ctl::test

#endif // TULIPWEIR_TESTS_CTL_CTLFIXTURE_H
