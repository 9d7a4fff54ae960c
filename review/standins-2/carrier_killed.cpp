// A daemon that has lost its path to all endpoints reaches them through another daemon, which is
// then killed while an answer without a length is on its way.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "rig.hpp"

namespace {

using rig::milliseconds;

constexpr int kEvents = 60;
constexpr milliseconds kInterval{36};

std::string Event(int number) {
  return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
}

}  // namespace

int main(int argc, char** argv) {
  rig::Require(argc == 2, "usage: carrier_killed FOLDER");
  rig::OpenRecord(argv[1]);
  const char* const wanted = std::getenv("TROUBLE");
  const bool has_trouble = wanted == nullptr || std::string(wanted) != "0";

  // Two engines. Each is reached at one port from the first daemon and at another one from the
  // other two, so that the path of the first daemon can be cut.
  std::vector<std::unique_ptr<rig::endpoint>> engines;
  std::vector<std::pair<int, int>> ports;
  std::vector<rig::listener*> first_paths;
  rig::store store;
  for (const char* name : {"i-7f3a91c2", "i-02d9e6b4"}) {
    auto* const made =
        engines
            .emplace_back(std::make_unique<rig::endpoint>(
                name, "pool",
                [&engines, index = engines.size()](const rig::connection_ptr& caller,
                                                   const rig::message& request) {
                  // The answer has neither a length nor chunks and ends with its connection.
                  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
                  for (const auto& [header, value] : engines[index]->SuccessHeaders(request)) {
                    head += header + ": " + value + "\r\n";
                  }
                  std::this_thread::sleep_for(milliseconds(250));
                  bool is_open = caller->Write(head + "Connection: close\r\n\r\n");
                  int made_events = 0;
                  while (is_open && made_events < kEvents && !caller->IsClosedByPeer()) {
                    is_open = caller->Write(Event(++made_events));
                    std::this_thread::sleep_for(kInterval);
                  }
                  rig::Record("endpoint " + engines[index]->id() + " has made " +
                              std::to_string(made_events) + " of " + std::to_string(kEvents) +
                              " events of " + request.Header("Attempt-Id"));
                }))
            .get();
    const std::vector<int> both = rig::FreePorts(2);
    made->Listen(both[0]);
    first_paths.push_back(&made->Listen(both[1]));
    ports.emplace_back(both[0], both[1]);
    store.Put("servers", made->id(), made->Row("ready", both[0]));
  }
  store.Put("op", "config", rig::Configuration());
  const std::vector<int> store_ports = rig::FreePorts(2);
  store.Serve(store_ports[0]);
  store.Serve(store_ports[1], [&](const std::string& table, const std::string& value) {
    std::string seen = value;
    for (const auto& [usual, own] : ports) {
      const std::size_t at = seen.find(rig::Address(usual));
      if (table == "servers" && at != std::string::npos) {
        seen.replace(at, rig::Address(usual).size(), rig::Address(own));
      }
    }
    return seen;
  });

  rig::gateway first("front-centru-a-1", "centru-a", store_ports[1]);
  rig::gateway second("front-centru-b-1", "centru-b", store_ports[0]);
  rig::gateway third("front-centru-c-1", "centru-c", store_ports[0]);
  for (rig::gateway* each : {&first, &second, &third}) {
    each->Start();
  }
  for (rig::gateway* each : {&first, &second, &third}) {
    rig::Require(each->WaitUntilReady(), "a gateway is not ready");
  }
  std::this_thread::sleep_for(milliseconds(2500));

  int wrong = 0;
  int served = 0;
  std::mutex mutex;
  const auto send = [&](const std::string& id) {
    const rig::connection_ptr to = rig::Connect(first.callers_port());
    rig::Require(to != nullptr, "the gateway accepts no caller");
    const rig::outcome got =
        rig::Perform(*to, {.id = id,
                           .path = "/report/2f",
                           .headers = {{"Model", "m"},
                                       {"Token-Usage", "3000,240"},
                                       {"Prompt-Prefix", "5c1e07a2:48,91bd3f06:31," + id + ":2921"},
                                       {"Deadline-Ms", "39000"}},
                           .body = std::string(2000, 'x')});
    const std::lock_guard lock(mutex);
    const bool looks_whole = got.status == 200 && !got.signature.empty() && got.is_complete;
    served += looks_whole && got.CountEvents() == kEvents ? 1 : 0;
    if (looks_whole && got.CountEvents() < kEvents) {
      ++wrong;
      rig::Record("RULE BROKEN: the stream of " + id + " ends as complete after event " +
                  std::to_string(got.CountEvents()) + " of " + std::to_string(kEvents));
    }
  };

  if (has_trouble) {
    rig::Record("front-centru-a-1 loses its path to all endpoints");
    for (rig::listener* path : first_paths) {
      path->Close();
    }
    // The requests that find out that the path is lost.
    send("9c41d07be2a30001");
    send("9c41d07be2a30002");
  }
  std::vector<std::thread> callers;
  for (int i = 0; i < 8; ++i) {
    callers.emplace_back(send, "9c41d07be2a3010" + std::to_string(i));
    std::this_thread::sleep_for(milliseconds(30));
  }
  std::this_thread::sleep_for(milliseconds(1000));
  if (has_trouble) {
    rig::Record("SIGKILL to front-centru-b-1");
    second.Signal(SIGKILL);
  }
  for (std::thread& each : callers) {
    each.join();
  }
  rig::Record(std::to_string(served) + " streams whole, " + std::to_string(wrong) +
              " cut off that look complete");
  if (has_trouble && !first.LogHas("tunnel_opened")) {
    rig::Require(false, "the first daemon did not use the others");
  }
  rig::Require(has_trouble || served == 8, "not all streams were served without the disruption");
  rig::Exit(wrong > 0 ? 1 : 0);
}
