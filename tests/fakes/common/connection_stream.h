#ifndef TARRAGON_FAKES_COMMON_CONNECTION_STREAM_H_
#define TARRAGON_FAKES_COMMON_CONNECTION_STREAM_H_

#include <httplib.h>

#include <atomic>
#include <string>

namespace tarragon::fakes {

/** Accepted connection that can be silenced, or closed instead of sending a response. */
class connection_stream final : public httplib::Stream {
 public:
  /** @param silenced set when the connection must stop carrying bytes; outlives the stream. */
  connection_stream(socket_t connected, const std::atomic<bool>& silenced);

  bool is_readable() const override;
  /** @return false once the peer has closed the connection. */
  bool is_writable() const override;
  ssize_t read(char* ptr, size_t size) override;
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

  /** Makes later writes fail, so that the connection closes without a response. */
  void Drop() { dropped_ = true; }
  bool IsDropped() const { return dropped_; }

  /** Lets this connection carry bytes even when the others are silenced. */
  void ExemptFromSilence() { exempt_ = true; }

  /** Holds a silenced connection open until the peer closes it. */
  void WaitIfSilenced() const;

 private:
  bool IsSilenced() const { return silenced_ && !exempt_; }

  socket_t socket_;
  const std::atomic<bool>& silenced_;
  bool exempt_ = false;
  bool dropped_ = false;
};

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_COMMON_CONNECTION_STREAM_H_
