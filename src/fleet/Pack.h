//===- Pack.h - Strict msgpack encoding of structs -------------*- C++ -*-===//
//
// A struct is encoded as an array of its fields in order. forEachField lists
// the fields once, for writing and for reading.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_FLEET_PACK_H
#define TULIPWEIR_SRC_FLEET_PACK_H

#include "tulipweir/core/Error.h"
#include "tulipweir/core/Ids.h"

#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace tulipweir::fleet::pack {

/// Thrown and caught within the codec only.
struct MalformedBytes {};

using Packer = msgpack::packer<msgpack::sbuffer>;
using msgpack::object;

inline void require(bool Holds) {
  if (!Holds)
    throw MalformedBytes{};
}

/// Defines how a T is written and read. The primary template handles structs,
/// which have a forEachField.
template <class T> struct Format {
  static void write(Packer &Out, const T &Value) {
    forEachField(const_cast<T &>(Value), [&](auto &...Fields) {
      Out.pack_array(sizeof...(Fields));
      (Format<std::remove_cvref_t<decltype(Fields)>>::write(Out, Fields), ...);
    });
  }
  static void read(const object &In, T &Value) {
    require(In.type == msgpack::type::ARRAY);
    forEachField(Value, [&](auto &...Fields) {
      require(In.via.array.size == sizeof...(Fields));
      const object *Next = In.via.array.ptr;
      (Format<std::remove_cvref_t<decltype(Fields)>>::read(*Next++, Fields),
       ...);
    });
  }
};

template <class T>
requires std::is_unsigned_v<T>
struct Format<T> {
  static void write(Packer &Out, T Value) { Out.pack(Value); }
  static void read(const object &In, T &Value) {
    if constexpr (std::is_same_v<T, bool>) {
      require(In.type == msgpack::type::BOOLEAN);
      Value = In.via.boolean;
    } else {
      require(In.type == msgpack::type::POSITIVE_INTEGER);
      require(In.via.u64 <= std::numeric_limits<T>::max());
      Value = static_cast<T>(In.via.u64);
    }
  }
};

template <> struct Format<double> {
  static void write(Packer &Out, double Value) { Out.pack(Value); }
  /// The library writes a whole number as an integer.
  static void read(const object &In, double &Value) {
    const bool Whole = In.type == msgpack::type::POSITIVE_INTEGER ||
                       In.type == msgpack::type::NEGATIVE_INTEGER;
    require(Whole || In.type == msgpack::type::FLOAT64);
    Value = In.as<double>();
  }
};

template <> struct Format<std::string> {
  static void write(Packer &Out, const std::string &Value) {
    Out.pack_bin(static_cast<std::uint32_t>(Value.size()));
    Out.pack_bin_body(Value.data(), static_cast<std::uint32_t>(Value.size()));
  }
  static void read(const object &In, std::string &Value) {
    require(In.type == msgpack::type::BIN);
    Value.assign(In.via.bin.ptr, In.via.bin.size);
  }
};

template <class Tag, class Rep> struct Format<Id<Tag, Rep>> {
  static void write(Packer &Out, const Id<Tag, Rep> &Value) {
    Format<Rep>::write(Out, Value.value());
  }
  static void read(const object &In, Id<Tag, Rep> &Value) {
    Rep Inner{};
    Format<Rep>::read(In, Inner);
    Value = Id<Tag, Rep>(std::move(Inner));
  }
};

template <std::size_t Size> struct Format<std::array<std::uint8_t, Size>> {
  using Bytes = std::array<std::uint8_t, Size>;
  static void write(Packer &Out, const Bytes &Value) {
    Out.pack_bin(Size);
    Out.pack_bin_body(reinterpret_cast<const char *>(Value.data()), Size);
  }
  static void read(const object &In, Bytes &Value) {
    require(In.type == msgpack::type::BIN && In.via.bin.size == Size);
    std::copy_n(In.via.bin.ptr, Size, Value.begin());
  }
};

template <class List> struct ListFormat {
  static void write(Packer &Out, const List &Value) {
    Out.pack_array(static_cast<std::uint32_t>(Value.size()));
    for (const auto &Entry : Value)
      Format<typename List::value_type>::write(Out, Entry);
  }
  static void read(const object &In, List &Value) {
    require(In.type == msgpack::type::ARRAY);
    for (std::uint32_t I = 0; I < In.via.array.size; ++I) {
      Value.emplace_back();
      Format<typename List::value_type>::read(In.via.array.ptr[I],
                                              Value.back());
    }
  }
};
template <class T>
struct Format<std::vector<T>> : ListFormat<std::vector<T>> {};
template <class T> struct Format<std::deque<T>> : ListFormat<std::deque<T>> {};

/// A map is an array of alternating keys and values, sorted by key.
template <class Key, class T> struct Format<std::map<Key, T>> {
  static void write(Packer &Out, const std::map<Key, T> &Value) {
    Out.pack_array(static_cast<std::uint32_t>(Value.size() * 2));
    for (const auto &[Name, Entry] : Value) {
      Format<Key>::write(Out, Name);
      Format<T>::write(Out, Entry);
    }
  }
  static void read(const object &In, std::map<Key, T> &Value) {
    require(In.type == msgpack::type::ARRAY && In.via.array.size % 2 == 0);
    for (std::uint32_t I = 0; I < In.via.array.size; I += 2) {
      Key Name{};
      Format<Key>::read(In.via.array.ptr[I], Name);
      require(Value.empty() || Value.rbegin()->first < Name);
      const auto Place = Value.try_emplace(Value.end(), std::move(Name));
      Format<T>::read(In.via.array.ptr[I + 1], Place->second);
    }
  }
};

template <class T> struct Format<std::optional<T>> {
  static void write(Packer &Out, const std::optional<T> &Value) {
    if (Value)
      Format<T>::write(Out, *Value);
    else
      Out.pack_nil();
  }
  static void read(const object &In, std::optional<T> &Value) {
    if (In.type == msgpack::type::NIL)
      return Value.reset();
    Format<T>::read(In, Value.emplace());
  }
};

template <class T> std::string encode(const T &Value) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Format<T>::write(Out, Value);
  return std::string(Buffer.data(), Buffer.size());
}

/// Calls Read with the parsed bytes; fails with Malformed if they do not match
/// the type.
template <class Function>
Outcome<void> parse(std::string_view Bytes, Function Read) {
  static constexpr std::size_t MaxDepth = 16;
  // An array header cannot announce more entries than there are bytes.
  const std::size_t Most = Bytes.size();
  const msgpack::unpack_limit Limits(Most, 0, Most, Most, 0, MaxDepth);
  try {
    std::size_t Offset = 0;
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset,
                                        nullptr, nullptr, Limits);
    require(Offset == Bytes.size());
    Read(Handle.get());
    return succeed();
  } catch (const MalformedBytes &) {
  } catch (const msgpack::unpack_error &) {
  }
  return fail(ErrorCode::Malformed, "malformed encoding of a fleet value");
}

} // namespace tulipweir::fleet::pack

#endif // TULIPWEIR_SRC_FLEET_PACK_H
