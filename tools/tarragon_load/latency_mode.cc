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

constexpr double kMicrosPerSecond = 1e6;
// A marked index is reported with this many tokens on either side.
constexpr std::uint32_t kMarkRadius = 20;
// The second reader connects after token 0; tokens before this index reach it late, from the
// engine's log.
constexpr std::uint32_t kFirstPairedIndex = 20;
constexpr int kMeanStartGapMs = 10;

double ToMicros(duration value) {
  return std::chrono::duration<double>(value).count() * kMicrosPerSecond;
}

double Quantile(std::vector<double>& samples, double q) {
  if (samples.empty()) {
    return 0;
  }
  const auto position = static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(position),
                   samples.end());
  return samples[position];
}

void PrintQuantiles(const char* name, std::vector<double> samples) {
  fmt::print("{:<32} n={:<8} p50={:<10.1f} p90={:<10.1f} p99={:<10.1f} p99.9={:.1f}\n", name,
             samples.size(), Quantile(samples, 0.5), Quantile(samples, 0.9),
             Quantile(samples, 0.99), Quantile(samples, 0.999));
}

/** Timing of one reader of a stream. */
struct stream_timing {
  time_point start;
  stream_result result;
  std::vector<time_point> tokens;
};

std::string NewGeneration(int n) {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), n);
}

stream_request MakeDirectRequest(const latency_options& options,
                                 const std::string& generation,
                                 int n) {
  const net::socket_address& endpoint =
      options.endpoints[static_cast<std::size_t>(n) % options.endpoints.size()];
  stream_request target;
  target.ip = endpoint.ip;
  target.port = endpoint.port;
  target.headers = {{"X-Request-Id", generation}};
  target.body =
      fmt::format(R"({{"model":"{}","prompt":"direct {} [len={}]","max_tokens":{},"stream":true}})",
                  options.model, n, options.tokens, options.tokens);
  return target;
}

stream_request MakeEntryRequest(const latency_options& options, int n) {
  return {.ip = options.entry.ip,
          .port = options.entry.port,
          .path = "/v1/completions",
          .headers = {{"Authorization", "Bearer " + options.token}},
          .body = fmt::format(
              R"({{"model":"{}","prompt":"entry {} [len={}]","max_tokens":{},"stream":true}})",
              options.model, n, options.tokens, options.tokens)};
}

/** Runs `read` for each stream on its own thread, with random delays between the starts. */
template <typename F>
auto RunStreams(int streams, F read) {
  using result = decltype(read(0));
  std::vector<std::future<result>> running;
  std::minstd_rand random(1);
  std::uniform_int_distribution<int> gap(0, 2 * kMeanStartGapMs);
  for (int i = 0; i < streams; ++i) {
    running.push_back(std::async(std::launch::async, read, i));
    std::this_thread::sleep_for(std::chrono::milliseconds(gap(random)));
  }
  std::vector<result> results;
  results.reserve(running.size());
  for (auto& future : running) {
    results.push_back(future.get());
  }
  return results;
}

/** Reads the event stream of a generation directly from the endpoint that runs it. */
stream_timing ReadDirect(const latency_options& options,
                         const std::string& generation,
                         const clock& time) {
  for (const net::socket_address& endpoint : options.endpoints) {
    stream_timing timing;
    timing.tokens.reserve(options.tokens);
    stream_request target;
    target.ip = endpoint.ip;
    target.port = endpoint.port;
    target.method = "GET";
    target.path = fmt::format("/v1/generations/{}/events?from=0", generation);
    timing.result = ReadStream(
        target, time, [&](std::uint32_t, time_point when) { timing.tokens.push_back(when); });
    if (timing.result.status == 200) {
      return timing;
    }
  }
  return {};
}

struct paired_timings {
  stream_timing first;
  stream_timing second;
};

/** Reads a stream and, after its first token, the same generation directly from the endpoint. */
paired_timings ReadPair(const latency_options& options,
                        const stream_request& target,
                        const std::string& known_generation,
                        const clock& time) {
  paired_timings both;
  std::thread second_reader;
  both.first.tokens.reserve(options.tokens);
  both.first.start = time.Now();
  both.first.result = ReadStream(
      target, time, [&](std::uint32_t, time_point when) { both.first.tokens.push_back(when); },
      [&](const std::string& named_generation) {
        const std::string generation =
            known_generation.empty() ? named_generation : known_generation;
        second_reader =
            std::thread([&, generation] { both.second = ReadDirect(options, generation, time); });
      });
  if (second_reader.joinable()) {
    second_reader.join();
  }
  return both;
}

/** @return CPU time of the entry process since its start, in milliseconds. */
double ReadEntryCpuMs(const latency_options& options) {
  httplib::ClientImpl client(options.entry.ip, options.entry.port);
  const auto metrics = client.Get("/metrics");
  constexpr std::string_view kName = "\ntarragon_process_cpu_milliseconds ";
  const std::size_t position = metrics ? metrics->body.find(kName) : std::string::npos;
  return position == std::string::npos ? 0
                                       : std::stod(metrics->body.substr(position + kName.size()));
}

struct latency_samples {
  std::vector<double> first_token;
  std::vector<double> inter_token_gaps;

  void Add(const stream_timing& timing) {
    if (!timing.tokens.empty()) {
      first_token.push_back(ToMicros(timing.tokens.front() - timing.start));
    }
    for (std::size_t i = 1; i < timing.tokens.size(); ++i) {
      inter_token_gaps.push_back(ToMicros(timing.tokens[i] - timing.tokens[i - 1]));
    }
  }
};

bool IsComplete(const stream_timing& timing, const latency_options& options) {
  return timing.result.complete && timing.result.in_order && timing.result.tokens == options.tokens;
}

}  // namespace

bool RunLatencyMode(const latency_options& options) {
  const real_clock time;
  const auto endpoint_count = options.endpoints.size();
  int incomplete = 0;

  // Baseline: two direct readers show the difference that the machine alone causes.
  latency_samples direct;
  std::vector<double> baseline;
  for (const paired_timings& both : RunStreams(options.streams, [&](int i) {
         const std::string generation = NewGeneration(i);
         return ReadPair(options, MakeDirectRequest(options, generation, i), generation, time);
       })) {
    direct.Add(both.first);
    incomplete += IsComplete(both.first, options) && both.second.result.complete ? 0 : 1;
    const std::size_t count = std::min(both.first.tokens.size(), both.second.tokens.size());
    for (std::size_t i = kFirstPairedIndex; i < count; ++i) {
      baseline.push_back(ToMicros(both.first.tokens[i] - both.second.tokens[i]));
    }
  }

  const double cpu_before = ReadEntryCpuMs(options);
  const time_point start = time.Now();
  const auto pairs = RunStreams(options.streams, [&](int i) {
    return ReadPair(options, MakeEntryRequest(options, i), "", time);
  });
  const double seconds = std::chrono::duration<double>(time.Now() - start).count();
  const double cpu_ms = ReadEntryCpuMs(options) - cpu_before;

  latency_samples entry;
  std::vector<double> added;
  std::vector<std::vector<double>> at_marks(options.marked_indices.size());
  std::uint64_t tokens = 0;
  for (const paired_timings& both : pairs) {
    entry.Add(both.first);
    tokens += both.first.tokens.size();
    incomplete += IsComplete(both.first, options) && both.second.result.complete ? 0 : 1;
    const auto count =
        static_cast<std::uint32_t>(std::min(both.first.tokens.size(), both.second.tokens.size()));
    for (std::uint32_t i = kFirstPairedIndex; i < count; ++i) {
      const double difference = ToMicros(both.first.tokens[i] - both.second.tokens[i]);
      added.push_back(difference);
      for (std::size_t m = 0; m < options.marked_indices.size(); ++m) {
        if (i + kMarkRadius >= options.marked_indices[m] &&
            i <= options.marked_indices[m] + kMarkRadius) {
          at_marks[m].push_back(difference);
        }
      }
    }
  }
  fmt::print("streams={} tokens={} endpoints={} broken={} (times in microseconds)\n",
             options.streams, options.tokens, endpoint_count, incomplete);
  PrintQuantiles("first token, direct", direct.first_token);
  PrintQuantiles("first token, entry", entry.first_token);
  PrintQuantiles("between tokens, direct", direct.inter_token_gaps);
  PrintQuantiles("between tokens, entry", entry.inter_token_gaps);
  PrintQuantiles("paired, two direct readers", baseline);
  PrintQuantiles("paired, entry and direct", added);
  for (std::size_t m = 0; m < options.marked_indices.size(); ++m) {
    PrintQuantiles(fmt::format("added at index {}", options.marked_indices[m]).c_str(),
                   at_marks[m]);
  }
  const double rate = static_cast<double>(tokens) / seconds;
  fmt::print("entry: cpu_ms={:.0f} wall_s={:.2f} tokens_per_s={:.0f} cpu_us_per_token={:.1f}\n",
             cpu_ms, seconds, rate, tokens == 0 ? 0 : cpu_ms * 1000 / static_cast<double>(tokens));
  return incomplete == 0;
}

}  // namespace tarragon::load
