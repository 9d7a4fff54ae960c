// Case: the store comes back from a copy that still lists a server which has said that it leaves.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kClients = 6;
constexpr std::int64_t kDrainMs = 2000;
/** Age of the copy from which the store comes back. */
constexpr std::int64_t kCopyAgeMs = 3500;
/** Time after which the platform removes the server's row again. */
constexpr std::int64_t kRemoveAgainMs = 1500;
/** The leaving server serves on for so long after its row is gone. */
constexpr std::int64_t kServesOnMs = 6000;
constexpr std::int64_t kDeadlineMs = 2000;

int Run(const std::string& record_name) {
  record_file record(record_name);
  temporary_folder folder;
  store platform;
  platform.Start();
  platform.Put("op", "config", SmallConfig(1));
  std::list<worker> workers;
  heartbeats beats(platform);
  for (const char* const id : {"i-p0", "i-p1", "i-p2"}) {
    worker& added = workers.emplace_back(record, id, "booking");
    added.slots = 6;
    added.Start();
    beats.Add(added);
  }
  worker& leaving = workers.front();
  gateway entry("front-0", "tw-north-a", platform.address(), folder.path());
  entry.Start();
  if (!entry.WaitUntilReady(8000)) {
    return kCannotRun;
  }
  SleepMs(2500);

  std::atomic<std::int64_t> announced_at = -1;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at;
  int late = 0;
  leaving.on_run = [&](const message& request) {
    const std::string attempt = request.Header("Attempt-Id");
    const std::lock_guard lock(mutex);
    const std::int64_t announced = announced_at;
    if (announced >= 0 && sent_at[attempt] > announced + kDrainMs) {
      ++late;
      record.Line("late " + leaving.id() + " " + attempt + " sent " +
                  std::to_string(sent_at[attempt] - announced) +
                  " ms after the gateway passed on that it leaves");
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      for (int n = 0; !stopped; ++n) {
        const std::string attempt = "c" + std::to_string(i) + "n" + std::to_string(n);
        connection open;
        answer seen;
        if (open.Connect(entry.callers())) {
          {
            const std::lock_guard lock(mutex);
            sent_at[attempt] = NowMs();
          }
          seen = Exchange(
              open,
              MakeRequest("POST", "/commit/x", attempt, kDeadlineMs, "", std::string(600, 'q')),
              kDeadlineMs);
        }
        const bool hears_leaving = seen.response.Header("Server-Leaving") == "1";
        if (hears_leaving && announced_at < 0) {
          announced_at = NowMs();
          record.Line("the gateway passed on an answer with Server-Leaving: 1");
        }
        record.Line("answer " + attempt + " status " + std::to_string(seen.status) + " complete " +
                    std::to_string(seen.is_complete) + (hears_leaving ? " leaving" : ""));
        SleepMs(20);
      }
    });
  }
  SleepMs(1000);
  platform.MakeCopy();
  const std::int64_t copied_at = NowMs();
  record.Line("copy");
  SleepMs(300);
  // A server that never reports `draining`: its row goes, and it serves on.
  leaving.says_leaving = true;
  record.Line("the server begins to leave");
  SleepMs(200);
  beats.Remove(leaving);
  const std::int64_t removed_at = NowMs();
  record.Line("the server's row is removed");
  SleepMs(copied_at + kCopyAgeMs - NowMs());
  if (HasTrouble()) {
    record.Line("return of the store from the copy");
    platform.RestoreCopy();
    SleepMs(kRemoveAgainMs);
    platform.Remove("servers", leaving.id());
    record.Line("the server's row is removed again");
  }
  SleepMs(removed_at + kServesOnMs - NowMs());
  stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string summary =
      "requests at a server that leaves, later than drain-ms: " + std::to_string(late);
  record.Line(summary);
  std::cout << summary << "\n";
  if (announced_at < 0) {
    return kCannotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  return Run(arguments[1]);
}
