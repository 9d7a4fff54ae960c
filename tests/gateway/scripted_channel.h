#ifndef TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_
#define TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <deque>
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
    asio::post(loop_, [done = std::move(done), result = results.front()] { done(result); });
    results.pop_front();
  }
  void Cancel() override { ++cancellations; }

  std::deque<store_call_result> results;
  std::vector<std::string> targets;
  int cancellations = 0;

 private:
  asio::io_context& loop_;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_TESTS_GATEWAY_SCRIPTED_CHANNEL_H_
