// Case: clients with a small window read their streams slowly, but all the time. The machine gets a
// SIGHUP, planned work, before the streams are asked for.
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
/** The platform's `config-apply-ms`: requests that are sent so long after SIGHUP count. */
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kSentAfterHangupMs = 300;
/** An answer that ends this close to its deadline doesn't count. */
constexpr std::int64_t kDeadlineSlackMs = 200;
/** One of four machines gets SIGHUP; the others only make up the fleet. */
constexpr int kGateways = 4;

/** @param has_trouble whether the script brings about its disruption. */
int Run(const std::string& record_name, bool has_trouble) {
  record_file record(record_name);
  temporary_folder folder;
  store platform;
  platform.Start();
  platform.Put("op", "config", SmallConfig(1));
  std::mutex mutex;
  std::set<std::string> passed_on;
  std::list<worker> engines;
  for (const char* const id : {"i-e0", "i-e1", "i-e2"}) {
    worker& added = engines.emplace_back(record, id, "drafter");
    added.interval_ms = kEventIntervalMs;
    added.on_run = [&](const message& request) {
      const std::lock_guard lock(mutex);
      passed_on.insert(request.Header("Attempt-Id"));
    };
    added.Start();
  }
  worker plain(record, "i-p0", "booking");
  plain.Start();
  heartbeats beats(platform);
  for (worker& engine : engines) {
    beats.Add(engine);
  }
  beats.Add(plain);
  std::list<gateway> gateways;
  for (int i = 0; i < kGateways; ++i) {
    gateways.emplace_back("front-" + std::to_string(i), "tw-north-a", platform.address(),
                          folder.path());
    gateways.back().Start();
  }
  for (const gateway& started : gateways) {
    if (!started.WaitUntilReady(8000)) {
      return kCannotRun;
    }
  }
  gateway& entry = gateways.front();
  SleepMs(2000);
  std::atomic<std::int64_t> hangup_at = 0;
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
      while (hangup_at == 0) {
        SleepMs(5);
      }
      SleepMs(kSentAfterHangupMs);
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
      const std::int64_t ended_at = NowMs();
      bool is_passed_on = false;
      {
        const std::lock_guard lock(mutex);
        is_passed_on = passed_on.contains(name);
      }
      record.Line("answer " + name + " first " + std::to_string(first.status) + " then sent " +
                  std::to_string(sent_at - hangup_at) + " ms after SIGHUP, passed on " +
                  std::to_string(is_passed_on) + " head " + std::to_string(has_head) +
                  " complete " + std::to_string(seen.is_complete) + " bytes " +
                  std::to_string(seen.response.body.size()) + " after " +
                  std::to_string(ended_at - sent_at) + " ms " + open.ended());
      const bool is_around_hangup = sent_at <= hangup_at + kConfigApplyMs;
      const bool is_before_deadline = ended_at < sent_at + kDeadlineMs - kDeadlineSlackMs;
      if (first.status == 200 && seen.is_complete && seen.response.Status() == 200) {
        ++served;
      } else if (!seen.is_complete && is_passed_on && is_around_hangup && is_before_deadline) {
        ++lost;
      } else {
        ++others;
      }
    });
  }
  SleepMs(1000);
  record.Line("SIGHUP to " + entry.name());
  entry.Signal(SIGHUP);
  hangup_at = NowMs();
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary = "served " + std::to_string(served) +
                              " passed on and cut around SIGHUP " + std::to_string(lost) +
                              " others " + std::to_string(others);
  record.Line(summary);
  std::cout << summary << "\n";
  if (lost > 0) {
    return kBroken;
  }
  return others == 0 ? kHeld : kCannotRun;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (count != 3) {
    return kCannotRun;
  }
  return Run(arguments[1], std::string(arguments[2]) != "0");
}
