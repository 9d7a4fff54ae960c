// While the store is away, an engine restarts under its id with a newer software version. Streams
// of the old version that the other engine has stopped for a second go on there.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

constexpr int kStreams = 18;
constexpr int kEvents = 13;
constexpr milliseconds kInterval{36};
constexpr milliseconds kPrefill{36};
/** "A sound worker may fall silent for a second or so and go on." */
constexpr milliseconds kSilence{1400};
constexpr int kSilentAfterEvent = 4;
constexpr milliseconds kStoreAway{5000};
constexpr milliseconds kRestart{300};

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

rig::call MakeCall(const std::string& id) {
  return {.id = id,
          .path = "/tag/2f",
          .headers = {{"Model", "m"},
                      {"Token-Usage", "500,52"},
                      {"Prompt-Prefix", "5c1e07a2:210," + id + ":290"},
                      {"Deadline-Ms", "6000"}},
          .body = std::string(2000, 'x')};
}

bool Holds(const rig::outcome& got, const std::string& version) {
  return got.body.find("data: " + version + " ") != std::string::npos;
}

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: restarted_in_place FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  std::vector<std::unique_ptr<rig::endpoint>> engines;
  std::atomic<bool> is_newer{false};
  /** When the second engine is silent. */
  std::atomic<std::int64_t> silent_until{0};
  rig::store store;
  for (const char* name : {"i-7f3a91c2", "i-02d9e6b4"}) {
    engines.push_back(std::make_unique<rig::endpoint>(
        name, "pool",
        [&, index = engines.size()](const rig::connection_ptr& caller,
                                    const rig::message& request) {
          const std::string version = index == 0 && is_newer ? "v2" : "v1";
          std::this_thread::sleep_for(kPrefill);
          std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
          for (const auto& [header, value] : engines[index]->SuccessHeaders(request)) {
            head += header + ": " + value + "\r\n";
          }
          bool is_open = caller->Write(head + "\r\n");
          int made = std::atoi(request.Header("Last-Event-Id").c_str());
          while (is_open && made < kEvents) {
            if (index == 1 && made == kSilentAfterEvent) {
              std::int64_t none = 0;
              silent_until.compare_exchange_strong(none, (rig::Now() + kSilence).count());
            }
            if (index == 1 && rig::Now().count() < silent_until) {
              rig::SleepUntil(milliseconds(silent_until));
            }
            if (caller->IsClosedByPeer()) {
              return;
            }
            ++made;
            is_open = caller->Write(Chunk("id: " + std::to_string(made) + "\ndata: " + version +
                                          " piece " + std::to_string(made) + "\n\n"));
            std::this_thread::sleep_for(kInterval);
          }
          if (is_open && made == kEvents) {
            caller->Write("0\r\n\r\n");
          }
        }));
    engines.back()->Listen(rig::FreePorts(1)[0]);
  }
  rig::endpoint& restarted = *engines[0];
  const auto publish = [&](const rig::endpoint& each) {
    store.Put("servers", each.id(), each.Row("ready", each.port()));
  };
  publish(*engines[0]);
  publish(*engines[1]);
  store.Put("op", "config", rig::Configuration());
  const int store_port = rig::FreePorts(1)[0];
  store.Serve(store_port);
  rig::gateway daemon("front-centru-a-1", "centru-a", store_port);
  daemon.Start();
  rig::Require(daemon.WaitUntilReady(), "the gateway is not ready");
  std::this_thread::sleep_for(milliseconds(2000));

  const milliseconds begin = rig::Now();
  if (has_trouble) {
    rig::Record("the store is away");
    store.GoAway();
  }
  std::this_thread::sleep_for(milliseconds(300));
  rig::Record(restarted.id() + " ends");
  restarted.End();
  std::this_thread::sleep_for(kRestart);
  is_newer = true;
  restarted.Restart("v2");
  rig::Record(restarted.id() + " is back under its id, with version v2");
  std::thread registered([&] {
    // It writes its row as soon as the store takes it.
    rig::SleepUntil(has_trouble ? begin + kStoreAway : rig::Now());
    publish(restarted);
    rig::Record("the row of " + restarted.id() + " says v2");
  });
  std::this_thread::sleep_for(milliseconds(700));

  std::vector<std::thread> callers;
  std::atomic<int> mixed{0};
  std::atomic<int> served{0};
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const std::string id = "9c41d07be2a31" + std::to_string(100 + i);
      const rig::connection_ptr to = rig::Connect(daemon.callers_port());
      const rig::outcome got = rig::Perform(*to, MakeCall(id));
      served += got.status == 200 && got.is_complete ? 1 : 0;
      if (Holds(got, "v1") && Holds(got, "v2")) {
        ++mixed;
        rig::Record("the stream of " + id + " holds events of v1 and of v2");
      }
    });
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (std::thread& each : callers) {
    each.join();
  }
  if (has_trouble) {
    rig::SleepUntil(begin + kStoreAway);
    store.Return();
    rig::Record("the store is back");
  }
  registered.join();
  rig::Record(std::to_string(served) + " streams served, " + std::to_string(mixed) +
              " hold events of two versions");
  constexpr int kAllowed = 2;
  if (mixed > kAllowed) {
    rig::Record("RULE BROKEN: more than two streams hold events of two software versions");
  }
  rig::Exit(mixed > kAllowed ? 1 : 0);
}
