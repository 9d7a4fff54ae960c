#ifndef TARRAGON_GATEWAY_TUNNEL_H_
#define TARRAGON_GATEWAY_TUNNEL_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace tarragon::gateway {

/**
 * Passes bytes between another daemon and an endpoint until either connection ends. The end is
 * passed on as what it was: an orderly end of the endpoint's bytes, or a reset, after which the
 * other daemon must not take the response for complete.
 */
class tunnel final : public std::enable_shared_from_this<tunnel> {
 public:
  tunnel(asio::ip::tcp::socket daemon, asio::ip::tcp::socket endpoint);

  /** @param on_end called once, unless `Close` is called before. */
  void Start(std::function<void()> on_end);

  /** Closes both connections. */
  void Close();

 private:
  static constexpr std::size_t kBufferBytes = 8192;

  /** One direction. */
  struct flow {
    asio::ip::tcp::socket& from;
    asio::ip::tcp::socket& to;
    std::array<char, kBufferBytes> buffer{};
  };

  void Read(flow& passed);
  void Write(flow& passed, std::size_t size);
  void OnEnd(flow& passed, bool is_orderly);
  void Fail();

  asio::ip::tcp::socket daemon_;
  asio::ip::tcp::socket endpoint_;
  flow requests_{daemon_, endpoint_};
  flow responses_{endpoint_, daemon_};
  std::function<void()> on_end_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_TUNNEL_H_
