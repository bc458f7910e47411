#include "control/BundleFile.h"

#include "replication/Frame.h"
#include "tulipweir/wire/Codec.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr const char *FileName = "bundle";
static constexpr const char *TemporaryName = "bundle.new";
static constexpr std::uint64_t FormatVersion = 1;

BundleFile::BundleFile(replication::FileSystem &Files, std::string Folder)
    : Files_(Files), Folder_(std::move(Folder)) {}

std::string BundleFile::getPath(const std::string &Name) const {
  return Folder_ + "/" + Name;
}

Outcome<bool> BundleFile::exists(const std::string &Name) const {
  const auto Names = Files_.list(Folder_);
  if (!Names)
    return Names.as_failure();
  return std::ranges::find(Names.value(), Name) != Names.value().end();
}

Outcome<void> BundleFile::save(const wire::SignedBundle &Bundle) {
  // A crash during an earlier write may leave this file; appending to it would
  // mix both contents.
  BOOST_OUTCOME_TRY(HasTemporary, exists(TemporaryName));
  if (HasTemporary) {
    BOOST_OUTCOME_TRYV(Files_.remove(getPath(TemporaryName)));
  }
  BOOST_OUTCOME_TRY(File, Files_.openForAppend(getPath(TemporaryName)));
  BOOST_OUTCOME_TRYV(File->append(
      replication::makeFrame(FormatVersion, wire::encode(Bundle))));
  BOOST_OUTCOME_TRYV(File->sync());
  BOOST_OUTCOME_TRYV(Files_.rename(getPath(TemporaryName), getPath(FileName)));
  return Files_.syncFolder(Folder_);
}

Outcome<std::optional<wire::SignedBundle>> BundleFile::load() const {
  BOOST_OUTCOME_TRY(Exists, exists(FileName));
  if (!Exists)
    return std::optional<wire::SignedBundle>();
  BOOST_OUTCOME_TRY(Bytes, Files_.read(getPath(FileName)));
  const auto Frame = replication::readFrame(Bytes);
  if (!Frame || Frame->Size_ != Bytes.size())
    return fail(ErrorCode::Corrupt, getPath(FileName) + " is damaged");
  if (Frame->Number_ != FormatVersion)
    return fail(ErrorCode::VersionMismatch, getPath(FileName) +
                                                " is of format " +
                                                std::to_string(Frame->Number_));
  auto Bundle = wire::decode<wire::SignedBundle>(Frame->Body_);
  if (!Bundle)
    return Bundle.as_failure();
  return std::optional(std::move(Bundle.value()));
}
