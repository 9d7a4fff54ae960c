#ifndef TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_
#define TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/gateway/store_channel.h"

namespace tarragon::gateway {

/** Completes each call with the next scripted result; without one, the call stays pending. */
class scripted_channel final : public store_channel {
 public:
  explicit scripted_channel(asio::io_context& loop) : loop_(loop) {}

  void Call(service_call call, std::chrono::milliseconds, callback done) override {
    targets.push_back(call.target);
    if (results.empty()) {
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(loop_, response_delay);
    timer->async_wait([timer, done = std::move(done),
                       result = results.front()](const asio::error_code&) { done(result); });
    results.pop_front();
  }
  void Cancel() override { ++cancellations; }

  std::deque<store_call_result> results;
  std::vector<std::string> targets;
  /** Time from each call to its result. */
  std::chrono::milliseconds response_delay{0};
  int cancellations = 0;

 private:
  asio::io_context& loop_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_
