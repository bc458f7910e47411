//===- LinkConnection.h - One connection of a link -------------*- C++ -*-===//
//
// Both sides' part of a link: the handshake, then frames. What is sent while a
// write is under way goes out together in the next one. Private to the net
// module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_LINKCONNECTION_H
#define TULIPWEIR_SRC_NET_LINKCONNECTION_H

#include "net/Convert.h"
#include "net/LinkFrame.h"
#include "net/LinkHandshake.h"
#include "tulipweir/net/Link.h"

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <mutex>
#include <optional>

namespace tulipweir::net {

/// The counters of one side, over all its connections. Thread-safe.
struct LinkTally {
  std::atomic<std::uint64_t> FramesSent_{0};
  std::atomic<std::uint64_t> FramesReceived_{0};
  std::atomic<std::uint64_t> BytesSent_{0};
  std::atomic<std::uint64_t> BytesReceived_{0};
  std::atomic<std::uint64_t> HandshakesRefused_{0};
  std::atomic<std::uint64_t> FramesMalformed_{0};

  LinkCounters read() const;
};

class LinkConnection : public std::enable_shared_from_this<LinkConnection> {
public:
  using Pointer = std::shared_ptr<LinkConnection>;
  /// What the owner wants to know; all are called on the strand. OnClosed_ is
  /// called exactly once and is the last.
  struct Events {
    std::function<void(const Pointer &)> OnOpen_;
    std::function<void(const Pointer &, LinkFrame)> OnFrame_;
    std::function<void(const Pointer &, const Error &)> OnClosed_;
  };

  LinkConnection(Socket Peer, LinkRole Role, const LinkSettings &Settings,
                 std::shared_ptr<LinkTally> Tally, Events Owner);

  // Each may be called from any thread.

  /// Server: begins the handshake on an accepted socket.
  void start();
  /// Client: connects, then begins the handshake.
  void connect(const boost::asio::ip::tcp::endpoint &To);
  void close(Error Why);
  /// Queues a frame. Returns the number of the write that will carry it, or 0
  /// if it was not taken: the connection is closed or too much is waiting.
  std::uint64_t send(wire::MessageKind Kind, FrameType Type, std::uint64_t Call,
                     std::string_view Body);
  /// Whether the write of that number has begun.
  bool hasBegun(std::uint64_t Write) const { return Write <= Begun_; }

private:
  void watchHandshake();
  void openSocket();
  void sendHello(const LinkHello &Hello);
  void readHello();
  void onHello();
  Outcome<LinkHello> takeStep(const LinkHello &Theirs);
  void refuse(const Error &Why);
  void open();
  void watchLife();
  void lookForLife();
  void sendSign(FrameType Type);
  bool takeSignOfLife(const LinkFrame &Frame);
  void read();
  void onRead(boost::system::error_code Problem, std::size_t Size);
  void flush();
  void onFlushed(boost::system::error_code Problem);
  void closeNow(const Error &Why);

  Socket Socket_;
  Timer Timer_;
  const LinkRole Role_;
  const LinkSettings Settings_;
  const std::shared_ptr<LinkTally> Tally_;
  Events Owner_;
  LinkHandshake Handshake_;
  unsigned Step_ = 0;
  bool Opened_ = false;
  bool HasHeard_ = false;    ///< Since the last look for life.
  unsigned SilentLooks_ = 0; ///< In a row.
  std::optional<Error> ClosesAfterWrite_;
  std::array<char, HelloBytes> Hello_{};
  boost::beast::flat_buffer Input_;

  std::mutex OutLock_;
  bool Closed_ = false;   ///< Under OutLock_.
  bool Flushing_ = false; ///< Under OutLock_.
  std::string Pending_;   ///< Under OutLock_: goes out with the next write.
  std::string Writing_;   ///< Touched on the strand only.
  std::atomic<std::uint64_t> Begun_{0};
};

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_LINKCONNECTION_H
