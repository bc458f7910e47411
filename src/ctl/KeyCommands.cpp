//===- KeyCommands.cpp - An operator's keys -------------------------------===//

#include "Commands.h"
#include "tulipweir/fleet/Signing.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <ostream>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::ctl;

/// Creates the file for its owner only; an existing one is never touched.
static Outcome<void> writeSecretFile(const std::string &Name,
                                     const std::string &Text) {
  static constexpr mode_t OwnerOnly = 0600;
  const int File =
      ::open(Name.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, OwnerOnly);
  if (File < 0)
    return fail(ErrorCode::InvalidArgument,
                "cannot create '" + Name + "': " + std::strerror(errno) +
                    "; a key file is never overwritten, choose a new name");
  const ssize_t Written = ::write(File, Text.data(), Text.size());
  const bool Synced = ::fsync(File) == 0;
  const bool Closed = ::close(File) == 0;
  if (Written != static_cast<ssize_t>(Text.size()) || !Synced || !Closed)
    return fail(ErrorCode::StorageFailed,
                "cannot write '" + Name + "' whole; remove it and try again");
  return succeed();
}

CtlExit ctl::makeKeyFile(CtlContext &Context, const Arguments &Words) {
  const fleet::KeyPair Keys = fleet::makeKeyPair();
  const std::string &Name = Words.front();
  const auto Written = writeSecretFile(Name, Keys.SecretKey_ + "\n");
  if (!Written)
    return reportError(Context, Written.error());
  const std::string &Operator = Context.Settings_.Operator_;
  const json Entry = {{"operator", Operator.empty() ? "NAME" : Operator},
                      {"publicKey", Keys.PublicKey_}};
  if (Context.Settings_.Json_) {
    printJson(Context, Entry);
    return CtlExit::Success;
  }
  Context.Out_ << "secret key: " << Name << " (keep it; it is not shown)\n"
               << "public key: " << Keys.PublicKey_ << "\n"
               << "in the bundle's \"operators\": " << renderJson(Entry)
               << "\n";
  return CtlExit::Success;
}
