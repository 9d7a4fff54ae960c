#include "latency_mode.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <future>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <thread>

#include <httplib.h>

#include "stream_client.h"
#include "tarragon/base/real_clock.h"

namespace tarragon::load {

namespace {

constexpr double kMicros = 1e6;
// Samples of this many tokens on both sides of a mark are reported for it.
constexpr std::uint32_t kMarkRadius = 20;
// The second reader needs a moment to attach; earlier tokens reach it late, from the engine's log.
constexpr std::uint32_t kFirstPairedIndex = 20;
constexpr int kMeanStartGapMs = 10;

double Micros(duration value) {
  return std::chrono::duration<double>(value).count() * kMicros;
}

double Quantile(std::vector<double>& samples, double q) {
  if (samples.empty()) {
    return 0;
  }
  const auto place = static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(place),
                   samples.end());
  return samples[place];
}

void Print(const char* name, std::vector<double> samples) {
  fmt::print("{:<32} n={:<8} p50={:<10.1f} p90={:<10.1f} p99={:<10.1f} p99.9={:.1f}\n", name,
             samples.size(), Quantile(samples, 0.5), Quantile(samples, 0.9),
             Quantile(samples, 0.99), Quantile(samples, 0.999));
}

/** Times of one reader of a stream. */
struct reading {
  time_point start;
  stream_result result;
  std::vector<time_point> tokens;
};

std::string NewGeneration(int n) {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), n);
}

stream_target Direct(const latency_options& options, const std::string& generation, int n) {
  const net::socket_address& endpoint =
      options.endpoints[static_cast<std::size_t>(n) % options.endpoints.size()];
  stream_target target;
  target.ip = endpoint.ip;
  target.port = endpoint.port;
  target.headers = {{"X-Request-Id", generation}};
  target.body =
      fmt::format(R"({{"model":"{}","prompt":"direct {} [len={}]","max_tokens":{},"stream":true}})",
                  options.model, n, options.tokens, options.tokens);
  return target;
}

stream_target ThroughEntry(const latency_options& options, int n) {
  return {.ip = options.entry.ip,
          .port = options.entry.port,
          .path = "/v1/completions",
          .headers = {{"Authorization", "Bearer " + options.token}},
          .body = fmt::format(
              R"({{"model":"{}","prompt":"entry {} [len={}]","max_tokens":{},"stream":true}})",
              options.model, n, options.tokens, options.tokens)};
}

/** Runs `one` for each stream on a thread, with starts spread over time. */
template <typename F>
auto RunAll(int streams, F one) {
  using result = decltype(one(0));
  std::vector<std::future<result>> running;
  std::minstd_rand random(1);
  std::uniform_int_distribution<int> gap(0, 2 * kMeanStartGapMs);
  for (int i = 0; i < streams; ++i) {
    running.push_back(std::async(std::launch::async, one, i));
    std::this_thread::sleep_for(std::chrono::milliseconds(gap(random)));
  }
  std::vector<result> results;
  results.reserve(running.size());
  for (auto& future : running) {
    results.push_back(future.get());
  }
  return results;
}

/** Reads the event stream of a generation straight from the endpoint that runs it. */
reading Tap(const latency_options& options, const std::string& generation, const clock& time) {
  for (const net::socket_address& endpoint : options.endpoints) {
    reading one;
    one.tokens.reserve(options.tokens);
    stream_target target;
    target.ip = endpoint.ip;
    target.port = endpoint.port;
    target.method = "GET";
    target.path = fmt::format("/v1/generations/{}/events?from=0", generation);
    one.result = ReadStream(target, time,
                            [&](std::uint32_t, time_point when) { one.tokens.push_back(when); });
    if (one.result.status == 200) {
      return one;
    }
  }
  return {};
}

struct pair_of_readings {
  reading entry;
  reading tap;
};

/** Reads a stream and, from its first token on, its generation straight from the endpoint. */
pair_of_readings ReadPair(const latency_options& options,
                          const stream_target& target,
                          const std::string& known_generation,
                          const clock& time) {
  pair_of_readings both;
  std::thread tap;
  both.entry.tokens.reserve(options.tokens);
  both.entry.start = time.Now();
  both.entry.result = ReadStream(
      target, time, [&](std::uint32_t, time_point when) { both.entry.tokens.push_back(when); },
      [&](const std::string& named_generation) {
        const std::string generation =
            known_generation.empty() ? named_generation : known_generation;
        tap = std::thread([&, generation] { both.tap = Tap(options, generation, time); });
      });
  if (tap.joinable()) {
    tap.join();
  }
  return both;
}

/** @return CPU time of the entry process so far, in milliseconds. */
double EntryCpu(const latency_options& options) {
  httplib::ClientImpl client(options.entry.ip, options.entry.port);
  const auto metrics = client.Get("/metrics");
  constexpr std::string_view kName = "\ntarragon_process_cpu_milliseconds ";
  const std::size_t place = metrics ? metrics->body.find(kName) : std::string::npos;
  return place == std::string::npos ? 0 : std::stod(metrics->body.substr(place + kName.size()));
}

struct timings {
  std::vector<double> first;
  std::vector<double> gaps;

  void Add(const reading& one) {
    if (!one.tokens.empty()) {
      first.push_back(Micros(one.tokens.front() - one.start));
    }
    for (std::size_t i = 1; i < one.tokens.size(); ++i) {
      gaps.push_back(Micros(one.tokens[i] - one.tokens[i - 1]));
    }
  }
};

bool IsWhole(const reading& one, const latency_options& options) {
  return one.result.whole && one.result.in_order && one.result.tokens == options.tokens;
}

}  // namespace

bool RunLatency(const latency_options& options) {
  const real_clock time;
  const auto endpoint_count = options.endpoints.size();
  int broken = 0;

  // Two readers without the entry show what the machine alone adds.
  timings direct;
  std::vector<double> control;
  for (const pair_of_readings& both : RunAll(options.streams, [&](int i) {
         const std::string generation = NewGeneration(i);
         return ReadPair(options, Direct(options, generation, i), generation, time);
       })) {
    direct.Add(both.entry);
    broken += IsWhole(both.entry, options) && both.tap.result.whole ? 0 : 1;
    const std::size_t count = std::min(both.entry.tokens.size(), both.tap.tokens.size());
    for (std::size_t i = kFirstPairedIndex; i < count; ++i) {
      control.push_back(Micros(both.entry.tokens[i] - both.tap.tokens[i]));
    }
  }

  const double cpu_before = EntryCpu(options);
  const time_point start = time.Now();
  const auto pairs = RunAll(options.streams, [&](int i) {
    return ReadPair(options, ThroughEntry(options, i), "", time);
  });
  const double seconds = std::chrono::duration<double>(time.Now() - start).count();
  const double cpu_ms = EntryCpu(options) - cpu_before;

  timings entry;
  std::vector<double> added;
  std::vector<std::vector<double>> at_marks(options.marks.size());
  std::uint64_t tokens = 0;
  for (const pair_of_readings& both : pairs) {
    entry.Add(both.entry);
    tokens += both.entry.tokens.size();
    broken += IsWhole(both.entry, options) && both.tap.result.whole ? 0 : 1;
    const auto count =
        static_cast<std::uint32_t>(std::min(both.entry.tokens.size(), both.tap.tokens.size()));
    for (std::uint32_t i = kFirstPairedIndex; i < count; ++i) {
      const double difference = Micros(both.entry.tokens[i] - both.tap.tokens[i]);
      added.push_back(difference);
      for (std::size_t m = 0; m < options.marks.size(); ++m) {
        if (i + kMarkRadius >= options.marks[m] && i <= options.marks[m] + kMarkRadius) {
          at_marks[m].push_back(difference);
        }
      }
    }
  }
  fmt::print("streams={} tokens={} endpoints={} broken={} (times in microseconds)\n",
             options.streams, options.tokens, endpoint_count, broken);
  Print("first token, direct", direct.first);
  Print("first token, entry", entry.first);
  Print("between tokens, direct", direct.gaps);
  Print("between tokens, entry", entry.gaps);
  Print("paired, two direct readers", control);
  Print("paired, entry and direct", added);
  for (std::size_t m = 0; m < options.marks.size(); ++m) {
    Print(fmt::format("added at index {}", options.marks[m]).c_str(), at_marks[m]);
  }
  const double rate = static_cast<double>(tokens) / seconds;
  fmt::print("entry: cpu_ms={:.0f} wall_s={:.2f} tokens_per_s={:.0f} cpu_us_per_token={:.1f}\n",
             cpu_ms, seconds, rate, tokens == 0 ? 0 : cpu_ms * 1000 / static_cast<double>(tokens));
  return broken == 0;
}

}  // namespace tarragon::load
