// Case: a model server is killed while it sends streams that have neither a length nor chunks. The
// servers are processes of their own, so that the kernel ends their connections.
#include "standins.h"

using namespace standins;

namespace {

constexpr int kEngines = 6;
constexpr int kClients = 18;
constexpr int kEvents = 100;
constexpr std::int64_t kEventIntervalMs = 40;
constexpr std::int64_t kKilledAtMs = 2000;
constexpr std::int64_t kDeadlineMs = 39000;

/** Time after which the platform removes the entry of a server that writes no more. */
constexpr std::int64_t kEntryLifetimeMs = 3600;
constexpr std::int64_t kHeartbeatMs = 1200;

/** Serves one model server until the process ends, and prints its address and its row. */
int Serve(const std::string& id, const std::string& record_name) {
  record_file record(record_name, std::ios::app);
  worker engine(record, id, "drafter");
  engine.interval_ms = kEventIntervalMs;
  engine.has_unframed_streams = true;
  engine.Start();
  std::cout << engine.Row() << std::endl;
  for (;;) {
    SleepMs(1000);
  }
}

/** A model server in a process of its own. */
struct server_process {
  std::string id;
  pid_t pid = 0;
  std::string row;

  bool Start(const std::string& record_name) {
    int ends[2];
    if (::pipe(ends) != 0) {
      return false;
    }
    pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(ends[1], STDOUT_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
      ::execl("/proc/self/exe", "server", "--serve", id.c_str(), record_name.c_str(), nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    char byte = 0;
    while (::read(ends[0], &byte, 1) == 1 && byte != '\n') {
      row += byte;
    }
    ::close(ends[0]);
    return !row.empty();
  }
  /** @return the entry with the number of a heartbeat. */
  std::string RowAt(int sequence) const {
    const std::string first = "\"sequence\":1,";
    std::string entry = row;
    return entry.replace(entry.find(first), first.size(),
                         "\"sequence\":" + std::to_string(sequence) + ",");
  }
  void Kill() {
    if (pid > 0) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
      pid = 0;
    }
  }
};

/** @param has_trouble whether the script brings about its disruption. */
int Run(const std::string& record_name, bool has_trouble) {
  record_file record(record_name);
  temporary_folder folder;
  store platform;
  platform.Start();
  platform.Put("op", "config", SmallConfig(1));
  std::vector<server_process> servers(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    server_process& added = servers[static_cast<std::size_t>(i)];
    added.id = "i-e" + std::to_string(i);
    if (!added.Start(record_name)) {
      return kCannotRun;
    }
    platform.Put("servers", added.id, added.row);
  }
  std::atomic<std::int64_t> killed_at = -1;
  std::atomic<bool> is_over = false;
  std::thread heartbeats([&] {
    for (int sequence = 2; !is_over; ++sequence) {
      for (const server_process& known : servers) {
        const bool is_dead = &known == &servers.front() && killed_at >= 0;
        if (!is_dead) {
          platform.Put("servers", known.id, known.RowAt(sequence));
        } else if (NowMs() >= killed_at + kEntryLifetimeMs && platform.Has("servers", known.id)) {
          platform.Remove("servers", known.id);
        }
      }
      for (std::int64_t waited = 0; waited < kHeartbeatMs && !is_over; waited += 50) {
        SleepMs(50);
      }
    }
  });
  const auto end_heartbeats = [&] {
    is_over = true;
    heartbeats.join();
  };
  gateway entry("front-0", "tw-north-a", platform.address(), folder.path());
  entry.Start();
  if (!entry.WaitUntilReady(8000)) {
    end_heartbeats();
    return kCannotRun;
  }
  SleepMs(2000);
  std::atomic<int> whole = 0, broken_off = 0, short_but_complete = 0, refused = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string attempt = "c" + std::to_string(i);
      SleepMs(i * 20);
      connection open;
      answer seen;
      if (open.Connect(entry.callers())) {
        seen = Exchange(
            open,
            MakeRequest("POST", "/report/x", attempt, kDeadlineMs,
                        StreamHeaders(attempt, 3000, 4 * kEvents, kEvents), std::string(3000, 'p')),
            kDeadlineMs);
      }
      const std::size_t last = seen.response.body.rfind("id: ");
      const int last_event =
          last == std::string::npos ? 0 : std::atoi(seen.response.body.c_str() + last + 4);
      record.Line("answer " + attempt + " status " + std::to_string(seen.status) + " complete " +
                  std::to_string(seen.is_complete) + " last event " + std::to_string(last_event) +
                  " of " + std::to_string(kEvents) + " signature " +
                  seen.response.Header("Response-Signature"));
      if (seen.status != 200) {
        ++refused;
      } else if (!seen.is_complete) {
        ++broken_off;
      } else {
        ++(last_event == kEvents ? whole : short_but_complete);
      }
    });
  }
  if (has_trouble) {
    SleepMs(kKilledAtMs);
    record.Line("SIGKILL to the server " + servers.front().id);
    servers.front().Kill();
    killed_at = NowMs();
  }
  for (std::thread& client : clients) {
    client.join();
  }
  end_heartbeats();
  for (server_process& known : servers) {
    known.Kill();
  }
  const std::string summary = "whole " + std::to_string(whole) + " broken off " +
                              std::to_string(broken_off) + " refused " + std::to_string(refused) +
                              " complete before the last event " +
                              std::to_string(short_but_complete);
  record.Line(summary);
  std::cout << summary << "\n";
  if (whole == 0) {
    return kCannotRun;
  }
  return short_but_complete > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (count == 4 && std::string(arguments[1]) == "--serve") {
    return Serve(arguments[2], arguments[3]);
  }
  if (count != 3) {
    return kCannotRun;
  }
  return Run(arguments[1], std::string(arguments[2]) != "0");
}
