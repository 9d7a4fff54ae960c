#include "tarragon/net/upstream.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/raw_server.h"
#include "tarragon/base/bounded_ring.h"
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"

namespace tarragon::net {
namespace {

constexpr attempt_id kAttempt{5};
constexpr std::chrono::seconds kWait{20};
const std::string kGeneration = "0123456789abcdef0123456789abcdef";

/** An `upstream` with a short read timeout, its test endpoint, and a ring for its events. */
struct fixture {
  explicit fixture(raw_server::handler on_request) : server(std::move(on_request)) {}

  static upstream_options MakeOptions() {
    upstream_options options;
    options.read_idle_timeout = std::chrono::milliseconds(200);
    options.max_attempts = 4;
    return options;
  }

  static open_request_ptr MakeRequest(decision::request_kind kind) {
    decision::request_properties properties;
    properties.request = {1};
    properties.kind = kind;
    properties.deadline = real_clock().Now() + std::chrono::seconds(5);
    const bool generation = kind == decision::request_kind::kGeneration;
    return std::make_shared<open_request>(
        std::move(properties),
        upstream_call{.method = "POST",
                      .target = generation ? "/v1/completions" : "/bookings/confirm",
                      .content_type = "application/json",
                      .body = generation ? R"({"prompt":"x")" : R"({"slot":1})"},
        1000);
  }

  void Send(decision::request_kind kind = decision::request_kind::kGeneration) {
    EXPECT_TRUE(upstream_client.Send(MakeRequest(kind), MakeSendAction(kind), server.address()));
  }

  static decision::send_attempt MakeSendAction(decision::request_kind kind) {
    return {.request = {1},
            .attempt = kAttempt,
            .endpoint = "e",
            .generation = kind == decision::request_kind::kGeneration ? kGeneration : "",
            .priority = 3};
  }

  template <typename T>
  T NextEvent() {
    auto event = events.Pop(kWait);
    if (!event || !std::holds_alternative<T>(*event)) {
      ADD_FAILURE() << "unexpected event: " << (event ? static_cast<int>(event->index()) : -1);
      return {};
    }
    return std::get<T>(*std::move(event));
  }

  void ExpectFailure(run_verdict verdict, decision::failure_cause cause) {
    const auto failed = NextEvent<decision::attempt_failed>();
    EXPECT_EQ(failed.attempt, kAttempt);
    EXPECT_EQ(failed.verdict, verdict);
    EXPECT_EQ(failed.cause, cause);
    ExpectNoMoreEvents();
  }

  void ExpectNoMoreEvents() {
    upstream_client.Stop();
    EXPECT_EQ(events.Size(), 0U);
  }

  raw_server server;
  real_clock time;
  metrics counters;
  bounded_ring<decision::event> events{10'000};
  upstream upstream_client{MakeOptions(),
                           [this](decision::event&& event) { events.Push(std::move(event)); }, time,
                           counters};
};

std::string MakeHttpResponse(int status, std::string_view body) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}", status,
                     body.size(), body);
}

// Guards against `may-have-run` for a request that was never sent.
TEST(Upstream, RefusedConnectionIsNotRun) {
  fixture f([](const std::string&, raw_connection&) {});
  EXPECT_TRUE(f.upstream_client.Send(f.MakeRequest(decision::request_kind::kGeneration),
                                     f.MakeSendAction(decision::request_kind::kGeneration),
                                     fmt::format("127.0.0.1:{}", ClosedPort())));
  f.ExpectFailure(run_verdict::kNotRun, decision::failure_cause::kConnectFailed);
}

// Guards against `not-run`, and against a retry, after the request may have reached the endpoint.
TEST(Upstream, ClosedConnectionMayHaveRun) {
  for (const auto kind :
       {decision::request_kind::kGeneration, decision::request_kind::kServiceCall}) {
    fixture f([](const std::string&, raw_connection&) {});
    f.Send(kind);
    f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kConnectionLost);
    EXPECT_EQ(f.server.connections(), 1) << "the call was sent again";
  }
}

// Guards against `not-run` for an endpoint whose response violates the protocol.
TEST(Upstream, InvalidResponseMayHaveRun) {
  for (const std::string& response :
       {MakeHttpResponse(500, "oops"), MakeHttpResponse(429, "slow down"),
        MakeHttpResponse(503, "{}"),
        MakeHttpResponse(409, R"({"error":{"code":"duplicate_generation"}})")}) {
    fixture f([&](const std::string&, raw_connection& c) { c.Write(response); });
    f.Send();
    f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kBadAnswer);
  }
  fixture f([](const std::string&, raw_connection& c) { c.Write("not http at all\r\n\r\n"); });
  f.Send();
  f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kConnectionLost);
}

// Guards against treating a request that the endpoint declined as a failed attempt.
TEST(Upstream, DistinguishesTemporaryAndPermanentRejection) {
  fixture declining([](const std::string&, raw_connection& c) {
    c.Write(
        "HTTP/1.1 429 X\r\nRetry-After: 2\r\nContent-Length: 31\r\n\r\n"
        R"({"error":{"code":"declined"}}  )");
  });
  declining.Send();
  const auto declined = declining.NextEvent<decision::attempt_declined>();
  EXPECT_FALSE(declined.permanent);
  EXPECT_EQ(declined.retry_after, std::chrono::seconds(2));
  declining.ExpectNoMoreEvents();

  fixture refusing([](const std::string&, raw_connection& c) {
    c.Write(MakeHttpResponse(422, R"({"error":{"code":"x","message":"too long"}})"));
  });
  refusing.Send();
  const auto refused = refusing.NextEvent<decision::attempt_declined>();
  EXPECT_TRUE(refused.permanent);
  EXPECT_EQ(refused.message, "too long");
}

// Guards against lost or duplicated tokens and wrong token indexes.
TEST(Upstream, ReadsACompleteGeneration) {
  std::string received_request;
  fixture f([&](const std::string& request, raw_connection& c) {
    received_request = request;
    c.Write(kStreamHeader);
    c.Write(TokenEvent(0, "a") + ": keep-alive\n\n" + TokenEvent(1, "b"));
    c.Write("data: {\"choices\":[{\"text\":\"\",\"index\":0,\"finish_reason\":\"stop\"}]}\n\n");
    c.Write(kDoneEvent);
  });
  f.Send();
  f.NextEvent<decision::attempt_accepted>();
  const auto first = f.NextEvent<decision::token_received>();
  EXPECT_EQ(first.index, 0U);
  EXPECT_EQ(first.text, "a");
  EXPECT_EQ(first.generation, kGeneration);
  EXPECT_EQ(f.NextEvent<decision::token_received>().index, 1U);
  const auto finished = f.NextEvent<decision::attempt_finished>();
  EXPECT_EQ(finished.token_count, 2U);
  EXPECT_EQ(finished.finish_reason, "stop");
  f.ExpectNoMoreEvents();
  EXPECT_NE(received_request.find("X-Request-Id: " + kGeneration), std::string::npos);
  EXPECT_NE(received_request.find(R"({"prompt":"x","priority":3})"), std::string::npos);
}

// Guards against treating an interrupted stream as finished.
TEST(Upstream, ReportsInterruptedStreamAsLost) {
  fixture f([](const std::string&, raw_connection& c) {
    c.Write(kStreamHeader);
    c.Write(TokenEvent(0, "a") + "id: 1\ndata: {\"choi");
  });
  f.Send();
  f.NextEvent<decision::attempt_accepted>();
  f.NextEvent<decision::token_received>();
  f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kConnectionLost);
}

// Guards against waiting forever on a connection that stays open but sends nothing.
TEST(Upstream, SilentConnectionTimesOut) {
  fixture f([](const std::string&, raw_connection& c) {
    c.Write(kStreamHeader);
    c.Write(TokenEvent(0, "a"));
    c.WaitForClose();
  });
  f.Send();
  f.NextEvent<decision::attempt_accepted>();
  f.NextEvent<decision::token_received>();
  f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kSilent);
}

// Guards against endless attempts to resume a generation that its endpoint no longer has.
TEST(Upstream, ResumesAndReportsUnknownGenerations) {
  std::string received_request;
  fixture f([&](const std::string& request, raw_connection& c) {
    received_request = request;
    c.Write(MakeHttpResponse(404, "{}"));
  });
  EXPECT_TRUE(f.upstream_client.Resume({.request = {1},
                                        .attempt = kAttempt,
                                        .endpoint = "e",
                                        .generation = kGeneration,
                                        .from_index = 7},
                                       f.server.address()));
  f.ExpectFailure(run_verdict::kMayHaveRun, decision::failure_cause::kGenerationUnknown);
  EXPECT_TRUE(
      received_request.starts_with("GET /v1/generations/" + kGeneration + "/events?from=7 "));
}

// Guards against events of an attempt after it was cancelled.
TEST(Upstream, CancelClosesTheConnectionAndReportsTheOutcome) {
  fixture f([](const std::string& request, raw_connection& c) {
    if (request.starts_with("DELETE /v1/generations/" + kGeneration + " ")) {
      c.Write(MakeHttpResponse(200, "{}"));
      return;
    }
    c.Write(kStreamHeader);
    c.Write(TokenEvent(0, "a"));
    c.WaitForClose();
  });
  f.Send();
  f.NextEvent<decision::attempt_accepted>();
  f.NextEvent<decision::token_received>();
  EXPECT_TRUE(f.upstream_client.Cancel(
      {.attempt = kAttempt, .endpoint = "e", .generation = kGeneration}, f.server.address()));
  const auto observed = f.NextEvent<decision::cancel_observed>();
  EXPECT_TRUE(observed.stopped);
  f.ExpectNoMoreEvents();
}

// Guards against an attempt that is dropped without notice when all threads are busy.
TEST(Upstream, RejectsAttemptWhenNoThreadIsFree) {
  fixture f([](const std::string&, raw_connection& c) {
    c.Write(kStreamHeader);
    while (c.Write(": keep-alive\n\n")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  const auto kind = decision::request_kind::kGeneration;
  for (std::uint64_t i = 0; i < f.MakeOptions().max_attempts; ++i) {
    decision::send_attempt send = f.MakeSendAction(kind);
    send.attempt = {100 + i};
    EXPECT_TRUE(f.upstream_client.Send(f.MakeRequest(kind), send, f.server.address()));
  }
  EXPECT_FALSE(
      f.upstream_client.Send(f.MakeRequest(kind), f.MakeSendAction(kind), f.server.address()));
}

bool IsTerminal(const decision::event& event) {
  return std::holds_alternative<decision::attempt_finished>(event) ||
         std::holds_alternative<decision::attempt_failed>(event) ||
         std::holds_alternative<decision::attempt_declined>(event);
}

// Guards against an attempt that reports no final event, two final events, or `not-run` after it
// was sent, for arbitrary response bytes.
RC_GTEST_PROP(Upstream, ArbitraryBytesEndTheAttemptOnce, ()) {
  const auto garbage = rc::gen::arbitrary<std::string>();
  const auto piece = rc::gen::oneOf(
      garbage, rc::gen::element<std::string>(
                   TokenEvent(0, "a"), TokenEvent(1, "b"), std::string(kDoneEvent), ": c\n\n",
                   "data: {}\n\n", "id: x\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n",
                   "data: {\"choices\":[null]}\n\n", "data: {\"choices\":[{\"text\":5}]}\n\n"));
  const bool header = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
  const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
  fixture f([&](const std::string&, raw_connection& c) {
    c.Write(header ? kStreamHeader : "");
    for (const std::string& part : pieces) {
      c.Write(part);
    }
  });
  f.Send();
  std::optional<decision::event> last;
  do {
    last = f.events.Pop(kWait);
    RC_ASSERT(last.has_value());
  } while (!IsTerminal(*last));
  f.upstream_client.Stop();
  RC_ASSERT(f.events.Size() == 0U);
  if (const auto* failed = std::get_if<decision::attempt_failed>(&*last)) {
    RC_ASSERT(failed->verdict == run_verdict::kMayHaveRun);
  }
}

}  // namespace
}  // namespace tarragon::net
