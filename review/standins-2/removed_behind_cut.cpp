// An endpoint leaves while a daemon is cut off from the store and from the other daemons. After the
// cut the daemon keeps the endpoint in use for longer than `contact-ms`.

#include <atomic>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

/** `contact-ms` of the small deployments. */
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kCallTime{30};
/** Length of a cut, and when in it the row of the endpoint is removed. */
constexpr milliseconds kCutTime{5500};
constexpr milliseconds kRemovedAfter{1000};
/** From the end of a cut to the end of the endpoint, which serves on for so long. */
constexpr milliseconds kServesOnFor{5000};
constexpr int kRounds = 7;

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: removed_behind_cut FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  rig::store store;
  std::vector<std::unique_ptr<rig::endpoint>> endpoints;
  const auto add_endpoint = [&](const std::string& id) {
    endpoints.push_back(std::make_unique<rig::endpoint>(
        id, "app",
        [&, index = endpoints.size()](const rig::connection_ptr& caller,
                                      const rig::message& request) {
          std::this_thread::sleep_for(kCallTime);
          caller->Write(rig::FormatResponse(200, endpoints[index]->SuccessHeaders(request),
                                            std::string(800, 'b')));
        }));
    const int port = rig::FreePorts(1)[0];
    endpoints.back()->Listen(port);
    store.Put("servers", id, endpoints.back()->Row("ready", port));
  };
  endpoints.reserve(kRounds + 2);
  add_endpoint("i-02d9e6b4");
  add_endpoint("i-4b1c77d0");
  store.Put("op", "config", rig::Configuration());
  const std::vector<int> ports = rig::FreePorts(2);
  store.Serve(ports[0]);
  rig::link path(ports[1], ports[0]);
  rig::gateway daemon("front-centru-a-1", "centru-a", ports[1]);
  daemon.Start();
  rig::Require(daemon.WaitUntilReady(), "the gateway is not ready");

  /** The endpoint that leaves in this round, and when the daemon is in touch again. */
  std::mutex mutex;
  std::string leaving;
  milliseconds bound = milliseconds::max();
  std::atomic<int> late{0};
  std::atomic<bool> is_over{false};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&, caller] {
      const rig::connection_ptr to = rig::Connect(daemon.callers_port());
      for (int i = 0; !is_over; ++i) {
        const std::string id = "9c41d07b" + std::to_string(10 + caller) + std::to_string(10000 + i);
        const rig::outcome got = rig::Perform(*to, {.id = id,
                                                    .path = "/commit/2f",
                                                    .headers = {{"Deadline-Ms", "2500"}},
                                                    .body = std::string(600, 'x')});
        const std::lock_guard lock(mutex);
        if (!leaving.empty() && got.signature.rfind(leaving, 0) == 0 && got.sent > bound) {
          ++late;
          rig::Record("RULE BROKEN: request " + id + " has reached " + leaving + ", sent " +
                      std::to_string((got.sent - bound + kContactTime).count()) +
                      " ms after the end of the cut");
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }

  for (int round = 0; round < kRounds; ++round) {
    const std::string id = "i-7f3a91c" + std::to_string(round);
    add_endpoint(id);
    std::this_thread::sleep_for(milliseconds(3500));
    const milliseconds begin = rig::Now();
    if (has_trouble) {
      rig::Record("front-centru-a-1 is cut off");
      path.Cut();
    }
    rig::SleepUntil(begin + kRemovedAfter);
    rig::Record(id + " leaves: its row is removed, and it serves on");
    store.Remove("servers", id);
    // Not a multiple of the daemon's intervals, so that the cuts end at other moments in these.
    rig::SleepUntil(begin + kCutTime + round * milliseconds(310));
    {
      const std::lock_guard lock(mutex);
      leaving = id;
      bound = rig::Now() + kContactTime;
    }
    rig::Record("the cut ends");
    path.Heal();
    std::this_thread::sleep_for(kServesOnFor);
    {
      const std::lock_guard lock(mutex);
      leaving.clear();
    }
    endpoints.back()->End();
    rig::Record(id + " has ended");
  }
  is_over = true;
  for (std::thread& each : callers) {
    each.join();
  }
  rig::Record(std::to_string(late) + " requests reached an endpoint too late");
  rig::Exit(late > 0 ? 1 : 0);
}
