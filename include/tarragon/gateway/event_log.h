#ifndef TARRAGON_GATEWAY_EVENT_LOG_H_
#define TARRAGON_GATEWAY_EVENT_LOG_H_

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "tarragon/base/clock.h"
#include "tarragon/base/log.h"

namespace tarragon::gateway {

/**
 * Writes structured log lines of one event loop to a file descriptor. Lines are buffered up to a
 * limit and written without blocking; lines that do not fit are dropped and counted.
 */
class event_log final {
 public:
  /** @param descriptor is set to non-blocking mode and is not closed. */
  event_log(asio::io_context& loop, const clock& time, int descriptor);

  /** Logs a request event; drops lines above `kRequestLinesPerSecond`. */
  void LogRequest(std::string_view event, std::initializer_list<log_field> fields);

  /** Logs a change of the process state; not rate limited. */
  void LogState(std::string_view event, std::initializer_list<log_field> fields = {});

  /** Writes as many buffered bytes as the descriptor accepts without blocking. */
  void Flush();

  std::uint64_t dropped() const { return dropped_; }

 private:
  /** Keeps logging at or below 1% of a core, at 20 microseconds per line. */
  static constexpr std::uint32_t kRequestLinesPerSecond = 500;
  static constexpr std::size_t kMaxBufferBytes = std::size_t{256} << 10;
  /** Time for which lines are batched before a write. */
  static constexpr std::chrono::milliseconds kFlushDelay{50};

  void Append(std::string_view event, std::initializer_list<log_field> fields);
  void ScheduleFlush();

  const clock& time_;
  asio::steady_timer flush_timer_;
  int descriptor_;
  fmt::memory_buffer buffer_;
  bool flush_scheduled_ = false;
  time_point second_start_;
  std::uint32_t lines_in_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

}  // namespace tarragon::gateway

#endif  // TARRAGON_GATEWAY_EVENT_LOG_H_
