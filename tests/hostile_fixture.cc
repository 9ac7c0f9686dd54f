#include "hostile_fixture.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace dragonflytack {

namespace {

// Time after which a connection that takes no more bytes has stopped reading.
constexpr Milliseconds kNoProgress{1'500};
// The same for a connection whose successor waits for it.
constexpr Milliseconds kNoProgressOfOne{200};
constexpr Milliseconds kStartLimit{30'000};
constexpr Milliseconds kAnswerLimit{20'000};
constexpr size_t kBlockBytes = 65'536;

std::string Program(const std::string& name) {
  return std::filesystem::read_symlink("/proc/self/exe")
      .replace_filename(name)
      .string();
}

}  // namespace

// One connection of a crowd.
class Sender final {
 public:
  Sender(const std::string& address, uint16_t port, const HostileInput& input)
      : input_(&input),
        socket_(std::make_unique<Socket>(address, port)),
        pending_(input.prefix) {
    if (socket_->fd() < 0) {
      done_ = true;
      return;
    }
    fcntl(socket_->fd(), F_SETFL, O_NONBLOCK);
    const int on = 1;
    setsockopt(socket_->fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    block_ = input.unit;
    while (!input.separate_segments && !block_.empty() &&
           block_.size() < kBlockBytes) {
      block_ += input.unit;
    }
  }

  bool done() const { return done_; }

  // Sends what the socket takes, at most one block. Returns whether it took
  // any.
  bool Step() {
    if (done_) {
      return false;
    }
    if (pending_.empty()) {
      if (block_.empty() || sent_ >= input_->bytes) {
        done_ = true;
        return false;
      }
      pending_ = block_.substr(0, input_->bytes - sent_);
    }
    const ssize_t size = send(socket_->fd(), pending_.data(), pending_.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0) {
      done_ = errno != EAGAIN;
      return false;
    }
    pending_.erase(0, static_cast<size_t>(size));
    sent_ += static_cast<size_t>(size);
    return true;
  }

 private:
  const HostileInput* input_;
  std::unique_ptr<Socket> socket_;
  std::string block_;
  std::string pending_;
  size_t sent_ = 0;
  bool done_ = false;
};

HostileFixture::HostileFixture(const std::string& program, int max_pipelined)
    : address_(LoopbackAddress(0)) {
  std::string directory = "/tmp/dragonflytack_test_XXXXXX";
  cr_assert(mkdtemp(directory.data()) != nullptr);
  directory_ = directory;
  const std::string store = address_ + ":7006";
  std::ofstream(directory_ + "/node.ini") << fmt::format(
      "[node]\nid=n1\nregion=r\ndata_centre=d\naddress={}\n"
      "service=roster\ncall_port={}\nmesh_port={}\npeer_port={}\n"
      "admin_port={}\nready_port={}\ntarget_port={}\n[store]\n"
      "address={}\nport=7006\nregion=r\n[calls]\nmax_buffered_mb={}\n"
      "max_pipelined={}\n",
      address_, kCallPort, kMeshPort, kPeerPort, kAdminPort, kReadyPort,
      kTargetPort, address_, kBudgetBytes >> 20, max_pipelined);
  store_ = ChildProcess::Start({Program("store_standin"), "--listen", store,
                                "--admin", address_ + ":7007"},
                               directory_ + "/store.log");
  daemon_ = ChildProcess::Start(
      {"/bin/sh", "-c",
       fmt::format("ulimit -n {} && exec {} --config {}/node.ini",
                   kDescriptorLimit, Program(program), directory_)},
      directory_ + "/node.log");
  cr_assert(store_.has_value() && daemon_.has_value());
  if (program == "dragonflytackd") {
    ImportTable();
  }
}

HostileFixture::~HostileFixture() {
  target_.reset();
  daemon_.reset();
  store_.reset();
  std::filesystem::remove_all(directory_);
}

void HostileFixture::ImportTable() {
  target_ = ChildProcess::Start(
      {Program("target_standin"), "--service", "roster", "--listen",
       address_ + ":7005", "--admin", address_ + ":7004"},
      directory_ + "/target.log");
  cr_assert(target_.has_value());
  std::ofstream(directory_ + "/table.csv")
      << "service,kind,weights\nroster,idempotent,r=100\n";
  const TimePoint end = std::chrono::steady_clock::now() + kStartLimit;
  for (bool served = false; !served;) {
    cr_assert(std::chrono::steady_clock::now() < end, "no call was served");
    auto import = ChildProcess::Start(
        {Program("dragonflytack"), "import", directory_ + "/table.csv",
         "--store", address_ + ":7006", "--node", address_ + ":7004",
         "--author", "test"},
        directory_ + "/import.log");
    import->WaitExit(5'000);
    for (int i = 0; i < 20 && !served; ++i) {
      std::this_thread::sleep_for(Milliseconds(50));
      const Socket caller(address_, kCallPort);
      if (caller.fd() >= 0) {
        caller.Send("GET /roster/a HTTP/1.1\r\nHost: h\r\n\r\n");
        served = caller.Receive(Milliseconds(2'000)).status == 200;
      }
    }
  }
}

size_t HostileFixture::ReadStatus(const std::string& name) const {
  std::ifstream file(fmt::format("/proc/{}/status", daemon_->pid()));
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name + ":")) {
      return std::stoul(line.substr(name.size() + 1)) << 10;
    }
  }
  return 0;
}

int HostileFixture::CountDescriptors() const {
  std::error_code error;
  int count = 0;
  for (std::filesystem::directory_iterator
           it(fmt::format("/proc/{}/fd", daemon_->pid()), error),
       end;
       it != end && !error; it.increment(error)) {
    ++count;
  }
  return count;
}

void HostileFixture::ExpectAnswer(uint16_t port,
                                  const std::string& request) const {
  const Socket client(address_, port);
  cr_assert_geq(client.fd(), 0, "port %d accepts no connection", port);
  client.Send(request);
  const HttpReply reply = client.Receive(kAnswerLimit);
  constexpr int kServerError = 500;
  cr_expect(reply.status != 0 && reply.status < kServerError,
            "port %d: status %d, \"%s\"", port, reply.status,
            reply.body.c_str());
}

int HostileFixture::SendOneAfterAnother(uint16_t port,
                                        const HostileInput& input,
                                        std::deque<Sender>* senders) const {
  int descriptors = 0;
  for (int i = 0; i < input.connections; ++i) {
    if (i >= input.kept_open) {
      senders->pop_front();
    }
    Sender& sender = senders->emplace_back(address_, port, input);
    TimePoint progress = std::chrono::steady_clock::now();
    while (!sender.done() &&
           std::chrono::steady_clock::now() < progress + kNoProgressOfOne) {
      if (sender.Step()) {
        progress = std::chrono::steady_clock::now();
      }
    }
    descriptors = std::max(descriptors, CountDescriptors());
    std::this_thread::sleep_for(input.pause);
  }
  return descriptors;
}

void HostileFixture::Check(uint16_t port,
                           const std::vector<HostileInput>& inputs,
                           const std::string& request) {
  for (int i = 0; Socket(address_, port).fd() < 0; ++i) {
    cr_assert_lt(i, 300, "port %d is not open", port);
    std::this_thread::sleep_for(Milliseconds(100));
  }
  ExpectAnswer(port, request);
  const size_t memory = ReadStatus("VmRSS");
  int descriptors = 0;
  std::deque<Sender> senders;
  for (const HostileInput& input : inputs) {
    if (input.one_after_another) {
      descriptors =
          std::max(descriptors, SendOneAfterAnother(port, input, &senders));
      continue;
    }
    for (int i = 0; i < input.connections; ++i) {
      senders.emplace_back(address_, port, input);
    }
  }
  TimePoint progress = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < progress + kNoProgress) {
    bool sent = false;
    for (Sender& sender : senders) {
      sent |= sender.Step();
    }
    descriptors = std::max(descriptors, CountDescriptors());
    if (sent) {
      progress = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(Milliseconds(5));
    }
  }
  cr_expect(daemon_->IsRunning(), "the daemon ended");
  ExpectAnswer(port, request);
  cr_expect(daemon_->IsRunning(), "the daemon ended");
  const size_t peak = ReadStatus("VmHWM");
  fmt::print(stderr, "port {}: {:.1f} MB before, {:.1f} MB at most, {} fds\n",
             port, memory / 1e6, peak / 1e6, descriptors);
  cr_expect_leq(peak, memory + kMemoryBound, "%zu of %zu MB", peak >> 20,
                (memory + kMemoryBound) >> 20);
  cr_expect_leq(descriptors, kDescriptorLimit - kFreeDescriptors);
}

}  // namespace dragonflytack
