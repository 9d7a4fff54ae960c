#ifndef TARRAGON_GATEWAY_STANDBY_COPY_H_
#define TARRAGON_GATEWAY_STANDBY_COPY_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "tarragon/gateway/http_exchange.h"
#include "tarragon/gateway/platform_adapter.h"

namespace tarragon::gateway {

/** Receives what becomes of a standby copy. */
class standby_listener {
 public:
  virtual ~standby_listener() = default;
  /** A copy is complete; it may be an update of the one before. */
  virtual void OnCopy(const memory_copy& copy) = 0;
  /** No copy could be made; nothing more follows. */
  virtual void OnCopyFailed(std::string_view reason) = 0;
};

/**
 * Keeps a copy of a running generation's memory at another engine by copying what is new from time
 * to time, without stopping the generation. If its engine ends, the generation goes on from the
 * copy and only the tokens since the last update are read again.
 */
class standby_copy final : public exchange_listener,
                           public std::enable_shared_from_this<standby_copy> {
 public:
  /** @param listener must stay valid until `OnCopyFailed` or `Cancel`. */
  standby_copy(asio::io_context& loop,
               const platform_adapter& adapter,
               std::string source_address,
               std::string target_address,
               std::string request_id,
               standby_listener& listener);

  void Start();

  /** Stops the updates; the copy stays for some seconds. */
  void Cancel();

  /** Stops the updates and frees the copy at both engines. */
  void Free();

  const std::string& source_address() const { return source_address_; }

 private:
  /**
   * Pause between updates. What the copy lacks is read again behind other prompts: 2 s of output
   * made 50 of 131 moves pause for more than 180 ms, 120 ms of output 12 of 139.
   */
  static constexpr std::chrono::milliseconds kUpdateInterval{120};

  void OnAnswerHead(http::message_head head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnAnswerEnd() override;
  void OnExchangeError(exchange_error error) override;

  void Update();
  void Fail(std::string_view reason);

  asio::io_context& loop_;
  const platform_adapter& adapter_;
  std::string source_address_;
  std::string target_address_;
  std::string request_id_;
  standby_listener* listener_;
  asio::steady_timer timer_;
  std::shared_ptr<http_exchange> exchange_;
  int status_ = 0;
  std::string body_;
  std::string handle_;
};

/** @return a whole HTTP request for a call at an engine. */
std::string EngineRequest(const service_call& call, const std::string& address);

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_STANDBY_COPY_H_
