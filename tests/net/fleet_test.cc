#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/common/stand_in_server.h"
#include "fakes/fake_platform/platform_service.h"
#include "net/raw_server.h"
#include "tarragon/base/hash.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/net/entry_process.h"

namespace tarragon::net {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr int kTokens = 6;
constexpr int kPausedAt = 3;
constexpr const char* kSections =
    R"({{"sections":{{"models":"[[model]]\nname=\"m\"\nversion=\"1\"\nadapters=[]\nmin_serving_share=0.0",
"accounts":"[[account]]\nname=\"a\"\nweight=1\nrequests_per_second=1000\ntoken_sha256=\"{}\"",
"classes":"[[class]]\nname=\"hold\"\npriority=0\nloss_policy=\"hold\"\ndefault_deadline_ms=60000\nurgent=false\n[[class]]\nname=\"restart\"\npriority=0\nloss_policy=\"restart\"\ndefault_deadline_ms=60000\nurgent=false",
"services":"[[service]]\nname=\"m\"\nkind=\"model\"\nmodel=\"m\"\ndefault_class=\"restart\"\n[[service]]\nname=\"booking\"\nkind=\"plain\"\ndefault_class=\"restart\"\nunrepeatable_paths=[\"/confirm\"]",
"drill":"# none",
"fleet":{}}}}})";

template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 3000 && !condition(); ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

std::string Between(const std::string& text, const std::string& before, const std::string& after) {
  const std::size_t place = text.rfind(before);
  const std::size_t begin = place + before.size();
  return place == std::string::npos ? "" : text.substr(begin, text.find(after, begin) - begin);
}

int Count(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

std::string Exchange(int port, std::string_view request) {
  const auto connection = raw_connection::Connect(port);
  connection.Write(request);
  return connection.ReadAll();
}

std::string Request(std::string_view method,
                    std::string_view path,
                    std::string_view headers,
                    std::string_view body) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer t\r\n{}"
      "Content-Length: {}\r\n\r\n{}",
      method, path, headers, body.size(), body);
}

std::string Stream(std::string_view headers) {
  return Request("POST", "/v1/completions", headers, R"({"model":"m","prompt":"p","stream":true})");
}

/** Engine that keeps its generations when a connection ends, as the protocol asks. */
class test_engine {
 public:
  test_engine()
      : server_(std::make_unique<raw_server>(
            [this](const std::string& request, raw_connection& c) { Answer(request, c); })),
        address_(server_->address()) {}
  ~test_engine() { Kill(); }

  void Kill() {
    killed_ = true;
    server_.reset();
  }
  const std::string& address() const { return address_; }

  std::atomic<bool> paused{false};
  std::atomic<bool> leaving{false};
  std::atomic<int> started{0};
  std::atomic<int> calls{0};

 private:
  void Answer(const std::string& request, raw_connection& c) {
    const std::string generation = Between(request, "X-Request-Id: ", "\r\n");
    const std::size_t resumed = request.find("/events?from=");
    if (request.starts_with("GET /v1/load ") || request.starts_with("GET /load ")) {
      const std::string body =
          fmt::format(R"({{"slots":64,"model":"m","leaving":{}}})", leaving.load());
      c.Write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
                          body.size(), body));
    } else if (request.starts_with("POST /v1/completions ")) {
      ++started;
      Generate(generation, 0, c);
    } else if (resumed != std::string::npos) {
      const std::string id = Between(request, "/v1/generations/", "/events");
      Generate(id, std::stoi(request.substr(resumed + 13)), c);
    } else if (request.find("/confirm") != std::string::npos) {
      ++calls;
      c.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
    }
  }

  void Generate(const std::string& generation, int from, raw_connection& c) {
    c.Write(kStreamHeader);
    for (int i = from; i < kTokens; ++i) {
      while (i == kPausedAt && paused && !killed_) {
        c.Write(": keep-alive\n\n");
        std::this_thread::sleep_for(milliseconds(100));
      }
      if (killed_ || !c.Write(TokenEvent(i, fmt::format("{}/{}", generation, i)))) {
        return;
      }
    }
    c.Write(kDoneEvent);
  }

  std::atomic<bool> killed_{false};
  std::unique_ptr<raw_server> server_;
  const std::string address_;
};

/** The tokens after the last restart are one whole generation, each exactly once. */
void ExpectOneWholeGeneration(const std::string& answer) {
  const std::size_t restart = answer.rfind("event: generation-restarted");
  const std::string last = restart == std::string::npos ? answer : answer.substr(restart);
  const std::string generation = Between(last, "\nid: ", ":");
  for (int i = 0; i < kTokens; ++i) {
    EXPECT_EQ(Count(last, fmt::format("\"text\":\"{}/{}\"", generation, i)), 1) << i << answer;
  }
  EXPECT_EQ(Count(last, "\nid: "), kTokens) << answer;
  EXPECT_THAT(last, HasSubstr("data: [DONE]"));
}

class fleet_test : public testing::Test {
 protected:
  fleet_test() : platform_(milliseconds(0)), service_({.write_rate = 0, .read_rate = 0}, time_) {
    // Without the library's SO_REUSEPORT, by which two tests would share a port.
    platform_.set_socket_options([](socket_t) {});
    platform_port_ = NextPort();
    while (!platform_.Bind(fmt::format("127.0.0.1:{}", platform_port_))) {
      platform_port_ = NextPort();
    }
    service_.Register(platform_);
    platform_thread_ = std::thread([this] { platform_.listen_after_bind(); });
    while (!platform_.is_running()) {
      std::this_thread::yield();
    }
  }
  ~fleet_test() override {
    entries_.clear();
    platform_.stop();
    platform_thread_.join();
  }

  // Tests run in processes of their own at the same time, so that each starts elsewhere.
  static int NextPort() {
    static int next = static_cast<int>(::getpid() % 900);
    return 21000 + next++ % 1000;
  }

  std::string Fleet(const std::string& comment = "") const {
    std::string text = comment;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      text += fmt::format(
          "[[endpoint]]\nname=\"e{}\"\naddress=\"{}\"\nservice=\"{}\"\nfailure_domain=\"a\"\n", i,
          endpoints_[i].address, endpoints_[i].service);
    }
    return text;
  }

  /** Starts an entry that knows the peer addresses of those that run. */
  entry_process& Start(bool with_peers = true) {
    while (true) {
      settings::entry_settings settings;
      settings.vm_name = fmt::format("entry-{}", ++started_);
      settings.failure_domain = "a";
      settings.callers_address = "127.0.0.1:0";
      settings.peer_address = fmt::format("127.0.0.1:{}", NextPort());
      settings.platform_address = fmt::format("127.0.0.1:{}", platform_port_);
      settings.ticket_key = "0123456789abcdef0123456789abcdef";
      settings.teams["ops"] = {Sha256Hex("t"), document::SectionNames()};
      if (with_peers) {
        settings.seeds = peers_;
      }
      auto entry = std::make_unique<entry_process>(settings, time_);
      if (entry->Start(nullptr)) {
        peers_.push_back(settings.peer_address);
        entries_.push_back(std::move(entry));
        return *entries_.back();
      }
    }
  }

  /** Starts `count` entries and the document with all endpoints. */
  void StartFleet(int count) {
    for (int i = 0; i < count; ++i) {
      Start();
    }
    const std::string body =
        fmt::format(fmt::runtime(kSections), Sha256Hex("t"), nlohmann::json(Fleet()).dump());
    const std::string answer =
        Exchange(Port(0), Request("PUT", "/admin/document", "Edit-Id: first\r\n", body));
    ASSERT_THAT(answer, HasSubstr(" 200 ")) << answer;
    ASSERT_TRUE(Eventually([this] {
      return std::ranges::all_of(entries_, [](const auto& entry) { return entry->IsReady(); });
    }));
  }

  int Port(std::size_t entry) const { return entries_[entry]->callers_port(); }
  std::string Status(std::size_t entry) const {
    return Exchange(Port(entry), Request("GET", "/admin/status", "", ""));
  }
  bool Sees(std::size_t entry, std::size_t others) const {
    return static_cast<std::size_t>(Count(Status(entry), "\"state\":\"alive\"")) >= others;
  }
  void SetPlatform(const std::string& fault) const {
    Exchange(platform_port_, Request("POST", "/fault", "", "{\"kind\":\"" + fault + "\"}"));
  }
  test_engine& AddEngine() {
    engines_.push_back(std::make_unique<test_engine>());
    endpoints_.push_back({"m", engines_.back()->address()});
    return *engines_.back();
  }
  /** Adds the endpoint that the document needs for the plain service. */
  test_engine& AddPlain() {
    engines_.push_back(std::make_unique<test_engine>());
    endpoints_.push_back({"booking", engines_.back()->address()});
    return *engines_.back();
  }

  /** @return what a caller of the class got whose endpoint died after a few tokens. */
  std::string LoseEndpoint(const std::string& request_class) {
    test_engine& first = AddEngine();
    test_engine& second = AddEngine();
    AddPlain();
    first.paused = second.paused = true;
    StartFleet(1);
    const auto caller = raw_connection::Connect(Port(0));
    caller.Write(Stream("Request-Class: " + request_class + "\r\n"));
    std::string answer;
    if (request_class == "restart") {
      answer = caller.ReadUntil("/2\"");
    }
    EXPECT_TRUE(Eventually([&] { return first.started + second.started == 1; }));
    test_engine& victim = first.started == 1 ? first : second;
    first.paused = second.paused = false;
    victim.paused = true;
    victim.Kill();
    return answer + caller.ReadAll();
  }

  struct listed_endpoint {
    std::string service;
    std::string address;
  };

  const real_clock time_;
  fakes::stand_in_server platform_;
  fakes::platform_service service_;
  int platform_port_ = 0;
  std::thread platform_thread_;
  std::vector<std::unique_ptr<test_engine>> engines_;
  std::vector<listed_endpoint> endpoints_;
  int started_ = 0;
  std::vector<std::string> peers_;
  std::vector<std::unique_ptr<entry_process>> entries_;
};

// Guards against an edit that other entries only learn of by reading the platform.
TEST_F(fleet_test, EditIsInForceOnAllEntries) {
  AddEngine();
  AddPlain();
  StartFleet(3);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    ASSERT_TRUE(Eventually([&] { return Sees(i, 2); })) << Status(i);
  }
  const std::string answer =
      Exchange(Port(1), Request("PUT", "/admin/document/sections/fleet",
                                "If-Match: \"1\"\r\nEdit-Id: second\r\n", Fleet("# changed\n")));
  SetPlatform("outage");
  ASSERT_THAT(answer, HasSubstr("\"document_version\":2"));
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    EXPECT_TRUE(Eventually([&] {
      return Status(i).find("\"document_version\":2,\"draining\"") != std::string::npos;
    })) << Status(i);
  }
}

// Guards against an entry that cannot start while the platform is away, or serves without document.
TEST_F(fleet_test, StartsFromPeerDuringOutage) {
  AddEngine();
  AddPlain();
  StartFleet(1);
  SetPlatform("outage");
  const entry_process& helped = Start();
  const entry_process& alone = Start(/*with_peers=*/false);
  EXPECT_TRUE(Eventually([&] { return helped.IsReady(); }));
  ExpectOneWholeGeneration(Exchange(helped.callers_port(), Stream("")));
  EXPECT_FALSE(alone.IsReady());
  const std::string refused = Exchange(alone.callers_port(), Stream(""));
  EXPECT_THAT(refused, HasSubstr("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Run-Verdict: not-run"));
  EXPECT_THAT(Exchange(alone.callers_port(), Request("GET", "/readyz", "", "")),
              HasSubstr(" 503 "));
}

// Guards against new work for an endpoint that said it leaves, while others are frozen.
TEST_F(fleet_test, LeavingEndpointGetsNothingNew) {
  test_engine& leaving = AddEngine();
  AddEngine();
  AddPlain();
  const auto freeze = [](const std::string&, raw_connection& c) { c.WaitForClose(); };
  const raw_server frozen(freeze);
  const raw_server frozen_too(freeze);
  endpoints_.push_back({"booking", frozen.address()});
  endpoints_.push_back({"booking", frozen_too.address()});
  StartFleet(3);
  leaving.leaving = true;
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    EXPECT_TRUE(Eventually([&] {
      const int before = leaving.started;
      for (int call = 0; call < 8; ++call) {
        Exchange(Port(i), Stream(""));
      }
      return leaving.started == before;
    }));
  }
  const int before = leaving.started;
  for (int call = 0; call < 30; ++call) {
    ExpectOneWholeGeneration(Exchange(Port(static_cast<std::size_t>(call) % 3), Stream("")));
  }
  EXPECT_EQ(leaving.started, before);
}

// Guards against an unrepeatable call that runs twice, or runs without the table.
TEST_F(fleet_test, UnrepeatableCallRunsOnceOverEntries) {
  AddEngine();
  const test_engine& engine = AddPlain();
  StartFleet(2);
  for (int round = 0; round < 10; ++round) {
    const std::string call = Request("POST", "/services/booking/confirm",
                                     fmt::format("Idempotency-Key: k{}\r\n", round), "{}");
    auto other = std::async(std::launch::async, [&] { return Exchange(Port(1), call); });
    const std::string first = Exchange(Port(0), call);
    const std::string second = other.get();
    EXPECT_EQ(engine.calls, round + 1) << first << second;
    EXPECT_THAT(first + second, HasSubstr("HTTP/1.1 200 "));
  }
  SetPlatform("outage");
  const std::string refused =
      Exchange(Port(0), Request("POST", "/services/booking/confirm", "Idempotency-Key: z\r\n", ""));
  EXPECT_THAT(refused, HasSubstr("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Run-Verdict: not-run"));
  EXPECT_EQ(engine.calls, 10);
  ExpectOneWholeGeneration(Exchange(Port(0), Stream("")));
}

// Guards against an answer that is lost with its endpoint, or joined from two generations.
TEST_F(fleet_test, HeldAnswerOutlivesItsEndpoint) {
  const std::string answer = LoseEndpoint("hold");
  ExpectOneWholeGeneration(answer);
  EXPECT_THAT(answer, Not(HasSubstr("generation-restarted")));
  EXPECT_EQ(engines_[0]->started + engines_[1]->started, 2);
}

// Guards against a restart that the caller is not told of, or that leaves it with the old ticket.
TEST_F(fleet_test, RestartIsAnnouncedWithANewTicket) {
  const std::string answer = LoseEndpoint("restart");
  ExpectOneWholeGeneration(answer);
  EXPECT_EQ(Count(answer, "event: generation-restarted"), 1) << answer;
  const std::string ticket = Between(answer, "\"resumption_ticket\":\"", "\"");
  EXPECT_NE(ticket, "");
  EXPECT_NE(ticket, Between(answer, "Resumption-Ticket: ", "\r\n"));
}

// Guards against streams that are lost when all entries are replaced one after another.
TEST_F(fleet_test, StreamsOutliveAllEntries) {
  test_engine& engine = AddEngine();
  AddPlain();
  engine.paused = true;
  StartFleet(3);
  struct caller {
    std::size_t entry;
    std::string received;
    std::unique_ptr<raw_connection> connection;
  };
  std::vector<caller> callers;
  const auto connect = [&](caller& one, const std::string& request) {
    one.connection = std::make_unique<raw_connection>(raw_connection::Connect(Port(one.entry)));
    one.connection->Write(request);
  };
  for (std::size_t i = 0; i < 3; ++i) {
    connect(callers.emplace_back(caller{.entry = i, .received = {}, .connection = {}}), Stream(""));
    callers[i].received = callers[i].connection->ReadUntil("/2\"");
  }
  for (std::size_t replaced = 0; replaced < 3; ++replaced) {
    entries_[replaced]->Stop();
    Start();
    std::swap(entries_[replaced], entries_.back());
    entries_.pop_back();
    ASSERT_TRUE(Eventually([&] { return entries_[replaced]->IsReady(); }));
    for (caller& one : callers) {
      if (one.entry == replaced) {
        one.entry = (replaced + 1) % 3;
        connect(one, Stream(fmt::format("Last-Event-ID: {}\r\nResumption-Ticket: {}\r\n",
                                        Between(one.received, "\nid: ", "\n"),
                                        Between(one.received, "Resumption-Ticket: ", "\r\n"))));
        one.received += one.connection->ReadUntil("\r\n\r\n");
      }
    }
  }
  engine.paused = false;
  for (caller& one : callers) {
    one.received += one.connection->ReadAll();
    ExpectOneWholeGeneration(one.received);
  }
  EXPECT_EQ(engine.started, 3);
}

}  // namespace
}  // namespace tarragon::net
