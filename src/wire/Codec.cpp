#include "tulipweir/wire/Codec.h"

#include "tulipweir/wire/Messages.h"
#include "wire/Fields.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <msgpack.hpp>

using namespace tulipweir;
using namespace tulipweir::wire;

/// Elements in one array. The largest real ones are the routes of a data
/// centre and the inventory of a backend server, some thousands.
static constexpr std::size_t MaxElements = 1 << 18;
/// Deepest real message: reply, routes, route, services, service.
static constexpr std::size_t MaxDepth = 8;

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
  namespace adaptor {

  template <class Tag, class Rep> struct pack<Id<Tag, Rep>> {
    template <class Stream>
    packer<Stream> &operator()(packer<Stream> &To, const Id<Tag, Rep> &Value) {
      return To.pack(Value.value());
    }
  };

  template <class Tag, class Rep> struct convert<Id<Tag, Rep>> {
    const msgpack::object &operator()(const msgpack::object &From,
                                      Id<Tag, Rep> &Value) {
      Value = Id<Tag, Rep>(From.as<Rep>());
      return From;
    }
  };

  template <class T>
  requires std::is_enum_v<T>
  struct pack<T> {
    template <class Stream>
    packer<Stream> &operator()(packer<Stream> &To, T Value) {
      return To.pack(static_cast<std::underlying_type_t<T>>(Value));
    }
  };

  template <class T>
  requires std::is_enum_v<T>
  struct convert<T> {
    const msgpack::object &operator()(const msgpack::object &From, T &Value) {
      auto Number = From.as<std::underlying_type_t<T>>();
      if (static_cast<T>(Number) > getLast(T()))
        throw type_error();
      Value = static_cast<T>(Number);
      return From;
    }
  };

  template <Described T> struct pack<T> {
    template <class Stream>
    packer<Stream> &operator()(packer<Stream> &To, const T &Value) {
      std::apply(
          [&To](const auto &...Field) {
            To.pack_array(sizeof...(Field));
            (To.pack(Field), ...);
          },
          listFields(Value));
      return To;
    }
  };

  template <Described T> struct convert<T> {
    const msgpack::object &operator()(const msgpack::object &From, T &Value) {
      auto Fields = listFields(Value);
      if (From.type != type::ARRAY ||
          From.via.array.size != std::tuple_size_v<decltype(Fields)>)
        throw type_error();
      const msgpack::object *Next = From.via.array.ptr;
      std::apply([&Next](auto &...Field) { ((*Next++).convert(Field), ...); },
                 Fields);
      return From;
    }
  };

  } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace {

/// Lets msgpack write straight into a string.
struct StringStream {
  std::string &Text_;
  void write(const char *Data, std::size_t Size) { Text_.append(Data, Size); }
};

} // namespace

/// Strings point into the input until they are converted.
static bool keepsReference(msgpack::type::object_type, std::size_t, void *) {
  return true;
}

template <class Message> std::string wire::encode(const Message &Value) {
  std::string Bytes;
  StringStream Stream{Bytes};
  msgpack::pack(Stream, Value);
  return Bytes;
}

template <class Message> Outcome<Message> wire::decode(std::string_view Bytes) {
  // An element takes a byte at least, so a longer array is a lie; refusing it
  // by the limit keeps the library from allocating room for it.
  const std::size_t Elements = std::min(Bytes.size(), MaxElements);
  const msgpack::unpack_limit Limit(Elements, 0, Bytes.size(), Bytes.size(), 0,
                                    MaxDepth);
  try {
    std::size_t Offset = 0;
    msgpack::object_handle Handle = msgpack::unpack(
        Bytes.data(), Bytes.size(), Offset, keepsReference, nullptr, Limit);
    if (Offset != Bytes.size())
      return fail(ErrorCode::Malformed, "bytes left over after the message");
    Message Value;
    Handle.get().convert(Value);
    return Value;
  } catch (const std::exception &Problem) {
    return fail(ErrorCode::Malformed,
                std::string("not a message of this type: ") + Problem.what());
  }
}

#define TULIPWEIR_INSTANTIATE(TYPE)                                            \
  template std::string wire::encode<TYPE>(const TYPE &);                       \
  template Outcome<TYPE> wire::decode<TYPE>(std::string_view);

TULIPWEIR_INSTANTIATE(AttemptReport)
TULIPWEIR_INSTANTIATE(ServiceReport)
TULIPWEIR_INSTANTIATE(TaskCommand)
TULIPWEIR_INSTANTIATE(LeaseRenewal)
TULIPWEIR_INSTANTIATE(AnnouncementReply)
TULIPWEIR_INSTANTIATE(Announcement)
TULIPWEIR_INSTANTIATE(GrantHeld)
TULIPWEIR_INSTANTIATE(Route)
TULIPWEIR_INSTANTIATE(SignedBundle)
TULIPWEIR_INSTANTIATE(EntryReportReply)
TULIPWEIR_INSTANTIATE(EntryReport)
TULIPWEIR_INSTANTIATE(StoredAnswer)
TULIPWEIR_INSTANTIATE(BeginRequestReply)
TULIPWEIR_INSTANTIATE(BeginRequest)
TULIPWEIR_INSTANTIATE(RecordReply)
TULIPWEIR_INSTANTIATE(FinishRequest)
TULIPWEIR_INSTANTIATE(AbandonRequest)
TULIPWEIR_INSTANTIATE(OperatorAnswer)
TULIPWEIR_INSTANTIATE(OperatorCall)
TULIPWEIR_INSTANTIATE(FleetCommandReply)
TULIPWEIR_INSTANTIATE(FleetCommand)
TULIPWEIR_INSTANTIATE(ReplicationMessage)
TULIPWEIR_INSTANTIATE(AnnouncementBatch)
TULIPWEIR_INSTANTIATE(AnnouncementBatchReply)
