#include "emulator/http_service.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <array>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "emulator/port_reservation.h"

namespace tarragon::emulator {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{64} << 10;

std::string DecodePercent(std::string_view text) {
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    int code = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, kHexBase).ec ==
            std::errc{}) {
      decoded.push_back(static_cast<char>(code));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

/** Gateways that are started later would inherit the socket and keep it open. */
void KeepFromChildren(int socket) {
  ::fcntl(socket, F_SETFD, FD_CLOEXEC);
}

}  // namespace

std::string incoming_request::Header(std::string_view name) const {
  return std::string(head.headers.Find(name).value_or(""));
}

std::string incoming_request::Query(std::string_view name) const {
  std::string_view rest = head.target;
  const std::size_t start = rest.find('?');
  rest = start == std::string_view::npos ? std::string_view() : rest.substr(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    const std::size_t separator = pair.find('=');
    if (separator != std::string_view::npos && pair.substr(0, separator) == name) {
      return DecodePercent(pair.substr(separator + 1));
    }
  }
  return {};
}

/** One connection; serves one request at a time. */
class http_service::connection final : public responder,
                                       public http::message_listener,
                                       public std::enable_shared_from_this<connection> {
 public:
  connection(asio::ip::tcp::socket socket, const handler& on_request)
      : socket_(std::move(socket)),
        on_request_(on_request),
        reader_(http::message_kind::kRequest, *this, kMaxHeaderBytes) {
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }

  void Read() {
    socket_.async_read_some(
        asio::buffer(buffer_),
        [self = shared_from_this()](const asio::error_code& error, std::size_t size) {
          if (error || self->is_closed_) {
            self->MarkClosed();
            return;
          }
          self->reader_.Feed({self->buffer_.data(), size});
          if (self->reader_.error() != http::reader_error::kNone) {
            self->Reset();
            return;
          }
          self->Read();
        });
  }

  void SendWhole(int status,
                 const std::vector<http::header>& headers,
                 std::string_view body) override {
    std::string text = FormatHead(status, headers);
    text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
    text += body;
    Write(text);
    on_closed = nullptr;
  }
  void BeginStream(const std::vector<http::header>& headers, bool is_chunked) override {
    is_chunked_ = is_chunked;
    Write(FormatHead(200, headers) + (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
  }
  void SendChunk(std::string_view bytes) override {
    Write(is_chunked_ ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes) : std::string(bytes));
  }
  void EndStream() override {
    on_closed = nullptr;
    closes_after_write_ = !is_chunked_;
    Write(is_chunked_ ? "0\r\n\r\n" : "");
    CloseIfWritten();
  }
  void Reset() override {
    if (!is_closed_) {
      asio::error_code ignored;
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
      MarkClosed();
    }
  }
  bool is_closed() const override { return is_closed_; }

 private:
  void OnHead(http::message_head head) override { request_ = {std::move(head), {}}; }
  void OnBody(std::string_view bytes) override { request_.body.append(bytes); }
  void OnMessageEnd() override {
    const incoming_request request = std::exchange(request_, {});
    on_request_(request, shared_from_this());
  }

  static std::string FormatHead(int status, const std::vector<http::header>& headers) {
    std::string text = fmt::format("HTTP/1.1 {} Status\r\n", status);
    for (const http::header& header : headers) {
      text += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    return text;
  }

  void Write(const std::string& text) {
    unsent_ += text;
    if (is_closed_ || !writing_.empty() || unsent_.empty()) {
      return;
    }
    writing_.swap(unsent_);
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const asio::error_code& error, std::size_t) {
                        self->writing_.clear();
                        if (!error) {
                          self->Write({});
                          self->CloseIfWritten();
                        }
                      });
  }

  void CloseIfWritten() {
    if (closes_after_write_ && !is_closed_ && writing_.empty() && unsent_.empty()) {
      asio::error_code ignored;
      socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    }
  }

  void MarkClosed() {
    is_closed_ = true;
    if (const auto callback = std::exchange(on_closed, nullptr)) {
      callback();
    }
  }

  asio::ip::tcp::socket socket_;
  const handler& on_request_;
  http::message_reader reader_;
  std::array<char, 8192> buffer_{};
  incoming_request request_;
  std::string unsent_;
  std::string writing_;
  bool is_closed_ = false;
  bool is_chunked_ = true;
  bool closes_after_write_ = false;
};

http_service::http_service(asio::io_context& loop, handler on_request)
    : loop_(loop),
      acceptor_(std::move(ReservePorts(loop, 1).front())),
      on_request_(std::move(on_request)),
      address_(fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port())) {
  KeepFromChildren(acceptor_.native_handle());
  acceptor_.listen();
  Accept();
}

http_service::~http_service() {
  Close();
}

void http_service::Close() {
  asio::error_code ignored;
  acceptor_.close(ignored);
  ResetConnections();
}

void http_service::ResetConnections() {
  for (const auto& weak : std::exchange(connections_, {})) {
    if (const auto open = weak.lock()) {
      open->Reset();
    }
  }
}

asio::ip::tcp::endpoint http_service::LocalEndpoint() const {
  const auto port = static_cast<std::uint16_t>(std::stoi(address_.substr(address_.rfind(':') + 1)));
  return {asio::ip::address_v4::loopback(), port};
}

void http_service::Reopen() {
  acceptor_ = asio::ip::tcp::acceptor(loop_, LocalEndpoint());
  KeepFromChildren(acceptor_.native_handle());
  Accept();
}

void http_service::Suspend() {
  asio::error_code ignored;
  acceptor_.cancel(ignored);
  // The socket stays bound, and refuses connections. A new one could not be bound at once: a
  // gateway that was just spawned closes the sockets that it must not inherit only after its parent
  // goes on.
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  ResetConnections();
}

void http_service::Resume() {
  acceptor_.listen();
  Accept();
}

void http_service::Accept() {
  acceptor_.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
    if (error) {
      return;
    }
    KeepFromChildren(socket.native_handle());
    const auto accepted = std::make_shared<connection>(std::move(socket), on_request_);
    std::erase_if(connections_, [](const auto& weak) { return weak.expired(); });
    connections_.push_back(accepted);
    accepted->Read();
    Accept();
  });
}

}  // namespace tarragon::emulator
