//===- JsonReader.h - Strict reading of JSON objects -----------*- C++ -*-===//
//
// Reads the fields of one JSON object into typed targets and keeps the first
// error, with its place as a JSON pointer. Fields that nobody asked for are
// errors too, so that a misspelt one is not silently dropped.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_JSONREADER_H
#define TULIPWEIR_SRC_NET_JSONREADER_H

#include "tulipweir/core/Error.h"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace tulipweir::net {

/// The first error found; shared by the readers of one document.
using FirstError = std::optional<Error>;

class JsonReader {
public:
  JsonReader(const nlohmann::json &Value, std::string Place,
             FirstError &Problem)
      : Value_(Value), Place_(std::move(Place)), Problem_(Problem) {
    if (!Value_.is_object())
      report(ErrorCode::InvalidArgument, "", "must be an object");
  }

  /// Text of at most MaxBytes; when Required it must be there, and not empty.
  void readText(const char *Name, std::string &Target, std::size_t MaxBytes,
                bool Required = false) {
    const nlohmann::json *Field = find(Name, Required);
    if (!Field)
      return;
    if (!Field->is_string())
      return report(ErrorCode::InvalidArgument, Name, "must be text");
    Target = Field->get<std::string>();
    if (Target.size() > MaxBytes)
      return report(ErrorCode::TooLarge, Name,
                    "is longer than " + std::to_string(MaxBytes) + " bytes");
    if (Required && Target.empty())
      report(ErrorCode::InvalidArgument, Name, "must not be empty");
  }

  /// A text field that becomes an id around a string.
  template <class TextId>
  void readId(const char *Name, TextId &Target, std::size_t MaxBytes,
              bool Required = false) {
    std::string Text;
    readText(Name, Text, MaxBytes, Required);
    Target = TextId(std::move(Text));
  }

  /// A whole number from 0 to Most.
  template <std::integral Number>
  void readNumber(const char *Name, Number &Target, std::uint64_t Most,
                  bool Required = false) {
    const nlohmann::json *Field = find(Name, Required);
    if (!Field)
      return;
    if (!Field->is_number_unsigned())
      return report(ErrorCode::InvalidArgument, Name,
                    "must be a whole number from 0");
    const auto Found = Field->get<std::uint64_t>();
    if (Found > Most)
      return report(ErrorCode::TooLarge, Name,
                    "must be at most " + std::to_string(Most));
    Target = static_cast<Number>(Found);
  }

  void readBool(const char *Name, bool &Target) {
    const nlohmann::json *Field = find(Name, false);
    if (!Field)
      return;
    if (!Field->is_boolean())
      return report(ErrorCode::InvalidArgument, Name, "must be true or false");
    Target = Field->get<bool>();
  }

  /// One of a table of words, whose index is the value.
  template <class Enum, std::size_t Count>
  void readWord(const char *Name, Enum &Target,
                const char *const (&Words)[Count]) {
    std::string Text;
    readText(Name, Text, MaxWordBytes, true);
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (Text == Words[Index]) {
        Target = static_cast<Enum>(Index);
        return;
      }
    report(ErrorCode::InvalidArgument, Name, "is no known word");
  }

  /// Calls Read(element, place) for each element of a list.
  template <class Reader>
  void readList(const char *Name, std::size_t MaxCount, Reader Read) {
    const nlohmann::json *Field = find(Name, false);
    if (!Field)
      return;
    if (!Field->is_array())
      return report(ErrorCode::InvalidArgument, Name, "must be a list");
    if (Field->size() > MaxCount)
      return report(ErrorCode::TooLarge, Name,
                    "has more than " + std::to_string(MaxCount) + " elements");
    std::size_t Index = 0;
    for (const nlohmann::json &Element : *Field)
      Read(Element, Place_ + "/" + Name + "/" + std::to_string(Index++));
  }

  /// Calls Read(reader) on a field that is an object.
  template <class Reader>
  void readObject(const char *Name, Reader Read, bool Required = false) {
    const nlohmann::json *Field = find(Name, Required);
    if (!Field)
      return;
    JsonReader Inner(*Field, Place_ + "/" + Name, Problem_);
    Read(Inner);
    Inner.finish();
  }

  /// Reports fields that were not read.
  void finish() {
    if (!Value_.is_object())
      return;
    for (const auto &[Name, Field] : Value_.items())
      if (!Known_.contains(Name))
        report(ErrorCode::InvalidArgument, Name.substr(0, MaxWordBytes),
               "is no known field");
  }

  void report(ErrorCode Code, const std::string &Name,
              const std::string &Text) {
    if (!Problem_)
      Problem_ = Error::make(Code, Place_ + "/" + Name + " " + Text);
  }

private:
  static constexpr std::size_t MaxWordBytes = 64;

  const nlohmann::json *find(const char *Name, bool Required) {
    Known_.insert(Name);
    if (!Value_.is_object())
      return nullptr;
    const auto Found = Value_.find(Name);
    if (Found != Value_.end())
      return &*Found;
    if (Required)
      report(ErrorCode::InvalidArgument, Name, "is missing");
    return nullptr;
  }

  const nlohmann::json &Value_;
  std::string Place_;
  FirstError &Problem_;
  std::set<std::string> Known_;
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_JSONREADER_H
