//===- Pack.h - Converts field lists to and from msgpack --------*- C++ -*-===//
//
// One field list per type serves both directions. Reading is strict: a
// different number of fields, a different type or an unknown enumerator throws
// msgpack::type_error, which the public codecs convert to an Outcome.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_DATACENTRE_PACK_H
#define TULIPWEIR_SRC_DATACENTRE_PACK_H

#include "tulipweir/core/Ids.h"

#include <msgpack.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace tulipweir::datacentre::pack {

template <class T, class U>
concept IsA = std::same_as<std::remove_const_t<T>, U>;

/// The number of enumerators of an enum whose values are 0, 1, 2 and so on.
template <class T> inline constexpr std::uint64_t EnumCount = 0;

/// Appends values to a string as msgpack objects.
class Writer {
public:
  template <class T> void write(const T &Value) { put(Value); }
  /// Writes the fields as one array.
  template <class... Ts> void operator()(const Ts &...Fields) {
    Packer_.pack_array(sizeof...(Fields));
    (put(Fields), ...);
  }
  std::string take() { return std::move(Out_.Bytes_); }

private:
  struct Sink {
    std::string Bytes_;
    void write(const char *Data, std::size_t Size) {
      Bytes_.append(Data, Size);
    }
  };

  template <class T>
  requires std::integral<T>
  void put(T Value) { Packer_.pack(Value); }
  template <class T>
  requires std::is_enum_v<T>
  void put(T Value) { Packer_.pack(static_cast<std::uint64_t>(Value)); }
  void put(const std::string &Value) { Packer_.pack(Value); }
  template <class Tag, class Rep> void put(const Id<Tag, Rep> &Value) {
    put(Value.value());
  }
  template <class T> void put(const std::optional<T> &Value) {
    if (Value)
      put(*Value);
    else
      Packer_.pack_nil();
  }
  template <class T> void put(const std::vector<T> &Values) {
    Packer_.pack_array(static_cast<std::uint32_t>(Values.size()));
    for (const T &Value : Values)
      put(Value);
  }
  template <class... Ts> void put(const std::variant<Ts...> &Value) {
    Packer_.pack_array(2);
    put(static_cast<std::uint64_t>(Value.index()));
    std::visit([this](const auto &Alternative) { this->put(Alternative); },
               Value);
  }
  template <class T>
  requires requires(Writer &W, const T &X) { fields(W, X); }
  void put(const T &Value) { fields(*this, Value); }

  Sink Out_;
  msgpack::packer<Sink> Packer_{Out_};
};

/// Reads one msgpack object; throws msgpack::type_error.
class Reader {
public:
  explicit Reader(const msgpack::object &Object) : Object_(Object) {}

  template <class T> static T read(const msgpack::object &Object) {
    T Value{};
    get(Object, Value);
    return Value;
  }
  template <class... Ts> void operator()(Ts &...Fields) {
    const msgpack::object *Next = enterArray(Object_, sizeof...(Fields));
    (get(*Next++, Fields), ...);
  }

private:
  static const msgpack::object *enterArray(const msgpack::object &Object,
                                           std::size_t Size) {
    if (Object.type != msgpack::type::ARRAY || Object.via.array.size != Size)
      throw msgpack::type_error();
    return Object.via.array.ptr;
  }
  template <class T>
  requires std::integral<T>
  static void get(const msgpack::object &Object, T &Value) {
    Object.convert(Value);
  }
  template <class T>
  requires std::is_enum_v<T>
  static void get(const msgpack::object &Object, T &Value) {
    const auto Number = Object.as<std::uint64_t>();
    if (Number >= EnumCount<T>)
      throw msgpack::type_error();
    Value = static_cast<T>(Number);
  }
  static void get(const msgpack::object &Object, std::string &Value) {
    if (Object.type != msgpack::type::STR)
      throw msgpack::type_error();
    Value.assign(Object.via.str.ptr, Object.via.str.size);
  }
  template <class Tag, class Rep>
  static void get(const msgpack::object &Object, Id<Tag, Rep> &Value) {
    Value = Id<Tag, Rep>(read<Rep>(Object));
  }
  template <class T>
  static void get(const msgpack::object &Object, std::optional<T> &Value) {
    if (Object.type != msgpack::type::NIL)
      Value = read<T>(Object);
  }
  template <class T>
  static void get(const msgpack::object &Object, std::vector<T> &Values) {
    if (Object.type != msgpack::type::ARRAY)
      throw msgpack::type_error();
    Values.reserve(Object.via.array.size);
    for (std::uint32_t I = 0; I < Object.via.array.size; ++I)
      Values.push_back(read<T>(Object.via.array.ptr[I]));
  }
  template <class... Ts>
  static void get(const msgpack::object &Object, std::variant<Ts...> &Value) {
    const msgpack::object *Parts = enterArray(Object, 2);
    const auto Index = read<std::uint64_t>(Parts[0]);
    bool Matched = false;
    std::uint64_t Position = 0;
    ((Position++ == Index ? (Value = read<Ts>(Parts[1]), Matched = true)
                          : false),
     ...);
    if (!Matched)
      throw msgpack::type_error();
  }
  template <class T>
  requires requires(Reader &R, T &X) { fields(R, X); }
  static void get(const msgpack::object &Object, T &Value) {
    Reader Inner(Object);
    fields(Inner, Value);
  }

  const msgpack::object &Object_;
};

/// Reads consecutive msgpack objects from a buffer. Throws msgpack exceptions.
class Stream {
public:
  explicit Stream(std::string_view Bytes) : Bytes_(Bytes) {}

  template <class T> T next() {
    // An array cannot have more elements than there are bytes. This limit keeps
    // a forged size from reserving memory.
    const std::size_t MaxSize = Bytes_.size();
    const msgpack::unpack_limit Limit(MaxSize, MaxSize, MaxSize, MaxSize,
                                      MaxSize, 16);
    const msgpack::object_handle Handle = msgpack::unpack(
        Bytes_.data(), Bytes_.size(), Offset_, nullptr, nullptr, Limit);
    return Reader::read<T>(Handle.get());
  }
  std::string_view rest() const { return Bytes_.substr(Offset_); }
  /// Throws unless every byte was read.
  void expectEnd() const {
    if (Offset_ != Bytes_.size())
      throw msgpack::type_error();
  }

private:
  std::string_view Bytes_;
  std::size_t Offset_ = 0;
};

} // namespace tulipweir::datacentre::pack

#endif // TULIPWEIR_SRC_DATACENTRE_PACK_H
