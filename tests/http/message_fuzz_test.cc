#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "http/byte_mutator.h"
#include "tarragon/http/event_splitter.h"
#include "tarragon/http/message_reader.h"

namespace tarragon::http {
namespace {

constexpr std::size_t kMaxHeader = 300;

/** What a reader reported; bodies of messages that have not ended depend on the splits. */
struct outcome {
  using message = std::tuple<std::string, std::string, int, std::vector<header>, std::string>;
  std::vector<message> ended;
  std::size_t begun = 0;
  reader_error error = reader_error::kNone;

  bool operator==(const outcome&) const = default;
};

class outcome_recorder final : public message_listener {
 public:
  void OnHead(message_head head) override {
    ++result.begun;
    head_ = std::move(head);
    body_.clear();
  }
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnMessageEnd() override {
    result.ended.emplace_back(head_.method, head_.target, head_.status, head_.headers.all(), body_);
  }

  outcome result;

 private:
  message_head head_;
  std::string body_;
};

outcome ReadInChunks(message_kind kind, std::string_view text, std::size_t chunk_size) {
  outcome_recorder recorder;
  message_reader reader(kind, recorder, kMaxHeader);
  while (!text.empty() && reader.error() == reader_error::kNone) {
    const std::size_t consumed = reader.Feed(text.substr(0, chunk_size));
    RC_ASSERT(consumed > 0 || reader.error() != reader_error::kNone);
    text.remove_prefix(consumed);
  }
  recorder.result.error = reader.error();
  return recorder.result;
}

bool IsName(const header& field) {
  return !field.name.empty() && field.name.find_first_of(" \t\r\n:") == std::string::npos;
}

void CheckReader(message_kind kind, const std::string& text) {
  const outcome whole = ReadInChunks(kind, text, text.size() + 1);
  const outcome split = ReadInChunks(kind, text, *rc::gen::inRange<std::size_t>(1, 20));
  RC_ASSERT(whole == split);
  RC_ASSERT(whole.begun <= whole.ended.size() + 1);
  for (const outcome::message& ended : whole.ended) {
    RC_ASSERT(std::ranges::all_of(std::get<std::vector<header>>(ended), IsName));
  }
}

const std::vector<std::string> kWords = {"\r\n",
                                         "\r\n\r\n",
                                         " ",
                                         ":",
                                         "0\r\n\r\n",
                                         "chunked",
                                         "HTTP/1.1",
                                         "Connection: Upgrade\r\nUpgrade: h2c\r\n",
                                         "Content-Length: 3\r\n",
                                         "Content-Length: -1\r\n",
                                         "Content-Length: 99999999999999999999\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         "Transfer-Encoding : chunked\r\n",
                                         "ffffffffffffffff\r\n",
                                         "\t",
                                         "\n",
                                         "A: b\r\n",
                                         "CONNECT h:1 ",
                                         "HEAD "};

const std::string kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kChunkedResponse =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

// Guards against requests that are read differently when the network splits them elsewhere, against
// names that are no names, and against an error of a message that has ended.
RC_GTEST_PROP(MessageFuzzTest, RequestsAreReadTheSameInAnySplit, ()) {
  CheckReader(message_kind::kRequest,
              MutateOneOf({"GET /a?b=c HTTP/1.1\r\nHost: h\r\nTenant: t\r\n\r\n",
                           "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                           "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n0\r\nTrailer: t\r\n\r\n"},
                          kWords));
}

// Guards against the same for responses.
RC_GTEST_PROP(MessageFuzzTest, ResponsesAreReadTheSameInAnySplit, ()) {
  CheckReader(message_kind::kResponse,
              MutateOneOf({"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", kRefusal,
                           "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
                           kChunkedResponse},
                          kWords));
}

// Guards against events that change, get lost or are joined when the network splits a stream.
RC_GTEST_PROP(MessageFuzzTest, EventsAreSplitTheSameInAnySplit, ()) {
  const std::string text = MutateOneOf(
      {"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", ": comment\n\n"},
      {"\n", "\r\n", "\r", "id: ", "id: 99999999999999999999\n", "data: ", ":", "\n\n"});
  const auto chunk_size = *rc::gen::inRange<std::size_t>(1, 8);
  event_splitter whole;
  std::vector<raw_event> whole_events;
  RC_ASSERT(whole.Feed(text, whole_events));
  event_splitter split;
  std::vector<raw_event> split_events;
  for (std::size_t at = 0; at < text.size(); at += chunk_size) {
    RC_ASSERT(split.Feed(std::string_view(text).substr(at, chunk_size), split_events));
  }
  const auto same = [](const raw_event& a, const raw_event& b) {
    return a.bytes == b.bytes && a.id == b.id;
  };
  RC_ASSERT(std::ranges::equal(whole_events, split_events, same));
  RC_ASSERT(whole.has_partial_event() == split.has_partial_event());
}

}  // namespace
}  // namespace tarragon::http
