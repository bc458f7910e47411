#include "control/BundleFile.h"

#include "replication/Frame.h"
#include "tulipweir/wire/Codec.h"

#include <boost/outcome/try.hpp>

#include <algorithm>

using namespace tulipweir;
using namespace tulipweir::control;

static constexpr const char *FileName = "bundle";
static constexpr const char *UnfinishedName = "bundle.new";
static constexpr std::uint64_t FormatVersion = 1;

BundleFile::BundleFile(replication::FileSystem &Files, std::string Folder)
    : Files_(Files), Folder_(std::move(Folder)) {}

std::string BundleFile::pathOf(const std::string &Name) const {
  return Folder_ + "/" + Name;
}

Outcome<bool> BundleFile::exists(const std::string &Name) const {
  const auto Names = Files_.list(Folder_);
  if (!Names)
    return Names.as_failure();
  return std::ranges::find(Names.value(), Name) != Names.value().end();
}

Outcome<void> BundleFile::save(const wire::SignedBundle &Value) {
  // Left over from a write that a crash cut off; appending would mix the two.
  BOOST_OUTCOME_TRY(LeftOver, exists(UnfinishedName));
  if (LeftOver) {
    BOOST_OUTCOME_TRYV(Files_.remove(pathOf(UnfinishedName)));
  }
  BOOST_OUTCOME_TRY(File, Files_.openForAppend(pathOf(UnfinishedName)));
  BOOST_OUTCOME_TRYV(
      File->append(replication::makeFrame(FormatVersion, wire::encode(Value))));
  BOOST_OUTCOME_TRYV(File->sync());
  BOOST_OUTCOME_TRYV(Files_.rename(pathOf(UnfinishedName), pathOf(FileName)));
  return Files_.syncFolder(Folder_);
}

Outcome<std::optional<wire::SignedBundle>> BundleFile::load() const {
  BOOST_OUTCOME_TRY(Exists, exists(FileName));
  if (!Exists)
    return std::optional<wire::SignedBundle>();
  BOOST_OUTCOME_TRY(Bytes, Files_.read(pathOf(FileName)));
  const auto Found = replication::readFrame(Bytes);
  if (!Found || Found->Size_ != Bytes.size())
    return fail(ErrorCode::Corrupt, pathOf(FileName) + " is damaged");
  if (Found->Number_ != FormatVersion)
    return fail(ErrorCode::VersionMismatch, pathOf(FileName) +
                                                " is of format " +
                                                std::to_string(Found->Number_));
  auto Value = wire::decode<wire::SignedBundle>(Found->Body_);
  if (!Value)
    return Value.as_failure();
  return std::optional(std::move(Value.value()));
}
