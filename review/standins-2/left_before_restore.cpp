// An endpoint says in an answer that it leaves, and its row is removed. The store then returns from
// a copy that still lists it as ready.

#include <atomic>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

/** `drain-ms` of the small deployments. */
constexpr milliseconds kDrainTime{2000};
/** `heartbeat-ms` of the small deployments. */
constexpr milliseconds kHeartbeat{1200};
/** Time from a call to its answer. */
constexpr milliseconds kCallTime{150};
/** From the time at which the endpoint begins to leave to its end. */
constexpr milliseconds kServesOnFor{5000};

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: left_before_restore FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  std::vector<std::unique_ptr<rig::endpoint>> endpoints;
  std::atomic<bool> has_ended{false};
  /** When the daemon passed on the first answer that says so; the callers see it. */
  std::atomic<std::int64_t> heard_at{-1};
  std::atomic<int> late{0};
  std::atomic<int> lost{0};
  rig::store store;
  for (const char* name : {"i-7f3a91c2", "i-02d9e6b4", "i-4b1c77d0"}) {
    endpoints.push_back(std::make_unique<rig::endpoint>(
        name, "app",
        [&, index = endpoints.size()](const rig::connection_ptr& caller,
                                      const rig::message& request) {
          std::this_thread::sleep_for(kCallTime);
          if (index == 0 && has_ended) {
            return;
          }
          caller->Write(rig::FormatResponse(200, endpoints[index]->SuccessHeaders(request),
                                            std::string(800, 'b')));
        }));
    const int port = rig::FreePorts(1)[0];
    endpoints.back()->Listen(port);
    store.Put("servers", endpoints.back()->id(), endpoints.back()->Row("ready", port));
  }
  store.Put("op", "config", rig::Configuration());
  const int store_port = rig::FreePorts(1)[0];
  store.Serve(store_port);
  rig::gateway daemon("front-centru-a-1", "centru-a", store_port);
  daemon.Start();
  rig::Require(daemon.WaitUntilReady(), "the gateway is not ready");
  std::this_thread::sleep_for(milliseconds(1500));

  rig::endpoint& leaving = *endpoints[0];
  std::atomic<bool> is_over{false};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&, caller] {
      const rig::connection_ptr to = rig::Connect(daemon.callers_port());
      for (int i = 0; !is_over; ++i) {
        const std::string id =
            "9c41d07be2a" + std::to_string(10 + caller) + std::to_string(100 + i);
        const rig::outcome got = rig::Perform(*to, {.id = id,
                                                    .path = "/commit/2f",
                                                    .headers = {{"Deadline-Ms", "2500"}},
                                                    .body = std::string(600, 'x')});
        const bool is_from_leaving = got.signature.rfind(leaving.id(), 0) == 0;
        const std::int64_t heard = heard_at;
        if (is_from_leaving && got.says_leaving && heard < 0) {
          heard_at = got.ended.count();
          rig::Record("the daemon has passed on that " + leaving.id() + " leaves");
        }
        if (is_from_leaving && heard >= 0 && got.sent.count() > heard + kDrainTime.count()) {
          ++late;
          rig::Record("RULE BROKEN: request " + id + " has reached " + leaving.id() + ", sent " +
                      std::to_string(got.sent.count() - heard) +
                      " ms after its leaving was passed on");
        }
        if (got.status != 200 || !got.is_complete) {
          ++lost;
          rig::Record("request " + id + " has failed");
        }
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(1000));
  rig::Record("the store makes a copy");
  store.MakeCopy();
  std::this_thread::sleep_for(milliseconds(1000));

  // The endpoint does not report that it drains: its row is removed, and it serves on.
  rig::Record(leaving.id() + " begins to leave: its row is removed, its answers say so");
  const milliseconds begin = rig::Now();
  leaving.SayLeaving();
  std::this_thread::sleep_for(milliseconds(300));
  store.Remove("servers", leaving.id());
  if (has_trouble) {
    rig::SleepUntil(begin + kDrainTime);
    rig::Record("the store is away");
    store.GoAway();
    rig::SleepUntil(begin + kDrainTime + milliseconds(500));
    rig::Record("the store is back from its copy");
    store.ReturnFromCopy();
    rig::SleepUntil(begin + kDrainTime + milliseconds(500) + kHeartbeat);
    rig::Record("the row of " + leaving.id() + " is removed again");
    store.Remove("servers", leaving.id());
  }
  rig::SleepUntil(begin + kServesOnFor);
  has_ended = true;
  leaving.End();
  rig::Record(leaving.id() + " has ended");
  std::this_thread::sleep_for(milliseconds(1500));
  is_over = true;
  for (std::thread& each : callers) {
    each.join();
  }
  rig::Require(heard_at >= 0, "no answer said that the endpoint leaves");
  rig::Record(std::to_string(late) + " requests reached the endpoint too late, " +
              std::to_string(lost) + " failed");
  rig::Exit(late > 0 ? 1 : 0);
}
