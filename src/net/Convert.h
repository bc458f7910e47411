//===- Convert.h - Between our values and Asio's ---------------*- C++ -*-===//
//
// Private to the net module.
//
//===----------------------------------------------------------------------===//

#ifndef TULIPWEIR_SRC_NET_CONVERT_H
#define TULIPWEIR_SRC_NET_CONVERT_H

#include "tulipweir/core/Time.h"
#include "tulipweir/net/Endpoint.h"

#include <utility>

#include <boost/asio.hpp>

namespace tulipweir::net {

Outcome<boost::asio::ip::tcp::endpoint> toAsioEndpoint(const Endpoint &From);
Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint &From);

/// The executor of one connection. The concrete type, since Asio's
/// type-erased executors cost an allocation on the hot path.
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
using Timer = boost::asio::basic_waitable_timer<
    BootClock, boost::asio::wait_traits<BootClock>, Strand>;
using Acceptor =
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Strand>;

} // namespace tulipweir::net

#endif // TULIPWEIR_SRC_NET_CONVERT_H
