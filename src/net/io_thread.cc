#include "tarragon/net/io_thread.h"

#include <asio.hpp>

#include <thread>

namespace tarragon::net {

struct io_thread::state {
  asio::io_context context{1};
  asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
  std::jthread thread;
};

io_thread::io_thread() : state_(std::make_unique<state>()) {
  state_->thread = std::jthread([context = &state_->context] { context->run(); });
}

io_thread::~io_thread() {
  Stop();
}

asio::io_context& io_thread::Context() {
  return state_->context;
}

void io_thread::Stop() {
  state_->context.stop();
  if (state_->thread.joinable()) {
    state_->thread.join();
  }
}

}  // namespace tarragon::net
