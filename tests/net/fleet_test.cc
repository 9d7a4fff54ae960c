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
#include "tarragon/base/metrics.h"
#include "tarragon/base/real_clock.h"
#include "tarragon/net/entry_process.h"

namespace tarragon::net {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr int kTokens = 6;
constexpr int kPauseAtToken = 3;
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

std::string TextBetween(const std::string& text,
                        const std::string& before,
                        const std::string& after) {
  const std::size_t found = text.rfind(before);
  const std::size_t begin = found + before.size();
  return found == std::string::npos ? "" : text.substr(begin, text.find(after, begin) - begin);
}

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

std::string SendRequest(int port, std::string_view request) {
  const auto connection = raw_connection::Connect(port);
  connection.Write(request);
  return connection.ReadAll();
}

std::string MakeRequest(std::string_view method,
                        std::string_view path,
                        std::string_view headers,
                        std::string_view body) {
  return fmt::format(
      "{} {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer t\r\n{}"
      "Content-Length: {}\r\n\r\n{}",
      method, path, headers, body.size(), body);
}

std::string MakeStreamRequest(std::string_view headers) {
  return MakeRequest("POST", "/v1/completions", headers,
                     R"({"model":"m","prompt":"p","stream":true})");
}

/** Fake engine whose generations can be resumed after a lost connection, as in the protocol. */
class test_engine {
 public:
  test_engine()
      : server_(std::make_unique<raw_server>(
            [this](const std::string& request, raw_connection& connection) {
              HandleRequest(request, connection);
            })),
        address_(server_->address()) {}
  ~test_engine() { Kill(); }

  void Kill() {
    killed_ = true;
    server_.reset();
  }
  const std::string& address() const { return address_; }

  std::atomic<bool> paused{false};
  std::atomic<bool> leaving{false};
  std::atomic<int> generations_started{0};
  std::atomic<int> service_calls{0};

 private:
  void HandleRequest(const std::string& request, raw_connection& connection) {
    const std::string generation = TextBetween(request, "X-Request-Id: ", "\r\n");
    const std::size_t resumed = request.find("/events?from=");
    if (request.starts_with("GET /v1/load ") || request.starts_with("GET /load ")) {
      const std::string body =
          fmt::format(R"({{"slots":64,"model":"m","leaving":{}}})", leaving.load());
      connection.Write(
          fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
                      body.size(), body));
    } else if (request.starts_with("POST /v1/completions ")) {
      ++generations_started;
      SendGeneration(generation, 0, connection);
    } else if (resumed != std::string::npos) {
      const std::string id = TextBetween(request, "/v1/generations/", "/events");
      SendGeneration(id, std::stoi(request.substr(resumed + 13)), connection);
    } else if (request.find("/confirm") != std::string::npos) {
      ++service_calls;
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
    }
  }

  void SendGeneration(const std::string& generation, int from, raw_connection& connection) {
    connection.Write(kStreamHeader);
    for (int i = from; i < kTokens; ++i) {
      while (i == kPauseAtToken && paused && !killed_) {
        connection.Write(": keep-alive\n\n");
        std::this_thread::sleep_for(milliseconds(100));
      }
      if (killed_ || !connection.Write(TokenEvent(i, fmt::format("{}/{}", generation, i)))) {
        return;
      }
    }
    connection.Write(kDoneEvent);
  }

  std::atomic<bool> killed_{false};
  std::unique_ptr<raw_server> server_;
  const std::string address_;
};

/** Checks that each token after the last restart occurs once, all from one generation. */
void ExpectOneCompleteGeneration(const std::string& answer) {
  const std::size_t restart = answer.rfind("event: generation-restarted");
  const std::string last = restart == std::string::npos ? answer : answer.substr(restart);
  const std::string generation = TextBetween(last, "\nid: ", ":");
  for (int i = 0; i < kTokens; ++i) {
    EXPECT_EQ(CountOccurrences(last, fmt::format("\"text\":\"{}/{}\"", generation, i)), 1)
        << i << answer;
  }
  EXPECT_EQ(CountOccurrences(last, "\nid: "), kTokens) << answer;
  EXPECT_THAT(last, HasSubstr("data: [DONE]"));
}

class fleet_test : public testing::Test {
 protected:
  fleet_test() : platform_(milliseconds(0)), service_({.write_rate = 0, .read_rate = 0}, time_) {
    // Disables the library's default SO_REUSEPORT, which would let two tests share a port.
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

  // Tests run in parallel processes, so the first port depends on the process id.
  static int NextPort() {
    static int next = static_cast<int>(::getpid() % 900);
    return 21000 + next++ % 1000;
  }

  std::string FleetSectionText(const std::string& comment = "") const {
    std::string text = comment;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
      text += fmt::format(
          "[[endpoint]]\nname=\"e{}\"\naddress=\"{}\"\nservice=\"{}\"\nfailure_domain=\"a\"\n", i,
          endpoints_[i].address, endpoints_[i].service);
    }
    return text;
  }

  /** Starts an entry. With `use_seeds`, it gets the addresses of all earlier entries as seeds. */
  entry_process& StartEntry(bool use_seeds = true) {
    while (true) {
      settings::entry_settings settings;
      settings.vm_name = fmt::format("entry-{}", ++started_);
      settings.failure_domain = "a";
      settings.callers_address = "127.0.0.1:0";
      settings.peer_address = fmt::format("127.0.0.1:{}", NextPort());
      settings.platform_address = fmt::format("127.0.0.1:{}", platform_port_);
      settings.ticket_key = "0123456789abcdef0123456789abcdef";
      settings.teams["ops"] = {Sha256Hex("t"), document::SectionNames()};
      if (use_seeds) {
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

  /** Starts `count` entries and writes the first document, which lists all endpoints. */
  void StartFleet(int count) {
    for (int i = 0; i < count; ++i) {
      StartEntry();
    }
    const std::string body = fmt::format(fmt::runtime(kSections), Sha256Hex("t"),
                                         nlohmann::json(FleetSectionText()).dump());
    const std::string answer =
        SendRequest(Port(0), MakeRequest("PUT", "/admin/document", "Edit-Id: first\r\n", body));
    ASSERT_THAT(answer, HasSubstr(" 200 ")) << answer;
    ASSERT_TRUE(Eventually([this] {
      return std::ranges::all_of(entries_, [](const auto& entry) { return entry->IsReady(); });
    }));
  }

  int Port(std::size_t entry) const { return entries_[entry]->callers_port(); }
  std::string Status(std::size_t entry) const {
    return SendRequest(Port(entry), MakeRequest("GET", "/admin/status", "", ""));
  }
  bool SeesAlivePeers(std::size_t entry, std::size_t others) const {
    return static_cast<std::size_t>(CountOccurrences(Status(entry), "\"state\":\"alive\"")) >=
           others;
  }
  void SetPlatformFault(const std::string& fault) const {
    SendRequest(platform_port_, MakeRequest("POST", "/fault", "", "{\"kind\":\"" + fault + "\"}"));
  }
  test_engine& AddEngine() {
    engines_.push_back(std::make_unique<test_engine>());
    endpoints_.push_back({"m", engines_.back()->address()});
    return *engines_.back();
  }
  /** Adds the endpoint of the plain service, which the document requires. */
  test_engine& AddPlainService() {
    engines_.push_back(std::make_unique<test_engine>());
    endpoints_.push_back({"booking", engines_.back()->address()});
    return *engines_.back();
  }

  /** Kills the endpoint that runs a stream of the class. @return the answer that the caller got. */
  std::string StreamThroughEndpointLoss(const std::string& request_class) {
    test_engine& first = AddEngine();
    test_engine& second = AddEngine();
    AddPlainService();
    first.paused = second.paused = true;
    StartFleet(1);
    const auto caller = raw_connection::Connect(Port(0));
    caller.Write(MakeStreamRequest("Request-Class: " + request_class + "\r\n"));
    std::string answer;
    if (request_class == "restart") {
      answer = caller.ReadUntil("/2\"");
    }
    EXPECT_TRUE(
        Eventually([&] { return first.generations_started + second.generations_started == 1; }));
    test_engine& victim = first.generations_started == 1 ? first : second;
    first.paused = second.paused = false;
    victim.paused = true;
    victim.Kill();
    return answer + caller.ReadAll();
  }

  /**
   * Checks that no entry uses the endpoint once `counter` has grown by `rounds` on every entry. By
   * then each entry has read a load report or VM list made after the call.
   */
  void ExpectNoNewWorkFor(const test_engine& leaving, const char* counter, std::int64_t rounds) {
    std::vector<std::int64_t> target_counts;
    target_counts.reserve(entries_.size());
    for (const auto& entry : entries_) {
      target_counts.push_back(entry->counters().Counter(counter).Value() + rounds);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      ASSERT_TRUE(Eventually(
          [&] { return entries_[i]->counters().Counter(counter).Value() >= target_counts[i]; }));
    }
    const int before = leaving.generations_started;
    for (std::size_t call = 0; call < 30; ++call) {
      ExpectOneCompleteGeneration(SendRequest(Port(call % entries_.size()), MakeStreamRequest("")));
    }
    EXPECT_EQ(leaving.generations_started, before);
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

// Guards against an edit that other entries only receive by reading the platform.
TEST_F(fleet_test, EditTakesEffectOnAllEntries) {
  AddEngine();
  AddPlainService();
  StartFleet(3);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    ASSERT_TRUE(Eventually([&] { return SeesAlivePeers(i, 2); })) << Status(i);
  }
  const std::string answer =
      SendRequest(Port(1), MakeRequest("PUT", "/admin/document/sections/fleet",
                                       "If-Match: \"1\"\r\nEdit-Id: second\r\n",
                                       FleetSectionText("# changed\n")));
  SetPlatformFault("outage");
  ASSERT_THAT(answer, HasSubstr("\"document_version\":2"));
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    EXPECT_TRUE(Eventually([&] {
      return Status(i).find("\"document_version\":2,\"draining\"") != std::string::npos;
    })) << Status(i);
  }
}

// Guards against an entry that cannot start during a platform outage, or serves without a document.
TEST_F(fleet_test, StartsFromPeerDuringOutage) {
  AddEngine();
  AddPlainService();
  StartFleet(1);
  SetPlatformFault("outage");
  const entry_process& with_seeds = StartEntry();
  const entry_process& without_seeds = StartEntry(/*use_seeds=*/false);
  EXPECT_TRUE(Eventually([&] { return with_seeds.IsReady(); }));
  ExpectOneCompleteGeneration(SendRequest(with_seeds.callers_port(), MakeStreamRequest("")));
  EXPECT_FALSE(without_seeds.IsReady());
  const std::string refused = SendRequest(without_seeds.callers_port(), MakeStreamRequest(""));
  EXPECT_THAT(refused, HasSubstr("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Run-Verdict: not-run"));
  EXPECT_THAT(SendRequest(without_seeds.callers_port(), MakeRequest("GET", "/readyz", "", "")),
              HasSubstr(" 503 "));
}

// Guards against a drained entry that peers remove only after the suspicion timeout.
TEST_F(fleet_test, DrainedEntryLeaves) {
  AddEngine();
  AddPlainService();
  StartFleet(2);
  ASSERT_TRUE(Eventually([&] { return SeesAlivePeers(0, 1) && SeesAlivePeers(1, 1); }));
  entries_[1]->Drain();
  EXPECT_TRUE(Eventually([&] { return Status(0).find("\"state\":\"left\"") != std::string::npos; }))
      << Status(0);
}

// Guards against new work for an endpoint that reports it is leaving while other endpoints hang.
TEST_F(fleet_test, LeavingEndpointGetsNoNewWork) {
  const auto wait_for_close = [](const std::string&, raw_connection& connection) {
    connection.WaitForClose();
  };
  const raw_server hung_endpoint(wait_for_close);
  const raw_server other_hung_endpoint(wait_for_close);
  endpoints_.push_back({"booking", hung_endpoint.address()});
  endpoints_.push_back({"booking", other_hung_endpoint.address()});
  test_engine& leaving = AddEngine();
  AddEngine();
  StartFleet(3);
  leaving.leaving = true;
  ExpectNoNewWorkFor(leaving, "tarragon_load_polls_total",
                     3 * static_cast<std::int64_t>(endpoints_.size()));
}

// Guards against new work for an endpoint that only the platform's VM list marks as leaving.
TEST_F(fleet_test, EndpointLeavingInVmListGetsNoNewWork) {
  const test_engine& leaving = AddEngine();
  AddEngine();
  AddPlainService();
  StartFleet(3);
  SendRequest(platform_port_,
              MakeRequest("PUT", "/vms/e0", "",
                          R"({"address":"127.0.0.1:1","failure_domain":"a","state":"leaving"})"));
  ExpectNoNewWorkFor(leaving, "tarragon_vm_list_reads_total", 2);
}

// Guards against an unrepeatable call that runs twice, or runs while claims cannot be written.
TEST_F(fleet_test, UnrepeatableCallRunsOnceAcrossEntries) {
  AddEngine();
  const test_engine& engine = AddPlainService();
  StartFleet(2);
  for (int round = 0; round < 10; ++round) {
    const std::string call = MakeRequest("POST", "/services/booking/confirm",
                                         fmt::format("Idempotency-Key: k{}\r\n", round), "{}");
    auto other = std::async(std::launch::async, [&] { return SendRequest(Port(1), call); });
    const std::string first = SendRequest(Port(0), call);
    const std::string second = other.get();
    EXPECT_EQ(engine.service_calls, round + 1) << first << second;
    EXPECT_THAT(first + second, HasSubstr("HTTP/1.1 200 "));
  }
  SetPlatformFault("outage");
  const std::string refused = SendRequest(
      Port(0), MakeRequest("POST", "/services/booking/confirm", "Idempotency-Key: z\r\n", ""));
  EXPECT_THAT(refused, HasSubstr("HTTP/1.1 503 "));
  EXPECT_THAT(refused, HasSubstr("Run-Verdict: not-run"));
  EXPECT_EQ(engine.service_calls, 10);
  ExpectOneCompleteGeneration(SendRequest(Port(0), MakeStreamRequest("")));
}

// Guards against an answer that is lost with its endpoint, or mixes tokens of two generations.
TEST_F(fleet_test, HeldStreamSurvivesEndpointLoss) {
  const std::string answer = StreamThroughEndpointLoss("hold");
  ExpectOneCompleteGeneration(answer);
  EXPECT_THAT(answer, Not(HasSubstr("generation-restarted")));
  EXPECT_EQ(engines_[0]->generations_started + engines_[1]->generations_started, 2);
}

// Guards against a restart that is not announced to the caller or comes without a new ticket.
TEST_F(fleet_test, RestartIsAnnouncedWithANewTicket) {
  const std::string answer = StreamThroughEndpointLoss("restart");
  ExpectOneCompleteGeneration(answer);
  EXPECT_EQ(CountOccurrences(answer, "event: generation-restarted"), 1) << answer;
  const std::string ticket = TextBetween(answer, "\"resumption_ticket\":\"", "\"");
  EXPECT_NE(ticket, "");
  EXPECT_NE(ticket, TextBetween(answer, "Resumption-Ticket: ", "\r\n"));
}

// Guards against streams that are lost while all entries are replaced one by one.
TEST_F(fleet_test, StreamsSurviveReplacementOfAllEntries) {
  test_engine& engine = AddEngine();
  AddPlainService();
  engine.paused = true;
  StartFleet(3);
  struct caller {
    std::size_t entry;
    std::string received;
    std::unique_ptr<raw_connection> connection;
  };
  std::vector<caller> callers;
  const auto connect = [&](caller& client, const std::string& request) {
    client.connection =
        std::make_unique<raw_connection>(raw_connection::Connect(Port(client.entry)));
    client.connection->Write(request);
  };
  for (std::size_t i = 0; i < 3; ++i) {
    connect(callers.emplace_back(caller{.entry = i, .received = {}, .connection = {}}),
            MakeStreamRequest(""));
    callers[i].received = callers[i].connection->ReadUntil("/2\"");
  }
  for (std::size_t replaced = 0; replaced < 3; ++replaced) {
    entries_[replaced]->Stop();
    StartEntry();
    std::swap(entries_[replaced], entries_.back());
    entries_.pop_back();
    ASSERT_TRUE(Eventually([&] { return entries_[replaced]->IsReady(); }));
    for (caller& client : callers) {
      if (client.entry == replaced) {
        client.entry = (replaced + 1) % 3;
        connect(client, MakeStreamRequest(fmt::format(
                            "Last-Event-ID: {}\r\nResumption-Ticket: {}\r\n",
                            TextBetween(client.received, "\nid: ", "\n"),
                            TextBetween(client.received, "Resumption-Ticket: ", "\r\n"))));
        client.received += client.connection->ReadUntil("\r\n\r\n");
      }
    }
  }
  engine.paused = false;
  for (caller& client : callers) {
    client.received += client.connection->ReadAll();
    ExpectOneCompleteGeneration(client.received);
  }
  EXPECT_EQ(engine.generations_started, 3);
}

}  // namespace
}  // namespace tarragon::net
