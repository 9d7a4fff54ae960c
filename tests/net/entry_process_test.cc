#include "tarragon/net/entry_process.h"

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/raw_server.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"

namespace tarragon::net {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

constexpr int kTokens = 6;

document::document_contents MakeDocumentContents(const std::string& address) {
  document::document_contents contents;
  contents.models.emplace_back().name = "drafter";
  document::client_account& account = contents.accounts.emplace_back();
  account.name = "keelung";
  account.token_sha256 = Sha256Hex("t1");
  const auto add_class = [&](const char* name, document::loss_policy policy) {
    document::request_class& added = contents.classes.emplace_back();
    added.name = name;
    added.on_loss = policy;
  };
  add_class("lookup", document::loss_policy::kRestart);
  add_class("quote", document::loss_policy::kHold);
  add_class("once", document::loss_policy::kEnd);
  document::service_settings& model = contents.services.emplace_back();
  model.name = model.model = "drafter";
  model.default_class = "lookup";
  document::service_settings& plain = contents.services.emplace_back();
  plain.name = "booking";
  plain.kind = document::service_kind::kPlain;
  plain.default_class = "lookup";
  plain.unrepeatable_paths = {"/bookings/confirm"};
  for (const char* service : {"drafter", "booking"}) {
    document::endpoint_settings& endpoint = contents.endpoints.emplace_back();
    endpoint.name = std::string(service) + "-01";
    endpoint.address = address;
    endpoint.service = service;
    endpoint.failure_domain = "a";
  }
  return contents;
}

settings::entry_settings MakeSettings() {
  settings::entry_settings settings;
  settings.vm_name = "entry-1";
  settings.failure_domain = "a";
  settings.callers_address = "127.0.0.1:0";
  settings.ticket_key = "0123456789abcdef0123456789abcdef";
  settings.limits.request_timeout = std::chrono::milliseconds(500);
  return settings;
}

struct running_entry {
  explicit running_entry(const std::string& endpoint) : entry(MakeSettings(), time) {
    EXPECT_TRUE(entry.Start(
        document::operating_document::MakeForTesting(1, MakeDocumentContents(endpoint))));
  }
  int port() const { return entry.callers_port(); }

  real_clock time;
  entry_process entry;
};

std::string PostRequest(std::string_view headers, std::string_view body) {
  return fmt::format(
      "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer t1\r\n{}Content-Length: {}\r\n\r\n{}",
      headers, body.size(), body);
}

constexpr std::string_view kStreamBody = R"({"model":"drafter","prompt":"a","stream":true})";
constexpr std::string_view kWholeBody = R"({"model":"drafter","prompt":"a"})";

std::string SendAndReadAll(int port, std::string_view request) {
  const auto connection = raw_connection::Connect(port);
  connection.Write(request);
  return connection.ReadAll();
}

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t position = text.find(part); position != std::string::npos;
       position = text.find(part, position + part.size())) {
    ++count;
  }
  return count;
}

std::string HeaderOf(const std::string& answer, const std::string& name) {
  const std::size_t position = answer.find("\r\n" + name + ": ");
  if (position == std::string::npos) {
    return "";
  }
  const std::size_t begin = position + name.size() + 4;
  return answer.substr(begin, answer.find("\r\n", begin) - begin);
}

int ResumeIndexOf(const std::string& request) {
  const std::size_t position = request.find("/events?from=");
  return position == std::string::npos ? -1 : std::stoi(request.substr(position + 13));
}

/** Responds to load polls as an idle engine. @return true if the request was a load poll. */
bool RespondToPoll(const std::string& request, raw_connection& connection) {
  if (!request.starts_with("GET /v1/load ") && !request.starts_with("GET /load ")) {
    return false;
  }
  connection.Write(
      "HTTP/1.1 200 OK\r\nContent-Length: 55\r\nConnection: close\r\n\r\n"
      R"({"sequence":1,"age_ms":0,"slots":64,"model":"drafter"} )");
  return true;
}

void WriteTokens(raw_connection& connection, int from, int to) {
  for (int i = from; i < to; ++i) {
    connection.Write(TokenEvent(i, fmt::format("t{}", i)));
  }
}

void ExpectEveryTokenOnce(const std::string& text) {
  std::size_t last = 0;
  for (int i = 0; i < kTokens; ++i) {
    const std::string token = fmt::format("\"text\":\"t{}\"", i);
    EXPECT_EQ(CountOccurrences(text, token), 1) << token;
    EXPECT_GE(text.find(token), last) << token;
    last = text.find(token);
  }
}

// Guards against lost or duplicated tokens, or a missing verdict, when no failure occurs.
TEST(EntryProcess, StreamsACompleteResponse) {
  raw_server endpoint([](const std::string& request, raw_connection& c) {
    if (!RespondToPoll(request, c)) {
      c.Write(kStreamHeader);
      WriteTokens(c, 0, kTokens);
      c.Write(kDoneEvent);
    }
  });
  const running_entry entry(endpoint.address());
  const std::string answer = SendAndReadAll(entry.port(), PostRequest("", kStreamBody));
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 "));
  ExpectEveryTokenOnce(answer);
  EXPECT_THAT(answer, HasSubstr("event: run-verdict\ndata: {\"choices\":[],\"verdict\":\"ran\"}"));
  EXPECT_THAT(answer, HasSubstr("data: [DONE]"));

  const std::string whole = SendAndReadAll(entry.port(), PostRequest("", kWholeBody));
  EXPECT_EQ(HeaderOf(whole, "Run-Verdict"), "ran");
  EXPECT_THAT(whole, HasSubstr("\"text\":\"t0t1t2t3t4t5\""));
}

// Guards against lost or duplicated tokens when the connection to the endpoint is lost.
TEST(EntryProcess, ResumesALostStream) {
  std::atomic<int> resumed_from{-1};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (RespondToPoll(request, c)) {
      return;
    }
    c.Write(kStreamHeader);
    const int from = ResumeIndexOf(request);
    if (from < 0) {
      WriteTokens(c, 0, 3);
      return;
    }
    resumed_from = from;
    WriteTokens(c, from, kTokens);
    c.Write(kDoneEvent);
  });
  const running_entry entry(endpoint.address());
  const std::string answer = SendAndReadAll(entry.port(), PostRequest("", kStreamBody));
  ExpectEveryTokenOnce(answer);
  EXPECT_EQ(resumed_from, 3);
  EXPECT_THAT(answer, HasSubstr("data: [DONE]"));
  EXPECT_THAT(answer, Not(HasSubstr("generation-restarted")));
}

// Guards against a stream that hangs because its endpoint connection stays open but sends nothing.
TEST(EntryProcess, ResumesASilentStream) {
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (RespondToPoll(request, c)) {
      return;
    }
    c.Write(kStreamHeader);
    if (ResumeIndexOf(request) < 0) {
      WriteTokens(c, 0, 3);
      c.WaitForClose();
      return;
    }
    WriteTokens(c, ResumeIndexOf(request), kTokens);
    c.Write(kDoneEvent);
  });
  const running_entry entry(endpoint.address());
  const std::string answer = SendAndReadAll(entry.port(), PostRequest("", kStreamBody));
  ExpectEveryTokenOnce(answer);
  EXPECT_THAT(answer, HasSubstr(": keep-alive"));
}

// Guards against a caller that loses its entry and cannot resume the stream at another entry.
TEST(EntryProcess, CallerResumesAtAnotherEntry) {
  std::atomic<int> cancels{0};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (RespondToPoll(request, c)) {
      return;
    }
    if (request.starts_with("DELETE")) {
      ++cancels;
      return;
    }
    c.Write(kStreamHeader);
    if (ResumeIndexOf(request) < 0) {
      WriteTokens(c, 0, 3);
      c.WaitForClose();
      return;
    }
    WriteTokens(c, ResumeIndexOf(request), kTokens);
    c.Write(kDoneEvent);
  });
  const running_entry first(endpoint.address());
  const running_entry second(endpoint.address());
  std::string first_part;
  {
    const auto caller = raw_connection::Connect(first.port());
    caller.Write(PostRequest("", kStreamBody));
    first_part = caller.ReadUntil("\"t2\"");
  }
  const std::string ticket = HeaderOf(first_part, "Resumption-Ticket");
  const std::size_t id = first_part.rfind("id: ") + 4;
  const std::string last_id = first_part.substr(id, first_part.find('\n', id) - id);
  const std::string rest = SendAndReadAll(
      second.port(),
      PostRequest(fmt::format("Last-Event-ID: {}\r\nResumption-Ticket: {}\r\n", last_id, ticket),
                  kStreamBody));
  EXPECT_TRUE(rest.starts_with("HTTP/1.1 200 ")) << rest;
  ExpectEveryTokenOnce(first_part + rest);
  EXPECT_THAT(rest, HasSubstr("data: [DONE]"));
  EXPECT_EQ(cancels, 0);
}

struct error_case {
  std::string_view response;
  std::string_view verdict;
};

// Guards against a `Run-Verdict` that claims more than the entry observed.
TEST(EntryProcess, VerdictsMatchObservedOutcomes) {
  for (const error_case& error : {
           error_case{"HTTP/1.1 400 X\r\nContent-Length: 2\r\n\r\n{}", "not-run"},
           error_case{"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}", "may-have-run"},
           error_case{
               "HTTP/1.1 429 X\r\nContent-Length: 29\r\n\r\n{\"error\":{\"code\":\"declined\"}}",
               "not-run"},
       }) {
    raw_server endpoint([&](const std::string& request, raw_connection& c) {
      if (!RespondToPoll(request, c)) {
        // Resume and cancel requests get 404, as for an unknown generation.
        c.Write(request.starts_with("POST") ? error.response
                                            : "HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\n{}");
      }
    });
    const running_entry entry(endpoint.address());
    const std::string answer = SendAndReadAll(
        entry.port(), PostRequest("Request-Class: once\r\nDeadline-Ms: 700\r\n", kStreamBody));
    EXPECT_THAT(answer, Not(HasSubstr("HTTP/1.1 200"))) << error.response;
    EXPECT_EQ(HeaderOf(answer, "Run-Verdict"), error.verdict) << error.response << answer;
  }
  const running_entry entry(fmt::format("127.0.0.1:{}", ClosedPort()));
  const std::string answer =
      SendAndReadAll(entry.port(), PostRequest("Deadline-Ms: 700\r\n", kStreamBody));
  EXPECT_EQ(HeaderOf(answer, "Run-Verdict"), "not-run");
}

// Guards against an unrepeatable call that runs although no claim can be recorded.
TEST(EntryProcess, RejectsUnrepeatableCallWithoutPlatform) {
  std::atomic<int> calls{0};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    calls += RespondToPoll(request, c) ? 0 : 1;
  });
  const running_entry entry(endpoint.address());
  const std::string answer =
      SendAndReadAll(entry.port(),
                     "POST /services/booking/bookings/confirm HTTP/1.1\r\nConnection: close\r\n"
                     "Authorization: Bearer t1\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_EQ(HeaderOf(answer, "Run-Verdict"), "not-run");
  EXPECT_EQ(calls, 0);
}

// Guards against a plain service that gets no idempotency key and cannot detect a repeated call.
TEST(EntryProcess, ForwardsTheIdempotencyKey) {
  std::atomic<bool> has_key{false};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (!RespondToPoll(request, c)) {
      has_key = request.find("Idempotency-Key: k7\r\n") != std::string::npos;
      c.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
  });
  const running_entry entry(endpoint.address());
  const std::string answer =
      SendAndReadAll(entry.port(),
                     "GET /services/booking/slots HTTP/1.1\r\nConnection: close\r\n"
                     "Authorization: Bearer t1\r\nIdempotency-Key: k7\r\n\r\n");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(has_key);
}

// Guards against an entry that stays ready after the document marks its VM as leaving, and against
// rejecting requests that still arrive there.
TEST(EntryProcess, LeavingVmIsNotReadyButStillServes) {
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (!RespondToPoll(request, c)) {
      c.Write(kStreamHeader);
      WriteTokens(c, 0, kTokens);
      c.Write(kDoneEvent);
    }
  });
  running_entry entry(endpoint.address());
  EXPECT_TRUE(entry.entry.IsReady());
  document::document_contents contents = MakeDocumentContents(endpoint.address());
  contents.vms.push_back({"entry-1", document::serving_state::kLeaving});
  entry.entry.ChangeDocument(document::operating_document::MakeForTesting(2, contents));
  EXPECT_FALSE(entry.entry.IsReady());
  EXPECT_THAT(SendAndReadAll(entry.port(), PostRequest("", kStreamBody)),
              HasSubstr("data: [DONE]"));
}

// Guards against a caller that does not read and blocks the core thread or exhausts memory.
TEST(EntryProcess, DropsACallerThatDoesNotRead) {
  const std::string text(4000, 'x');
  std::atomic<bool> stop{false};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (RespondToPoll(request, c)) {
      return;
    }
    c.Write(kStreamHeader);
    if (request.find("flood") == std::string::npos) {
      WriteTokens(c, 0, kTokens);
      c.Write(kDoneEvent);
      return;
    }
    for (int i = 0; !stop && c.Write(TokenEvent(i, text)); ++i) {
    }
  });
  running_entry entry(endpoint.address());
  const auto stuck = raw_connection::Connect(entry.port(), 4096);
  stuck.Write(PostRequest("", R"({"model":"drafter","prompt":"flood","stream":true})"));
  counter& dropped = entry.entry.counters().Counter("tarragon_callers_dropped_total");
  counter& gone = entry.entry.counters().Counter("tarragon_callers_gone_total");
  for (int i = 0; i < 2000 && dropped.Value() + gone.Value() == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_GT(dropped.Value() + gone.Value(), 0);
  ExpectEveryTokenOnce(SendAndReadAll(entry.port(), PostRequest("", kStreamBody)));
  stop = true;
}

// Guards against a shutdown that aborts an open stream or accepts new requests.
TEST(EntryProcess, DrainFinishesOpenStreams) {
  std::promise<void> release;
  const std::shared_future<void> released(release.get_future());
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    if (RespondToPoll(request, c)) {
      return;
    }
    c.Write(kStreamHeader);
    WriteTokens(c, 0, 3);
    while (released.wait_for(std::chrono::milliseconds(100)) != std::future_status::ready) {
      c.Write(": keep-alive\n\n");
    }
    WriteTokens(c, 3, kTokens);
    c.Write(kDoneEvent);
  });
  running_entry entry(endpoint.address());
  const auto caller = raw_connection::Connect(entry.port());
  caller.Write(PostRequest("", kStreamBody));
  std::string answer = caller.ReadUntil("\"t2\"");
  std::thread drain([&] {
    entry.entry.Drain();
    entry.entry.Stop();
  });
  while (entry.entry.IsReady()) {
    std::this_thread::yield();
  }
  std::string refused;
  do {
    refused = SendAndReadAll(entry.port(), "GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n");
  } while (!refused.starts_with("HTTP/1.1 503 "));
  refused = SendAndReadAll(entry.port(), PostRequest("", kWholeBody));
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503 ")) << refused;
  EXPECT_EQ(HeaderOf(refused, "Run-Verdict"), "not-run");
  EXPECT_NE(HeaderOf(refused, "Retry-After"), "");
  release.set_value();
  answer += caller.ReadAll();
  drain.join();
  ExpectEveryTokenOnce(answer);
  EXPECT_THAT(answer, HasSubstr("data: [DONE]"));
}

// Guards against two entries that bind the same port and share its connections.
TEST(EntryProcess, FailsToStartOnAPortInUse) {
  const running_entry first("127.0.0.1:1");
  settings::entry_settings settings = MakeSettings();
  settings.callers_address = fmt::format("127.0.0.1:{}", first.port());
  entry_process second(settings, first.time);
  EXPECT_FALSE(second.Start(nullptr));
}

struct invalid_request {
  std::string text;
  int status;
};

// Guards against invalid requests that get no verdict, block a thread or reach an endpoint.
TEST(EntryProcess, RejectsInvalidRequests) {
  std::atomic<int> calls{0};
  raw_server endpoint([&](const std::string& request, raw_connection& c) {
    calls += RespondToPoll(request, c) ? 0 : 1;
  });
  const running_entry entry(endpoint.address());
  const std::string post = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer t1\r\n";
  std::string many_headers = post;
  for (int i = 0; i < 150; ++i) {
    many_headers += fmt::format("X-{}: 1\r\n", i);
  }
  std::string large_headers = post;
  for (int i = 0; i < 20; ++i) {
    large_headers += fmt::format("X-{}: {}\r\n", i, std::string(4000, 'x'));
  }
  std::string chunks = post + "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 20; ++i) {
    chunks += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  }
  for (const invalid_request& invalid : {
           invalid_request{post + "Content-Length: 2000000\r\n\r\n" + std::string(2'000'000, 'x'),
                           413},
           invalid_request{chunks + "0\r\n\r\n", 413},
           invalid_request{post + "Connection: close\r\nContent-Length: 9\r\n\r\nnot json!", 400},
           invalid_request{post + "Content-Length: x\r\n\r\n", 400},
           invalid_request{post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400},
           invalid_request{post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}", 400},
           invalid_request{post + "Content-Length: 50\r\n\r\n{", 408},
           invalid_request{post, 408},
           invalid_request{many_headers + "\r\n", 431},
           invalid_request{large_headers + "\r\n", 431},
           invalid_request{"nonsense\r\n\r\n", 400},
           invalid_request{"GET /" + std::string(5000, 'a') + " HTTP/1.1\r\n\r\n", 414},
           invalid_request{"GET /v1/none HTTP/1.1\r\nConnection: close\r\n\r\n", 404},
           invalid_request{"GET /v1/completions HTTP/1.1\r\nConnection: close\r\n\r\n", 405},
           invalid_request{post + "Authorization: Bearer t1\r\nContent-Length: 2\r\n"
                                  "Connection: close\r\n\r\n{}",
                           400},
       }) {
    const std::string answer = SendAndReadAll(entry.port(), invalid.text);
    EXPECT_TRUE(answer.starts_with(fmt::format("HTTP/1.1 {} ", invalid.status)))
        << invalid.status << " " << invalid.text.substr(0, 200) << " -> " << answer;
    EXPECT_EQ(HeaderOf(answer, "Run-Verdict"), "not-run") << invalid.status;
    EXPECT_THAT(answer, HasSubstr("\"error\"")) << invalid.status;
  }
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace tarragon::net
