#ifndef TARRAGON_NET_IO_THREAD_H_
#define TARRAGON_NET_IO_THREAD_H_

#include <memory>

namespace asio {
class io_context;
}

namespace tarragon::net {

/** A thread that runs the asio handlers of sockets and timers. Joined on destruction. */
class io_thread final {
 public:
  io_thread();
  ~io_thread();

  asio::io_context& Context();
  /** Stops and joins the thread; pending handlers do not run. */
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace tarragon::net

#endif  // TARRAGON_NET_IO_THREAD_H_
