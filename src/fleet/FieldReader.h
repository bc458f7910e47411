//===- FieldReader.h - Typed fields of one JSON object ---------*- C++ -*-===//
//
// Reads the fields of an object within their ranges, reports every problem
// with its JSON pointer, and finally reports the fields that were never read.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_FLEET_FIELDREADER_H
#define TULIPWEIR_SRC_FLEET_FIELDREADER_H

#include "tulipweir/fleet/Bundle.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tulipweir::fleet {

enum class Presence : std::uint8_t { Required, Optional };

/// Both bounds are inclusive.
template <class Number> struct Range {
  Number Min_;
  Number Max_;
};

/// Not thread-safe; the JSON value and the problems must outlive the reader.
class FieldReader {
public:
  FieldReader(const nlohmann::json &Value, std::string Pointer,
              std::vector<BundleProblem> &Problems);

  /// Reads a string of at most MaxBytes.
  void readText(const std::string &Name, std::string &Target, Presence Expected,
                std::size_t MaxBytes);
  /// Reads a name: 1 to 64 letters, digits, '.', '_' or '-', starting with a
  /// letter or digit. Returns whether Target was set.
  bool readName(const std::string &Name, std::string &Target);
  void readNumber(const std::string &Name, double &Target,
                  Range<double> Allowed,
                  Presence Expected = Presence::Optional);
  void readMillis(const std::string &Name, Duration &Target,
                  Range<std::int64_t> Allowed);
  void readBool(const std::string &Name, bool &Target);

  template <class Integer>
  void readInteger(const std::string &Name, Integer &Target,
                   Range<std::int64_t> Allowed,
                   Presence Expected = Presence::Optional) {
    auto Wide = static_cast<std::int64_t>(Target);
    readInt64(Name, Wide, Allowed, Expected);
    Target = static_cast<Integer>(Wide);
  }

  /// Returns the array, or nullptr if the field is absent, is not an array or
  /// has more than MaxEntries entries.
  const nlohmann::json *findArray(const std::string &Name, Presence Expected,
                                  std::size_t MaxEntries);
  const nlohmann::json *findObject(const std::string &Name);

  /// Reports each field that was never read.
  void reportUnknownFields();

  void addProblem(const std::string &Name, std::string Text);
  std::string makePointer(const std::string &Name) const;

private:
  const nlohmann::json *find(const std::string &Name, Presence Expected);
  void readInt64(const std::string &Name, std::int64_t &Target,
                 Range<std::int64_t> Allowed, Presence Expected);

  const nlohmann::json &Value_;
  std::string Pointer_;
  std::vector<BundleProblem> &Problems_;
  std::set<std::string> KnownNames_;
};

} // namespace tulipweir::fleet

#endif // TULIPWEIR_SRC_FLEET_FIELDREADER_H
