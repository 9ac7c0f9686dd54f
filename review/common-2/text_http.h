// Minimal blocking HTTP/1.1 for the stand-ins of the second review.
#ifndef REVIEW_COMMON_2_TEXT_HTTP_H_
#define REVIEW_COMMON_2_TEXT_HTTP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

// Seconds since the process started.
double Now();
void SleepUntil(double time);
void Sleep(double seconds);

struct Address {
  std::string ip;
  uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Opens a listening socket; exits with code 2 if the address is not free.
int Listen(const Address& address);
// Returns -1 if no connection was made within `timeout` seconds.
int Connect(const Address& to, double timeout);
// The same with a receive window of at most `window` bytes.
int ConnectWithWindow(const Address& to, double timeout, int window);
void SetReadTimeout(int fd, double seconds);
bool SendAll(int fd, const std::string& bytes);

struct Message {
  // Request line or status line, split at the spaces.
  std::string first;
  std::string second;
  std::string third;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  int Status() const;
  std::string Header(const std::string& name) const;
};

// Reads messages with a length, in chunks or without a body from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Returns std::nullopt at the end of the stream, after a time-out or if the
  // bytes are no message.
  std::optional<Message> Read();
  bool HasBytes() const { return !buffer_.empty(); }

 private:
  bool Fill();
  bool ReadLine(std::string* line);
  bool ReadBytes(size_t size, std::string* bytes);

  int fd_;
  std::string buffer_;
};

std::string Response(int status,
                     const std::map<std::string, std::string>& headers,
                     const std::string& body);

}  // namespace review

#endif  // REVIEW_COMMON_2_TEXT_HTTP_H_
