#include "tulipweir/net/Endpoint.h"

#include "net/Convert.h"

#include <charconv>

using namespace tulipweir;
using namespace tulipweir::net;

static Outcome<Endpoint> failParse(std::string_view Text) {
  return fail(ErrorCode::InvalidArgument,
              "\"" + std::string(Text) +
                  "\" is no address; allowed: ip:port or [ipv6]:port");
}

Outcome<Endpoint> Endpoint::parse(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return failParse(Text);
  std::string_view Host = Text.substr(0, Colon);
  const bool Bracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Problem;
  auto Address = boost::asio::ip::make_address(std::string(Host), Problem);
  if (Problem || Address.is_v6() != Bracketed)
    return failParse(Text);
  const char *End = Text.data() + Text.size();
  std::uint16_t Port = 0;
  auto [Last, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Code != std::errc() || Last != End)
    return failParse(Text);
  return Endpoint{Address.to_string(), Port};
}

std::string Endpoint::toString() const {
  const bool IsV6 = Address_.find(':') != std::string::npos;
  return (IsV6 ? "[" + Address_ + "]" : Address_) + ":" + std::to_string(Port_);
}

Outcome<boost::asio::ip::tcp::endpoint>
net::toAsioEndpoint(const Endpoint &From) {
  boost::system::error_code Problem;
  auto Address = boost::asio::ip::make_address(From.Address_, Problem);
  if (Problem)
    return fail(ErrorCode::InvalidArgument,
                "\"" + From.Address_ + "\" is no IP number");
  return boost::asio::ip::tcp::endpoint(Address, From.Port_);
}

Endpoint net::toEndpoint(const boost::asio::ip::tcp::endpoint &From) {
  return {From.address().to_string(), From.port()};
}
