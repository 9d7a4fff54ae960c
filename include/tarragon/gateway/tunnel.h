#ifndef TARRAGON_GATEWAY_TUNNEL_H_
#define TARRAGON_GATEWAY_TUNNEL_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "tarragon/gateway/tunnel_chunks.h"

namespace tarragon::gateway {

/** How a tunnel tells the other daemon who has ended a response. */
enum class tunnel_framing : std::uint8_t {
  /** For daemons of earlier versions: an orderly end of the connection is the endpoint's. */
  kPlain,
  /** The last chunk states that the endpoint has ended its bytes. */
  kChunked,
};

/**
 * Passes bytes between another daemon and an endpoint until either connection ends. Only an orderly
 * end of the endpoint's bytes after the whole request is passed on as one. After any other end,
 * this process's own included, the other daemon sees a reset, and no last chunk.
 */
class tunnel final : public std::enable_shared_from_this<tunnel> {
 public:
  tunnel(asio::ip::tcp::socket daemon, asio::ip::tcp::socket endpoint, tunnel_framing framing);

  /** @param on_end called once, unless `Close` is called before. */
  void Start(std::function<void()> on_end);

  /** Closes both connections; that to the daemon by a reset, unless the response has ended. */
  void Close();

 private:
  static constexpr std::size_t kBufferBytes = 8192;

  /** One direction. */
  struct flow {
    asio::ip::tcp::socket& from;
    asio::ip::tcp::socket& to;
    std::array<char, kBufferBytes> buffer{};
    bool is_writing = false;
  };

  void Read(flow& passed);
  void Write(flow& passed, std::size_t size);
  void OnEnd(flow& passed, bool is_orderly);
  /** Tells the daemon that the endpoint has ended its bytes. */
  void EndResponse();
  void ShutDownResponse();
  void Fail();

  asio::ip::tcp::socket daemon_;
  asio::ip::tcp::socket endpoint_;
  tunnel_framing framing_;
  tunnel_chunk_header chunk_header_{};
  flow requests_{daemon_, endpoint_};
  flow responses_{endpoint_, daemon_};
  std::function<void()> on_end_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TUNNEL_H_
