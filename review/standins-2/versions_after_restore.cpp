// During a release, streams begin at a new software version. All daemons are killed, and the store
// returns from a copy that is older than the new version. Callers take their streams up.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

constexpr int kStreams = 12;
constexpr int kEvents = 13;
constexpr milliseconds kInterval{36};
constexpr int kPromptTokens = 500;
constexpr milliseconds kPrefill{36};
/** `heartbeat-ms` of the small deployments. */
constexpr milliseconds kHeartbeat{1200};

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

rig::call MakeCall(const std::string& id) {
  return {.id = id,
          .path = "/tag/2f",
          .headers = {{"Model", "m"},
                      {"Token-Usage", std::to_string(kPromptTokens) + ",52"},
                      {"Prompt-Prefix", "5c1e07a2:210," + id + ":290"},
                      {"Deadline-Ms", "6000"}},
          .body = std::string(2000, 'x')};
}

bool Holds(const rig::outcome& got, const std::string& version) {
  return got.body.find("data: " + version + " ") != std::string::npos;
}

/** @return id of the last event that has arrived whole. */
int LastEvent(const rig::outcome& got) {
  const std::size_t end = got.body.rfind("\n\n");
  const std::size_t last = end == std::string::npos ? end : got.body.rfind("id: ", end);
  return last == std::string::npos ? 0 : std::atoi(got.body.c_str() + last + 4);
}

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: versions_after_restore FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  std::vector<std::unique_ptr<rig::endpoint>> engines;
  for (const char* version : {"v1", "v2"}) {
    engines.push_back(std::make_unique<rig::endpoint>(
        std::string("i-7f3a91") + version, "pool",
        [&engines, version, index = engines.size()](const rig::connection_ptr& caller,
                                                    const rig::message& request) {
          std::this_thread::sleep_for(kPrefill);
          std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
          for (const auto& [header, value] : engines[index]->SuccessHeaders(request)) {
            head += header + ": " + value + "\r\n";
          }
          bool is_open = caller->Write(head + "\r\n");
          int made = std::atoi(request.Header("Last-Event-Id").c_str());
          while (is_open && made < kEvents && !caller->IsClosedByPeer()) {
            ++made;
            is_open = caller->Write(Chunk("id: " + std::to_string(made) + "\ndata: " + version +
                                          " piece " + std::to_string(made) + "\n\n"));
            std::this_thread::sleep_for(kInterval);
          }
          if (is_open && made == kEvents) {
            caller->Write("0\r\n\r\n");
          }
        }));
    engines.back()->SetVersion(version);
    engines.back()->Listen(rig::FreePorts(1)[0]);
  }
  rig::store store;
  const auto publish = [&](std::size_t index) {
    store.Put("servers", engines[index]->id(),
              engines[index]->Row("ready", engines[index]->port()));
  };
  publish(0);
  store.Put("op", "config", rig::Configuration());
  const int store_port = rig::FreePorts(1)[0];
  store.Serve(store_port);
  rig::gateway first("front-centru-a-1", "centru-a", store_port);
  rig::gateway second("front-centru-b-1", "centru-b", store_port);
  const std::vector<rig::gateway*> daemons = {&first, &second};
  const auto start_all = [&] {
    for (rig::gateway* each : daemons) {
      each->Start();
    }
    for (rig::gateway* each : daemons) {
      rig::Require(each->WaitUntilReady(), "a gateway is not ready");
    }
  };
  start_all();
  std::this_thread::sleep_for(milliseconds(2500));
  rig::Record("the store makes a copy");
  store.MakeCopy();
  std::this_thread::sleep_for(milliseconds(500));
  rig::Record("release: " + engines[1]->id() + " of version v2 starts");
  publish(1);
  std::this_thread::sleep_for(milliseconds(2000));

  std::vector<rig::outcome> begun(kStreams);
  std::vector<std::thread> callers;
  const auto id_of = [](int stream, int attempt) {
    return "9c41d07be2a3" + std::to_string(attempt) + std::to_string(100 + stream);
  };
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const rig::connection_ptr to = rig::Connect(daemons[i % 2]->callers_port());
      begun[static_cast<std::size_t>(i)] = rig::Perform(*to, MakeCall(id_of(i, 1)));
    });
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::this_thread::sleep_for(milliseconds(170));
  rig::Record("SIGKILL to all daemons");
  for (rig::gateway* each : daemons) {
    each->Signal(SIGKILL);
  }
  for (std::thread& each : callers) {
    each.join();
  }
  callers.clear();
  std::thread written_again;
  if (has_trouble) {
    rig::Record("the store is away");
    store.GoAway();
    std::this_thread::sleep_for(milliseconds(500));
    rig::Record("the store is back from its copy");
    store.ReturnFromCopy();
    written_again = std::thread([&, at = rig::Now() + kHeartbeat] {
      rig::SleepUntil(at);
      rig::Record("the row of " + engines[1]->id() + " is written again");
      publish(1);
    });
  } else {
    std::this_thread::sleep_for(milliseconds(500));
  }
  rig::Record("the platform starts all daemons again");
  start_all();

  std::atomic<int> mixed{0};
  std::atomic<int> went_on{0};
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const rig::outcome& before = begun[static_cast<std::size_t>(i)];
      const int last = LastEvent(before);
      if (before.is_complete || last == 0) {
        return;
      }
      rig::call again = MakeCall(id_of(i, 2));
      again.headers.emplace_back("Last-Event-Id", std::to_string(last));
      again.headers.emplace_back("Resumes", id_of(i, 1));
      // Retries reach other daemons.
      const rig::connection_ptr to = rig::Connect(daemons[(i + 1) % 2]->callers_port());
      const rig::outcome got = rig::Perform(*to, again);
      went_on += got.status == 200 && got.is_complete ? 1 : 0;
      const bool has_v1 = Holds(before, "v1") || Holds(got, "v1");
      const bool has_v2 = Holds(before, "v2") || Holds(got, "v2");
      if (has_v1 && has_v2) {
        ++mixed;
        rig::Record("the stream of " + id_of(i, 1) + " holds events 1 to " + std::to_string(last) +
                    " of " + (Holds(before, "v1") ? "v1" : "v2") + " and the further ones of " +
                    (Holds(got, "v1") ? "v1" : "v2"));
      }
    });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  if (written_again.joinable()) {
    written_again.join();
  }
  rig::Record(std::to_string(went_on) + " streams went on, " + std::to_string(mixed) +
              " hold events of two versions");
  const auto begun_at_v2 =
      std::count_if(begun.begin(), begun.end(), [](const auto& got) { return Holds(got, "v2"); });
  rig::Require(begun_at_v2 > 2, "too few streams began at the new version");
  constexpr int kAllowed = 2;
  if (mixed > kAllowed) {
    rig::Record("RULE BROKEN: more than two streams hold events of two software versions");
  }
  rig::Exit(mixed > kAllowed ? 1 : 0);
}
