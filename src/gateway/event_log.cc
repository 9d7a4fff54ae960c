#include "tarragon/gateway/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstring>

namespace tarragon::gateway {

event_log::event_log(asio::io_context& loop, const clock& time, int descriptor)
    : time_(time), flush_timer_(loop), descriptor_(descriptor) {
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void event_log::LogRequest(std::string_view event, std::initializer_list<log_field> fields) {
  const time_point now = time_.Now();
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    lines_in_second_ = 0;
  }
  if (++lines_in_second_ > kRequestLinesPerSecond) {
    ++dropped_;
    return;
  }
  Append(event, fields);
}

void event_log::LogState(std::string_view event, std::initializer_list<log_field> fields) {
  Append(event, fields);
}

void event_log::Append(std::string_view event, std::initializer_list<log_field> fields) {
  if (buffer_.size() >= kMaxBufferBytes) {
    ++dropped_;
    return;
  }
  if (dropped_ != reported_dropped_) {
    reported_dropped_ = dropped_;
    AppendLogLine(buffer_, "log_lines_dropped", {{"total", dropped_}});
  }
  AppendLogLine(buffer_, event, fields);
  ScheduleFlush();
}

void event_log::ScheduleFlush() {
  if (flush_scheduled_) {
    return;
  }
  flush_scheduled_ = true;
  flush_timer_.expires_after(kFlushDelay);
  flush_timer_.async_wait([this](const asio::error_code& error) {
    flush_scheduled_ = false;
    if (!error) {
      Flush();
      if (buffer_.size() > 0) {
        ScheduleFlush();
      }
    }
  });
}

void event_log::Flush() {
  if (buffer_.size() == 0) {
    return;
  }
  const ssize_t written = ::write(descriptor_, buffer_.data(), buffer_.size());
  if (written <= 0) {
    return;
  }
  const std::size_t rest = buffer_.size() - static_cast<std::size_t>(written);
  std::memmove(buffer_.data(), buffer_.data() + written, rest);
  buffer_.resize(rest);
}

}  // namespace tarragon::gateway
