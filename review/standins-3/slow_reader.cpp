// Case: clients with a small window read their streams slowly, but all the time.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kClients = 8;
/** 60 KB in 6.6 s: a report of usual length. */
constexpr int kEvents = 235;
constexpr std::int64_t kEventIntervalMs = 28;
/** The kernel doubles this size. */
constexpr int kReceiveBuffer = 4096;
/** 2.2 KB a second: the report is read after 28 s. */
constexpr std::size_t kBytesAtOnce = 1024;
constexpr std::int64_t kReadIntervalMs = 450;
constexpr std::int64_t kDeadlineMs = 39000;
/** Times that the rule allows a machine to close a kept connection without an answer. */
constexpr int kAllowed = 3;

/** @param has_trouble whether the script brings about its disruption. */
int Run(const std::string& record_name, bool has_trouble) {
  record_file record(record_name);
  temporary_folder folder;
  store platform;
  platform.Start();
  platform.Put("op", "config", SmallConfig(1));
  std::list<worker> engines;
  for (const char* const id : {"i-e0", "i-e1", "i-e2"}) {
    worker& added = engines.emplace_back(record, id, "drafter");
    added.interval_ms = kEventIntervalMs;
    added.Start();
  }
  worker plain(record, "i-p0", "booking");
  plain.Start();
  heartbeats beats(platform);
  for (worker& engine : engines) {
    beats.Add(engine);
  }
  beats.Add(plain);
  gateway entry("front-0", "tw-north-a", platform.address(), folder.path());
  entry.Start();
  if (!entry.WaitUntilReady(8000)) {
    return kCannotRun;
  }
  SleepMs(2000);
  std::atomic<int> served = 0, lost = 0, others = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string name = "c" + std::to_string(i);
      connection open;
      if (!open.Connect(entry.callers(), kReceiveBuffer)) {
        ++others;
        return;
      }
      // A first request makes it a kept connection.
      const answer first = Exchange(open, MakeRequest("GET", "/read/x", name + "r", 2000), 2000);
      if (has_trouble) {
        open.ReadSlowly(kBytesAtOnce, kReadIntervalMs);
      }
      const std::int64_t sent_at = NowMs();
      const bool sent = open.Send(MakeRequest("POST", "/report/x", name, kDeadlineMs,
                                              StreamHeaders(name, 3000, 4 * kEvents, kEvents),
                                              std::string(3000, 'p')));
      answer seen;
      const bool has_head = sent && open.ReadHead(seen.response, kDeadlineMs);
      seen.is_complete = has_head && open.ReadBody(seen.response, sent_at + kDeadlineMs - NowMs());
      record.Line("answer " + name + " first " + std::to_string(first.status) + " then head " +
                  std::to_string(has_head) + " complete " + std::to_string(seen.is_complete) +
                  " bytes " + std::to_string(seen.response.body.size()) + " after " +
                  std::to_string(NowMs() - sent_at) + " ms " + open.ended());
      if (first.status != 200 || !has_head || seen.response.Status() != 200) {
        ++others;
      } else {
        ++(seen.is_complete ? served : lost);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary = "served " + std::to_string(served) +
                              " kept connections closed without an answer " + std::to_string(lost) +
                              " others " + std::to_string(others);
  record.Line(summary);
  std::cout << summary << "\n";
  if (others > 0) {
    return kCannotRun;
  }
  return lost > kAllowed ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (count != 3) {
    return kCannotRun;
  }
  return Run(arguments[1], std::string(arguments[2]) != "0");
}
