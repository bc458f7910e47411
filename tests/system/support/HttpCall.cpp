#include "system/support/HttpCall.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

using namespace tulipweir;
using namespace tulipweir::system_test;

static int connectTo(const std::string &Host, std::uint16_t Port,
                     Milliseconds Limit) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval Time{Limit.count() / 1000, (Limit.count() % 1000) * 1000};
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Time, sizeof(Time));
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Time, sizeof(Time));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  ::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

static std::string exchangeBytes(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        ::send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      break;
    Sent += static_cast<std::size_t>(Count);
  }
  std::string Received;
  char Buffer[16384];
  for (;;) {
    ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return Received;
    Received.append(Buffer, static_cast<std::size_t>(Count));
  }
}

static std::string writeCall(const HttpCall &What) {
  std::ostringstream Text;
  Text << What.Method_ << " " << What.Path_ << " HTTP/1.1\r\n"
       << (What.Headers_.count("Host") ? "" : "Host: 127.0.0.1\r\n")
       << "Connection: close\r\n"
       << "Content-Length: " << What.Body_.size() << "\r\n";
  for (const auto &[Name, Value] : What.Headers_)
    Text << Name << ": " << Value << "\r\n";
  Text << "\r\n" << What.Body_;
  return Text.str();
}

static std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Each) { return std::tolower(Each); });
  return Text;
}

static HttpAnswer readAnswer(const std::string &Bytes) {
  std::size_t HeadEnd = Bytes.find("\r\n\r\n");
  if (HeadEnd == std::string::npos || Bytes.rfind("HTTP/1.1 ", 0) != 0)
    return {};
  HttpAnswer Answer;
  std::istringstream Head(Bytes.substr(0, HeadEnd));
  std::string Line;
  std::getline(Head, Line);
  while (std::getline(Head, Line)) {
    std::size_t Colon = Line.find(':');
    std::string Value = Line.substr(Colon + 1);
    Value.erase(0, Value.find_first_not_of(' '));
    Value.erase(Value.find_last_not_of('\r') + 1);
    Answer.Headers_[toLower(Line.substr(0, Colon))] = Value;
  }
  Answer.Body_ = Bytes.substr(HeadEnd + 4);
  bool Whole =
      Answer.header("content-length").empty() ||
      std::stoull(Answer.header("content-length")) == Answer.Body_.size();
  if (Whole)
    Answer.Status_ = std::stoi(Bytes.substr(9, 3));
  return Answer;
}

HttpAnswer system_test::call(std::uint16_t Port, const HttpCall &What) {
  int Socket = connectTo(What.Address_, Port, What.Limit_);
  if (Socket < 0)
    return {};
  std::string Bytes = exchangeBytes(Socket, writeCall(What));
  ::close(Socket);
  HttpAnswer Answer = readAnswer(Bytes);
  Answer.Connected_ = true;
  return Answer;
}

HttpAnswer system_test::get(std::uint16_t Port, const std::string &Path) {
  HttpCall What;
  What.Path_ = Path;
  return call(Port, What);
}

HttpAnswer system_test::post(std::uint16_t Port, const std::string &Path,
                             const std::string &Body) {
  HttpCall What;
  What.Method_ = "POST";
  What.Path_ = Path;
  What.Body_ = Body;
  What.Headers_["Content-Type"] = "application/json";
  return call(Port, What);
}
