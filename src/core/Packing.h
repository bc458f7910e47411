//===- Packing.h - Strict msgpack for structs ------------------*- C++ -*-===//
//
// One list of fields per type serves both directions: a free function fields(X)
// in the type's namespace returns a tuple of references. Decoding is strict: an
// array of another length, a value out of range or trailing bytes are errors.
// Fields that were added to the end of a type which is stored may be missing in
// what was written before: optionalFields(X) says how many. They keep their
// defaults. Included by .cpp files only.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_CORE_PACKING_H
#define TULIPWEIR_SRC_CORE_PACKING_H

#include "tulipweir/core/Error.h"

#include <msgpack.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace tulipweir::packing {

using Packer = msgpack::packer<msgpack::sbuffer>;

// As few bytes as the value needs: most numbers are small, and one of fixed
// width takes nine bytes in every entry of the log and every frame.
inline void put(Packer &To, std::uint64_t X) { To.pack(X); }
inline void put(Packer &To, std::int64_t X) { To.pack(X); }
inline void put(Packer &To, bool X) { To.pack(X); }
inline void put(Packer &To, std::string_view X) {
  To.pack_bin(static_cast<std::uint32_t>(X.size()));
  To.pack_bin_body(X.data(), static_cast<std::uint32_t>(X.size()));
}
inline void put(Packer &To, const std::string &X) {
  put(To, std::string_view(X));
}
template <class T>
requires std::is_enum_v<T>
void put(Packer &To, T X) { To.pack_uint8(static_cast<std::uint8_t>(X)); }
template <class T> void put(Packer &To, const std::vector<T> &X);
template <class... T> void put(Packer &To, const std::variant<T...> &X);
template <class T>
requires requires(T &X) { fields(X); }
void put(Packer &To, const T &X) {
  // The list of fields is written once, for reading and writing alike.
  auto Fields = fields(const_cast<T &>(X));
  To.pack_array(std::tuple_size_v<decltype(Fields)>);
  std::apply([&](const auto &...Each) { (put(To, Each), ...); }, Fields);
}
template <class T> void put(Packer &To, const std::vector<T> &X) {
  To.pack_array(static_cast<std::uint32_t>(X.size()));
  for (const T &Each : X)
    put(To, Each);
}
template <class... T> void put(Packer &To, const std::variant<T...> &X) {
  To.pack_array(2);
  put(To, static_cast<std::uint64_t>(X.index()));
  std::visit([&](const auto &Each) { put(To, Each); }, X);
}

using Object = msgpack::object;

/// Throws what msgpack throws; unpack() turns that into an Error.
inline void require(bool IsMet) {
  if (!IsMet)
    throw msgpack::type_error();
}
inline void get(const Object &From, std::uint64_t &X) {
  require(From.type == msgpack::type::POSITIVE_INTEGER);
  X = From.via.u64;
}
inline void get(const Object &From, std::int64_t &X) {
  X = From.as<std::int64_t>();
}
inline void get(const Object &From, bool &X) { X = From.as<bool>(); }
inline void get(const Object &From, std::string &X) {
  require(From.type == msgpack::type::BIN);
  X.assign(From.via.bin.ptr, From.via.bin.size);
}
template <class T>
requires std::is_enum_v<T>
void get(const Object &From, T &X) {
  std::uint64_t Value = 0;
  get(From, Value);
  require(Value <= maxOf(T{}));
  X = static_cast<T>(Value);
}
template <class T> void get(const Object &From, std::vector<T> &X);
template <class... T> void get(const Object &From, std::variant<T...> &X);
template <class T>
requires requires(T &X) { fields(X); }
void get(const Object &From, T &X) {
  auto Fields = fields(X);
  constexpr std::size_t Most = std::tuple_size_v<decltype(Fields)>;
  std::size_t Least = Most;
  if constexpr (requires { optionalFields(X); })
    Least -= optionalFields(X);
  require(From.type == msgpack::type::ARRAY && From.via.array.size >= Least &&
          From.via.array.size <= Most);
  [[maybe_unused]] const Object *Next = From.via.array.ptr;
  [[maybe_unused]] const Object *const End = Next + From.via.array.size;
  const auto GetNext = [&Next, End](auto &Each) {
    if (Next != End)
      get(*Next++, Each);
  };
  std::apply([&](auto &...Each) { (GetNext(Each), ...); }, Fields);
}
template <class T> void get(const Object &From, std::vector<T> &X) {
  require(From.type == msgpack::type::ARRAY);
  X.resize(From.via.array.size);
  for (std::size_t Index = 0; Index < X.size(); ++Index)
    get(From.via.array.ptr[Index], X[Index]);
}
template <std::size_t At, class... T>
void getAlternative(const Object &From, std::uint64_t Kind,
                    std::variant<T...> &X) {
  if constexpr (At < sizeof...(T)) {
    if (Kind == At)
      return get(From, X.template emplace<At>());
    return getAlternative<At + 1>(From, Kind, X);
  }
  require(false);
}
template <class... T> void get(const Object &From, std::variant<T...> &X) {
  require(From.type == msgpack::type::ARRAY && From.via.array.size == 2);
  std::uint64_t Kind = 0;
  get(From.via.array.ptr[0], Kind);
  getAlternative<0>(From.via.array.ptr[1], Kind, X);
}

template <class T> std::string pack(const T &X) {
  msgpack::sbuffer Buffer;
  Packer To(Buffer);
  put(To, X);
  return std::string(Buffer.data(), Buffer.size());
}

/// Deeper than any of our types.
constexpr std::size_t MaxDepth = 16;

/// No more elements than bytes: a header that promises more than what follows
/// must not make the library reserve memory for it.
inline msgpack::unpack_limit makeLimit(std::size_t Bytes) {
  return msgpack::unpack_limit(Bytes, 0, 0, Bytes, 0, MaxDepth);
}

/// Fails with Malformed. What names the thing for the message.
template <class T>
Outcome<T> unpack(std::string_view Bytes, std::string_view What) {
  try {
    std::size_t Used = 0;
    msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), Used, nullptr, nullptr,
                        makeLimit(Bytes.size()));
    require(Used == Bytes.size());
    T X{};
    get(Handle.get(), X);
    return X;
  } catch (const std::exception &) {
    return fail(ErrorCode::Malformed, std::string(What) + " of " +
                                          std::to_string(Bytes.size()) +
                                          " bytes does not decode");
  }
}

} // namespace tulipweir::packing

#endif // TULIPWEIR_SRC_CORE_PACKING_H
