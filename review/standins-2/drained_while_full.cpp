// A daemon is stopped while all engines are full. Requests that it accepts more than three seconds
// after the SIGTERM wait for an engine, are sent shortly before the process ends, and are cut off.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

/** Time between two events of four tokens with some generations in the batch. */
constexpr milliseconds kInterval{36};
constexpr int kTokensPerEvent = 4;
constexpr int kPromptTokensPerMs = 14;
/** From the SIGTERM to the end of the first of the long generations that fill the engines. */
constexpr milliseconds kFullFor{6850};
/** Time between the ends of two of them. */
constexpr milliseconds kBetweenEnds{100};
/** From the SIGTERM to the requests on open connections. */
constexpr milliseconds kLateRequests{3050};
constexpr int kLateCount = 12;
constexpr int kLateEvents = 17;

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

rig::call MakeCall(const std::string& id, int prompt, int output) {
  return {.id = id,
          .path = "/report/2f",
          .headers = {{"Model", "m"},
                      {"Token-Usage", std::to_string(prompt) + "," + std::to_string(output)},
                      {"Prompt-Prefix",
                       "5c1e07a2:48,91bd3f06:31," + id + ":" + std::to_string(prompt - 79)},
                      {"Deadline-Ms", "39000"}},
          .body = std::string(2000, 'x')};
}

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: drained_while_full FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  std::atomic<std::int64_t> fill_end{std::int64_t{1} << 40};
  std::vector<std::unique_ptr<rig::endpoint>> engines;
  /** Held by the prompt that an engine reads. */
  std::array<std::mutex, 2> prefills;
  rig::store store;
  for (const char* name : {"i-7f3a91c2", "i-02d9e6b4"}) {
    engines.push_back(std::make_unique<rig::endpoint>(
        name, "pool",
        [&engines, &prefills, &fill_end, index = engines.size()](const rig::connection_ptr& caller,
                                                                 const rig::message& request) {
          const std::string id = request.Header("Attempt-Id");
          const bool is_filler = id.rfind("f111", 0) == 0;
          const auto ends_later = kBetweenEnds.count() * (id.back() - '0');
          const std::string usage = request.Header("Token-Usage");
          const int prompt = std::atoi(usage.c_str());
          const int limit = std::atoi(usage.c_str() + usage.find(',') + 1) / kTokensPerEvent;
          {
            const std::lock_guard prefill(prefills[index]);
            std::this_thread::sleep_for(milliseconds(prompt / kPromptTokensPerMs));
          }
          std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
          for (const auto& [header, value] : engines[index]->SuccessHeaders(request)) {
            head += header + ": " + value + "\r\n";
          }
          bool is_open = caller->Write(head + "\r\n");
          int made = 0;
          const auto has_more = [&] {
            return made < limit && (!is_filler || rig::Now().count() < fill_end + ends_later);
          };
          while (is_open && has_more() && !caller->IsClosedByPeer()) {
            is_open = caller->Write(Chunk(Event(++made)));
            std::this_thread::sleep_for(kInterval);
          }
          const bool is_whole = is_open && !has_more() && caller->Write("0\r\n\r\n");
          rig::Record("endpoint " + engines[index]->id() + " ends its run of " + id + " after " +
                      std::to_string(made) + " events, " +
                      (is_whole ? "whole" : "as the connection has ended"));
        }));
    const int port = rig::FreePorts(1)[0];
    engines.back()->Listen(port);
    store.Put("servers", engines.back()->id(), engines.back()->Row("ready", port));
  }
  store.Put("op", "config", rig::Configuration());
  const int store_port = rig::FreePorts(1)[0];
  store.Serve(store_port);
  rig::gateway stopped("front-centru-a-1", "centru-a", store_port);
  rig::gateway other("front-centru-b-1", "centru-b", store_port);
  for (rig::gateway* each : {&stopped, &other}) {
    each->Start();
  }
  for (rig::gateway* each : {&stopped, &other}) {
    rig::Require(each->WaitUntilReady(), "a gateway is not ready");
  }
  std::this_thread::sleep_for(milliseconds(2500));

  // Open connections to the daemon that is stopped; each has served a short report.
  std::vector<rig::connection_ptr> kept;
  for (int i = 0; i < kLateCount; ++i) {
    kept.push_back(rig::Connect(stopped.callers_port()));
    rig::Require(kept.back() != nullptr, "the gateway accepts no caller");
    const rig::outcome got =
        rig::Perform(*kept.back(), MakeCall("9c41d07be2a300" + std::to_string(10 + i), 1000, 8));
    rig::Require(got.status == 200 && got.is_complete, "the first requests are not served");
  }

  // Long reports fill the engines, all but one through the other daemon.
  std::vector<std::thread> callers;
  for (int i = 0; i < 10; ++i) {
    callers.emplace_back([&, i] {
      const int prompt = i < 6 ? 6000 : 3000;
      const int output = i < 6 ? 2224 : 1000;
      const rig::connection_ptr to =
          rig::Connect(i == 0 ? stopped.callers_port() : other.callers_port());
      rig::Perform(*to, MakeCall("f1110000000000" + std::to_string(10 + i), prompt, output));
    });
    std::this_thread::sleep_for(milliseconds(100));
  }
  std::this_thread::sleep_for(milliseconds(500));

  const milliseconds begin = rig::Now();
  fill_end = (begin + kFullFor).count();
  if (has_trouble) {
    rig::Record("SIGTERM to front-centru-a-1");
    stopped.Signal(SIGTERM);
  }
  rig::SleepUntil(begin + kLateRequests);
  std::atomic<int> cut{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  for (int i = 0; i < kLateCount; ++i) {
    std::this_thread::sleep_for(milliseconds(30));
    callers.emplace_back([&, i] {
      const std::string id = "9c41d07be2a301" + std::to_string(10 + i);
      const rig::outcome got = rig::Perform(*kept[static_cast<std::size_t>(i)],
                                            MakeCall(id, 3000, kLateEvents * kTokensPerEvent));
      served += got.status == 200 && got.is_complete ? 1 : 0;
      refused += got.status == 503 ? 1 : 0;
      if (got.status == 200 && !got.is_complete) {
        ++cut;
        rig::Record("RULE BROKEN: the answer to " + id + ", sent " +
                    std::to_string((got.sent - begin).count()) +
                    " ms after the SIGTERM, was cut off after event " +
                    std::to_string(got.CountEvents()) + " of " + std::to_string(kLateEvents) +
                    ", " + std::to_string((got.ended - begin).count()) + " ms after the SIGTERM");
      }
    });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  rig::Record(std::to_string(served) + " served, " + std::to_string(refused) + " refused, " +
              std::to_string(cut) + " cut off");
  rig::Require(has_trouble || served == kLateCount,
               "not all requests were served without the disruption");
  rig::Exit(cut > 0 ? 1 : 0);
}
