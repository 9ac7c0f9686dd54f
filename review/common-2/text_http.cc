#include "text_http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace review {

namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

void SleepUntil(double time) {
  Sleep(time - Now());
}

int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(fd, 256) != 0) {
    std::fprintf(stderr, "cannot listen on %s: %s\n", address.Text().c_str(),
                 std::strerror(errno));
    std::exit(2);
  }
  return fd;
}

int Connect(const Address& to, double timeout) {
  return ConnectWithWindow(to, timeout, 0);
}

int ConnectWithWindow(const Address& to, double timeout, int window) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (window > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
  }
  const sockaddr_in peer = ToSocketAddress(to);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
          0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  pollfd waiting{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (poll(&waiting, 1, static_cast<int>(timeout * 1000)) != 1 ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

void SetReadTimeout(int fd, double seconds) {
  timeval timeout{};
  timeout.tv_sec = static_cast<time_t>(seconds);
  timeout.tv_usec = static_cast<suseconds_t>(
      (seconds - static_cast<double>(timeout.tv_sec)) * 1e6);
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

bool SendAll(int fd, const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<size_t>(size);
  }
  return true;
}

int Message::Status() const {
  return std::atoi(second.c_str());
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

bool Reader::Fill() {
  char bytes[65536];
  const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(size));
  return true;
}

bool Reader::ReadLine(std::string* line) {
  size_t end;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill()) {
      return false;
    }
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Reader::ReadBytes(size_t size, std::string* bytes) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      return false;
    }
  }
  bytes->append(buffer_, 0, size);
  buffer_.erase(0, size);
  return true;
}

std::optional<Message> Reader::Read() {
  Message message;
  std::string line;
  if (!ReadLine(&line)) {
    return std::nullopt;
  }
  const size_t a = line.find(' ');
  const size_t b = a == std::string::npos ? a : line.find(' ', a + 1);
  if (a == std::string::npos) {
    return std::nullopt;
  }
  message.first = line.substr(0, a);
  message.second = line.substr(a + 1, b == std::string::npos ? b : b - a - 1);
  message.third = b == std::string::npos ? "" : line.substr(b + 1);
  while (true) {
    if (!ReadLine(&line)) {
      return std::nullopt;
    }
    if (line.empty()) {
      break;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t begin = line.find_first_not_of(" \t", colon + 1);
    message.headers[name] =
        begin == std::string::npos ? "" : line.substr(begin);
  }
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      if (!ReadLine(&line)) {
        return std::nullopt;
      }
      const size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        while (ReadLine(&line) && !line.empty()) {
        }
        return message;
      }
      if (!ReadBytes(size, &message.body) || !ReadLine(&line)) {
        return std::nullopt;
      }
    }
  }
  const std::string length = message.Header("content-length");
  if (!length.empty() &&
      !ReadBytes(std::strtoul(length.c_str(), nullptr, 10), &message.body)) {
    return std::nullopt;
  }
  return message;
}

std::string Response(int status,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body) {
  const char* const reason = status == 200   ? "OK"
                             : status == 201 ? "Created"
                             : status == 404 ? "Not Found"
                             : status == 409 ? "Conflict"
                             : status == 503 ? "Service Unavailable"
                                             : "Other";
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

}  // namespace review
