//===- CommandBytes.h - The bytes of one command ---------------*- C++ -*-===//
//
// An entry is in the log, in a queue of the writer and in messages at the same
// time. Its copies share one immutable buffer.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_REPLICATION_COMMANDBYTES_H
#define TULIPWEIR_REPLICATION_COMMANDBYTES_H

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace tulipweir::replication {

/// Copies may be used by several threads at once.
class CommandBytes {
public:
  CommandBytes() = default;
  CommandBytes(std::string Bytes) {
    if (!Bytes.empty())
      Bytes_ = std::make_shared<const std::string>(std::move(Bytes));
  }
  CommandBytes(const char *Bytes) : CommandBytes(std::string(Bytes)) {}

  std::string_view view() const {
    return Bytes_ ? std::string_view(*Bytes_) : std::string_view();
  }
  std::size_t size() const { return view().size(); }
  bool operator==(const CommandBytes &Other) const {
    return view() == Other.view();
  }

private:
  std::shared_ptr<const std::string> Bytes_; ///< Null if there are none.
};

} // namespace tulipweir::replication

#endif // TULIPWEIR_REPLICATION_COMMANDBYTES_H
