#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace review {

namespace {

sockaddr_in AddressOf(const std::string& address, uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

int MillisUntil(TimePoint deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  return static_cast<int>(std::max<int64_t>(left.count() + 1, 0));
}

}  // namespace

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

int Message::Status() const {
  return first.starts_with("HTTP/1.1 ") ? std::atoi(first.c_str() + 9) : 0;
}

std::string Message::Method() const {
  return first.substr(0, first.find(' '));
}

std::string Message::Target() const {
  const size_t begin = first.find(' ');
  const size_t end = first.rfind(' ');
  return begin == end ? "" : first.substr(begin + 1, end - begin - 1);
}

int Listen(const std::string& address, uint16_t port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in to = AddressOf(address, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

int Connect(const std::string& address, uint16_t port, double seconds) {
  const int result =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in to = AddressOf(address, port);
  if (connect(result, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    pollfd ready{result, POLLOUT, 0};
    int error = errno == EINPROGRESS ? 0 : errno;
    socklen_t size = sizeof(error);
    if (error != 0 || poll(&ready, 1, static_cast<int>(seconds * 1000)) != 1 ||
        getsockopt(result, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(result);
      return -1;
    }
  }
  const int on = 1;
  setsockopt(result, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return result;
}

bool SendAll(int socket, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size > 0) {
      sent += static_cast<size_t>(size);
      continue;
    }
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      pollfd ready{socket, POLLOUT, 0};
      if (poll(&ready, 1, 5000) == 1) {
        continue;
      }
    }
    return false;
  }
  return true;
}

bool IsClosed(int socket) {
  char byte = 0;
  const ssize_t size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

bool Reader::Fill(TimePoint deadline) {
  pollfd ready{socket_, POLLIN, 0};
  char bytes[16384];
  while (poll(&ready, 1, MillisUntil(deadline)) == 1) {
    const ssize_t size = recv(socket_, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (size > 0) {
      buffer_.append(bytes, static_cast<size_t>(size));
      return true;
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
  return false;
}

bool Reader::Read(TimePoint deadline, bool is_response, Message* message) {
  *message = {};
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(deadline)) {
      return false;
    }
  }
  const std::string head = buffer_.substr(0, end);
  buffer_.erase(0, end + 4);
  size_t at = head.find("\r\n");
  message->first = head.substr(0, at);
  while (at != std::string::npos) {
    const size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    message->headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const std::string length = message->Header("content-length");
  if (!length.empty()) {
    const size_t size = std::strtoull(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Fill(deadline)) {
        return false;
      }
    }
    message->body = buffer_.substr(0, size);
    buffer_.erase(0, size);
  } else if (is_response && message->Status() != 204) {
    while (Fill(deadline)) {
    }
    message->body = std::exchange(buffer_, {});
  }
  return true;
}

Server::Server(const std::string& address, uint16_t port, Handler handler)
    : handler_(std::move(handler)), listener_(Listen(address, port)) {
  if (listener_ >= 0) {
    acceptor_ = std::thread([this] { Accept(); });
  }
}

Server::~Server() {
  Stop();
}

void Server::Accept() {
  while (true) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (accepted < 0 || stopped_) {
      if (accepted >= 0) {
        close(accepted);
      }
      return;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockets_.insert(accepted);
    threads_.emplace_back([this, accepted] {
      handler_(accepted);
      const std::lock_guard<std::mutex> inner_lock(mutex_);
      sockets_.erase(accepted);
      close(accepted);
    });
  }
}

void Server::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_ || listener_ < 0) {
      return;
    }
    stopped_ = true;
    shutdown(listener_, SHUT_RDWR);
    for (const int socket : sockets_) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  acceptor_.join();
  close(listener_);
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

std::string Response(int status,
                     const std::vector<std::string>& headers,
                     const std::string& body) {
  std::string result = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const std::string& header : headers) {
    result += header + "\r\n";
  }
  return result + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace review
