// Case: the store comes back from a copy that is some seconds old while the gateways are killed,
// just after servers of a second software version have come. Clients take their streams up.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kGateways = 3;
constexpr int kClients = 16;
constexpr int kEvents = 100;
constexpr std::int64_t kDeadlineMs = 6000;
/** Age of the copy from which the store comes back. */
constexpr std::int64_t kCopyAgeMs = 3000;
/** Time after the return of the store after which lost rows of servers are written again. */
constexpr std::int64_t kWriteAgainMs = 1500;
constexpr std::int64_t kRestartMs = 100;
/** Streams that may hold events of two versions. */
constexpr int kAllowed = 2;

/** One stream of a client over its tries. */
struct stream {
  std::uint64_t last_event = 0;
  std::string first_attempt;
  std::set<std::string> versions;
  bool is_complete = false;
};

/** Reads the complete events of an answer. */
void ReadEvents(const std::string& body, stream& seen, const std::string& attempt) {
  std::size_t at = 0;
  for (std::size_t end = body.find("\n\n"); end != std::string::npos;
       at = end + 2, end = body.find("\n\n", at)) {
    const std::string event = body.substr(at, end - at);
    const std::size_t data = event.find("data: ") + 6;
    if (seen.first_attempt.empty()) {
      seen.first_attempt = attempt;
    }
    seen.last_event = std::strtoull(event.c_str() + 4, nullptr, 10);
    seen.versions.insert(event.substr(data, event.find(' ', data) - data));
  }
}

int Run(const std::string& record_name) {
  record_file record(record_name);
  temporary_folder folder;
  store platform;
  platform.Start();
  platform.Put("op", "config", SmallConfig(1));
  std::list<worker> workers;
  const auto add = [&](const std::string& id, const std::string& service,
                       const std::string& version) -> worker& {
    worker& added = workers.emplace_back(record, id, service);
    added.version = version;
    added.Start();
    return added;
  };
  heartbeats beats(platform);
  beats.Add(add("i-a0", "drafter", "v1"));
  beats.Add(add("i-a1", "drafter", "v1"));
  beats.Add(add("i-p0", "booking", "v1"));
  std::list<gateway> gateways;
  const std::vector<std::string> zones = {"tw-north-a", "tw-north-b", "tw-north-c"};
  for (int i = 0; i < kGateways; ++i) {
    gateways.emplace_back("front-" + std::to_string(i), zones[static_cast<std::size_t>(i)],
                          platform.address(), folder.path());
    gateways.back().Start();
  }
  const auto wait_until_ready = [&] {
    return std::ranges::all_of(gateways, [](const gateway& g) { return g.WaitUntilReady(8000); });
  };
  if (!wait_until_ready()) {
    return kCannotRun;
  }
  SleepMs(3000);

  // The copy, and then the servers of the second version.
  platform.MakeCopy();
  const std::int64_t copied_at = NowMs();
  record.Line("copy");
  worker& b0 = add("i-b0", "drafter", "v2");
  worker& b1 = add("i-b1", "drafter", "v2");
  beats.Add(b0);
  beats.Add(b1);
  record.Line("servers of v2 registered");
  SleepMs(1200);

  std::vector<stream> streams(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      stream& own = streams[static_cast<std::size_t>(i)];
      const std::int64_t end = NowMs() + kDeadlineMs;
      for (int attempt_number = 0; !own.is_complete && NowMs() < end; ++attempt_number) {
        auto entry = gateways.begin();
        std::advance(entry, (i + attempt_number) % kGateways);
        const std::string attempt = "s" + std::to_string(i) + "n" + std::to_string(attempt_number);
        std::string headers = StreamHeaders(attempt, 400, 4 * kEvents, kEvents);
        if (own.last_event > 0) {
          headers += "Last-Event-Id: " + std::to_string(own.last_event) +
                     "\r\nResumes: " + own.first_attempt + "\r\n";
        }
        connection open;
        answer seen;
        if (open.Connect(entry->callers())) {
          seen = Exchange(
              open,
              MakeRequest("POST", "/tag/x", attempt, end - NowMs(), headers, std::string(600, 'p')),
              end - NowMs());
        }
        if (seen.status == 200) {
          ReadEvents(seen.response.body, own, attempt);
        }
        own.is_complete = seen.is_complete && seen.status == 200;
        std::string versions;
        for (const std::string& version : own.versions) {
          versions += " " + version;
        }
        record.Line("answer " + attempt + " at " + entry->name() + " status " +
                    std::to_string(seen.status) + " complete " + std::to_string(seen.is_complete) +
                    " last event " + std::to_string(own.last_event) + " versions" + versions);
        const double wait = std::atof(seen.response.Header("Retry-After").c_str());
        const double most = static_cast<double>(end - NowMs()) / 3000;
        SleepMs(seen.status == 503 ? static_cast<std::int64_t>(1000 * std::min(wait, most)) : 50);
      }
    });
  }
  SleepMs(copied_at + kCopyAgeMs - NowMs());
  if (HasTrouble()) {
    record.Line("kill of all gateways, return of the store from the copy");
    beats.Hold();
    for (gateway& killed : gateways) {
      killed.Kill();
    }
    platform.RestoreCopy();
    SleepMs(kRestartMs);
    for (gateway& killed : gateways) {
      killed.Start(/*is_first=*/false);
    }
    SleepMs(kWriteAgainMs - kRestartMs);
    beats.Release();
    record.Line("servers wrote their rows again");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const auto joined =
      std::ranges::count_if(streams, [](const stream& seen) { return seen.versions.size() > 1; });
  const auto complete = std::ranges::count_if(streams, &stream::is_complete);
  const std::string summary = "streams " + std::to_string(kClients) + " complete " +
                              std::to_string(complete) + " with events of two versions " +
                              std::to_string(joined);
  record.Line(summary);
  std::cout << summary << "\n";
  return joined > kAllowed ? kBroken : kHeld;
}

}  // namespace

int main(int, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  return Run(arguments[1]);
}
