// Blocking HTTP/1.1 on loopback sockets, as far as the stand-ins need it.
#ifndef REVIEW_STAND_INS_HTTP_H_
#define REVIEW_STAND_INS_HTTP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "record.h"

namespace review {

struct Message {
  // The first line, without its end.
  std::string first;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  // The status of a response, 0 if it has none.
  int Status() const;
  // Method, and target of a request.
  std::string Method() const;
  std::string Target() const;
};

// Listens at a loopback address. Returns -1 on failure.
int Listen(const std::string& address, uint16_t port);

// Connects, within `seconds`. Returns -1 on failure.
int Connect(const std::string& address, uint16_t port, double seconds);

bool SendAll(int socket, const std::string& bytes);

// Whether the peer has closed or reset the connection.
bool IsClosed(int socket);

// Reads messages from a socket.
class Reader final {
 public:
  explicit Reader(int socket) : socket_(socket) {}

  // Reads one message until `deadline`. Returns false if none came whole. A
  // response without a length ends with its connection.
  bool Read(TimePoint deadline, bool is_response, Message* message);

  // Whether some bytes of the current message have come.
  bool has_bytes() const { return !buffer_.empty(); }

 private:
  bool Fill(TimePoint deadline);

  const int socket_;
  std::string buffer_;
};

// Serves connections at an address, a thread each.
class Server final {
 public:
  using Handler = std::function<void(int socket)>;

  Server(const std::string& address, uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool ok() const { return listener_ >= 0; }
  // Stops listening and ends all connections.
  void Stop();

 private:
  void Accept();

  const Handler handler_;
  int listener_ = -1;
  bool stopped_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

std::string Response(int status,
                     const std::vector<std::string>& headers,
                     const std::string& body);

}  // namespace review

#endif  // REVIEW_STAND_INS_HTTP_H_
