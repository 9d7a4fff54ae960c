#include "tarragon/net/sse_parser.h"

#include <utility>

namespace tarragon::net {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

bool sse_parser::Feed(std::string_view bytes, std::vector<sse_event>& events) {
  while (!failed_ && !bytes.empty()) {
    if (after_carriage_return_) {
      after_carriage_return_ = false;
      if (bytes.front() == '\n') {
        bytes.remove_prefix(1);
        continue;
      }
    }
    const std::size_t end = bytes.find_first_of("\r\n");
    line_.append(bytes.substr(0, end));
    if (line_.size() + event_.data.size() > kMaxEventBytes) {
      failed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    after_carriage_return_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    EndLine(events);
  }
  return !failed_;
}

void sse_parser::EndLine(std::vector<sse_event>& events) {
  std::string_view line = line_;
  if (std::exchange(first_line_, false) && line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::move(event_));
    }
    event_ = {};
    has_data_ = false;
  } else if (line.front() != ':') {
    const std::size_t colon = line.find(':');
    std::string_view value;
    if (colon != std::string_view::npos) {
      value = line.substr(colon + 1);
      if (value.starts_with(' ')) {
        value.remove_prefix(1);
      }
    }
    SetField(line.substr(0, colon), value);
  }
  line_.clear();
}

void sse_parser::SetField(std::string_view field, std::string_view value) {
  if (field == "data") {
    if (std::exchange(has_data_, true)) {
      event_.data.push_back('\n');
    }
    event_.data.append(value);
  } else if (field == "id") {
    event_.id = value;
  } else if (field == "event") {
    event_.name = value;
  }
}

}  // namespace tarragon::net
