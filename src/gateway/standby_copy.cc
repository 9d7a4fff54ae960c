#include "tarragon/gateway/standby_copy.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <utility>

namespace tarragon::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

routing::copy_failure FailureOf(int status) {
  switch (status) {
    case kNotFound:
      return routing::copy_failure::kNoSuchRun;
    case kConflict:
      return routing::copy_failure::kBusy;
    default:
      return routing::copy_failure::kNoRoom;
  }
}

/** Responses to these calls have some hundred bytes. */
constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 10;
/** A copy of the longest prompt takes about a second, behind others on the same link. */
constexpr std::chrono::seconds kCopyTimeout{10};
constexpr std::chrono::seconds kFreeTimeout{5};

/** Makes a call whose response is ignored, such as freeing a copy. */
class fire_and_forget_call final : public exchange_listener,
                                   public std::enable_shared_from_this<fire_and_forget_call> {
 public:
  static void Start(gateway_state& gateway, const std::string& address, std::string request) {
    auto call = std::make_shared<fire_and_forget_call>();
    call->self_ = call;
    call->exchange_ = std::make_shared<http_exchange>(gateway.loop, *call, gateway.paths);
    call->timer_.emplace(gateway.loop, kFreeTimeout);
    call->timer_->async_wait([call](const asio::error_code& error) {
      if (!error) {
        call->End();
      }
    });
    call->exchange_->Start(address, std::move(request), /*no_response_body=*/false);
  }

 private:
  void OnResponseHead(http::message_head) override {}
  void OnResponseBody(std::string_view) override {}
  void OnResponseEnd() override { End(); }
  void OnExchangeError(exchange_error) override { End(); }
  void End() {
    const auto self = std::exchange(self_, nullptr);
    timer_->cancel();
    exchange_->Cancel();
  }

  std::shared_ptr<fire_and_forget_call> self_;
  std::shared_ptr<http_exchange> exchange_;
  std::optional<asio::steady_timer> timer_;
};

}  // namespace

std::string BuildEngineRequest(const service_call& call, const std::string& address) {
  std::string request =
      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, address);
  if (!call.body.empty()) {
    request +=
        fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", call.body.size());
  }
  return request + "\r\n" + call.body;
}

standby_copy::standby_copy(gateway_state& gateway,
                           std::string source_address,
                           service_call copy_call,
                           standby_listener& listener)
    : gateway_(gateway),
      source_address_(std::move(source_address)),
      copy_call_(std::move(copy_call)),
      listener_(&listener),
      timer_(gateway.loop),
      call_timer_(gateway.loop) {}

void standby_copy::Start() {
  Update();
}

void standby_copy::Cancel() {
  listener_ = nullptr;
  timer_.cancel();
  call_timer_.cancel();
  if (exchange_) {
    exchange_->Cancel();
    exchange_.reset();
  }
}

void standby_copy::Free() {
  Cancel();
  if (!handle_.empty()) {
    fire_and_forget_call::Start(
        gateway_, source_address_,
        BuildEngineRequest(gateway_.adapter.FreeKvCopyCall(handle_), source_address_));
  }
}

void standby_copy::Update() {
  status_ = 0;
  body_.clear();
  call_timer_.expires_after(kCopyTimeout);
  call_timer_.async_wait([self = shared_from_this()](const asio::error_code& error) {
    if (!error) {
      self->AbandonCall("the engine does not answer");
    }
  });
  exchange_ = std::make_shared<http_exchange>(gateway_.loop, *this, gateway_.paths);
  exchange_->Start(source_address_, BuildEngineRequest(copy_call_, source_address_),
                   /*no_response_body=*/false);
}

void standby_copy::OnResponseHead(http::message_head head) {
  status_ = head.status;
}

void standby_copy::OnResponseBody(std::string_view bytes) {
  body_.append(bytes);
  if (body_.size() > kMaxResponseBytes) {
    const auto self = shared_from_this();
    AbandonCall("the engine's response is too long");
  }
}

void standby_copy::AbandonCall(std::string_view reason) {
  call_timer_.cancel();
  if (exchange_) {
    exchange_->Cancel();
    exchange_.reset();
    Fail(routing::copy_failure::kNoResponse, reason);
  }
}

void standby_copy::OnResponseEnd() {
  const auto self = shared_from_this();
  call_timer_.cancel();
  exchange_->Cancel();
  exchange_.reset();
  const decode_result<kv_copy> copy = gateway_.adapter.DecodeKvCopy(body_);
  if (status_ != kOk || !copy) {
    Fail(FailureOf(status_), fmt::format("engine returned status {} or no readable copy", status_));
    return;
  }
  handle_ = copy.value().handle;
  listener_->OnCopyCompleted(copy.value());
  timer_.expires_after(kUpdateInterval);
  timer_.async_wait([self](const asio::error_code& error) {
    if (!error && self->listener_ != nullptr) {
      self->Update();
    }
  });
}

void standby_copy::OnExchangeError(exchange_error error) {
  const auto self = shared_from_this();
  call_timer_.cancel();
  exchange_.reset();
  if (error == exchange_error::kRefused) {
    Fail(routing::copy_failure::kSourceRefused, "the engine refuses connections");
  } else {
    Fail(routing::copy_failure::kNoResponse, "no valid response from the engine");
  }
}

void standby_copy::Fail(routing::copy_failure failure, std::string_view reason) {
  if (standby_listener* const listener = std::exchange(listener_, nullptr); listener != nullptr) {
    listener->OnCopyFailed(failure, reason);
  }
}

}  // namespace tarragon::gateway
