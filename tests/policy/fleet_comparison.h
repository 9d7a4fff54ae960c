#ifndef TARRAGON_TESTS_POLICY_FLEET_COMPARISON_H_
#define TARRAGON_TESTS_POLICY_FLEET_COMPARISON_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "tarragon/policy/endpoint_selector.h"
#include "tarragon/policy/in_flight_history.h"
#include "tarragon/policy/length_estimator.h"
#include "tarragon/policy/memory_ledger.h"
#include "tarragon/policy/outlier_detector.h"

namespace tarragon::policy {

/** Parameters of one run of `fleet_comparison`. */
struct comparison_options {
  endpoint_selector::rule rule = two_choice{};
  /** Uses `outlier_detector` for ejection and for the latency factor. */
  bool detect_outliers = false;
  /**
   * Sends a request only if `memory_ledger` finds that it fits. If false, requests that do not fit
   * wait in the endpoint's queue.
   */
  bool reserve_memory = false;
  duration report_delay = std::chrono::seconds(1);
  std::size_t slow_endpoints = 0;
  std::uint64_t memory_total = 0;
  std::uint32_t slots = 16;
  /** Quantile of the predicted output length for which memory is reserved. */
  double reserved_quantile = 0.8;
  double requests_per_second = 85;
  double median_tokens = 20;
  double sigma = 0.8;
  std::uint64_t seed = 1;
};

/**
 * Options with which memory limits the endpoints. Output lengths are lognormal with median 80 and
 * sigma 0.8: a stream holds 20 * E[T] + E[T^2] / 2 = 13,700 token steps of 50 ms, which is 685
 * token seconds. 126 requests per second then need 90% of 12 * 8,000 tokens.
 */
inline comparison_options MemoryBoundOptions() {
  return {.memory_total = 8000, .slots = 256, .requests_per_second = 126, .median_tokens = 80};
}

struct comparison_result {
  std::size_t finished = 0;
  /** Time from arrival to the last token, relative to the time at full speed without waiting. */
  double p50_slowdown = 0;
  double p99_slowdown = 0;
  /** p99 slowdown of requests with at most `kShortTokens`. */
  double p99_short_slowdown = 0;
  std::size_t preemptions = 0;
  /** Total time that streams spent preempted. */
  double stall_seconds = 0;
};

/**
 * Deterministic simulation that compares policies on the same arrivals: 8 entries, 12 endpoints
 * with slots, memory and a queue, delayed reports, and gossip that is one second old. One step is
 * one token at full speed. The network is not modelled.
 */
class fleet_comparison final {
 public:
  static constexpr std::size_t kEntries = 8;
  static constexpr std::size_t kEndpoints = 12;
  static constexpr duration kStep = std::chrono::milliseconds(50);
  static constexpr std::uint32_t kShortTokens = 16;
  static constexpr double kMaxTokens = 2000;

  explicit fleet_comparison(const comparison_options& options)
      : options_(options), random_(options.seed), endpoints_(kEndpoints) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      entries_.push_back(std::make_unique<simulated_entry>(options.rule, options.seed + 100 + i));
      for (endpoint_index endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        entries_.back()->detector.Add(endpoint);
      }
    }
  }

  comparison_result Run() {
    constexpr int kWarmUpSteps = 600;
    constexpr int kTotalSteps = 3000;
    for (int step = 0; step < kTotalSteps; ++step) {
      is_measured_ = step >= kWarmUpSteps;
      AddArrivals();
      UpdateReportsAndDetectors(step);
      for (auto& entry : entries_) {
        DispatchQueue(*entry);
      }
      for (endpoint_index i = 0; i < kEndpoints; ++i) {
        RunEndpoint(i);
      }
      now_ += kStep;
    }
    ComputeResult();
    return result_;
  }

 private:
  struct simulated_stream {
    std::size_t entry_index = 0;
    time_point arrived_at;
    std::uint32_t prompt = 0;
    std::uint32_t tokens = 0;
    double generated = 0;
    std::uint32_t observed_tokens = 0;
    time_point last_token{};
    std::uint32_t predicted = 0;
    attempt_id attempt{};
    bool was_preempted = false;
  };
  using stream_ptr = std::unique_ptr<simulated_stream>;

  struct report {
    time_point measured_at;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t used = 0;
  };

  struct simulated_endpoint {
    std::vector<stream_ptr> running;
    std::deque<stream_ptr> waiting;
    std::deque<report> reports;
  };

  struct simulated_entry {
    simulated_entry(const endpoint_selector::rule& rule, std::uint64_t seed)
        : selector(rule),
          random(seed),
          in_flight_histories(kEndpoints),
          held_histories(kEndpoints),
          own_in_flight(kEndpoints) {}

    endpoint_selector selector;
    std::mt19937_64 random;
    outlier_detector detector;
    length_estimator lengths;
    memory_ledger ledger;
    std::vector<in_flight_history> in_flight_histories;
    std::vector<in_flight_history> held_histories;
    std::vector<std::uint32_t> own_in_flight;
    std::deque<stream_ptr> queue;
  };

  static std::uint32_t HeldMemory(const simulated_stream& stream) {
    return stream.prompt + static_cast<std::uint32_t>(stream.generated);
  }

  static std::uint64_t UsedMemory(const simulated_endpoint& endpoint) {
    std::uint64_t used = 0;
    for (const stream_ptr& stream : endpoint.running) {
      used += HeldMemory(*stream);
    }
    return used;
  }

  void AddArrivals() {
    const double mean = options_.requests_per_second * std::chrono::duration<double>(kStep).count();
    int count = std::poisson_distribution<int>(mean)(random_);
    std::lognormal_distribution<double> tokens(std::log(options_.median_tokens), options_.sigma);
    for (; count > 0; --count) {
      auto added = std::make_unique<simulated_stream>();
      added->entry_index = std::uniform_int_distribution<std::size_t>(0, kEntries - 1)(random_);
      added->arrived_at = now_;
      added->prompt = 20;
      added->tokens = 1 + static_cast<std::uint32_t>(std::min(tokens(random_), kMaxTokens));
      entries_[added->entry_index]->queue.push_back(std::move(added));
    }
  }

  void UpdateReportsAndDetectors(int step) {
    constexpr int kReportPeriod = 10;
    for (simulated_endpoint& endpoint : endpoints_) {
      if (step % kReportPeriod == 0) {
        endpoint.reports.push_back({now_, static_cast<std::uint32_t>(endpoint.running.size()),
                                    static_cast<std::uint32_t>(endpoint.waiting.size()),
                                    UsedMemory(endpoint)});
      }
      while (endpoint.reports.size() > 1 &&
             now_ - endpoint.reports[1].measured_at >= options_.report_delay) {
        endpoint.reports.pop_front();
      }
    }
    for (auto& entry : entries_) {
      entry->detector.Update(now_);
    }
  }

  std::uint32_t PeerInFlight(const simulated_entry& entry, endpoint_index i) const {
    constexpr duration kGossipDelay = std::chrono::seconds(1);
    std::uint64_t sum = 0;
    for (const auto& other : entries_) {
      sum += other.get() == &entry ? 0 : other->in_flight_histories[i].At(now_ - kGossipDelay);
    }
    return static_cast<std::uint32_t>(sum);
  }

  endpoint_candidate MakeCandidate(simulated_entry& entry, endpoint_index i) {
    endpoint_candidate candidate{.own_in_flight = entry.own_in_flight[i],
                                 .peer_in_flight = PeerInFlight(entry, i),
                                 .slots = options_.slots};
    const report& delivered = endpoints_[i].reports.front();
    if (now_ - delivered.measured_at >= options_.report_delay) {
      candidate.reported_running = delivered.running;
      candidate.reported_waiting = delivered.waiting;
      candidate.report_age = now_ - delivered.measured_at;
      candidate.own_in_flight_at_report =
          static_cast<std::uint32_t>(entry.in_flight_histories[i].At(delivered.measured_at));
      const std::uint64_t own_held = entry.held_histories[i].At(delivered.measured_at);
      entry.ledger.SetEndpointMemory(i, options_.memory_total,
                                     delivered.used - std::min(delivered.used, own_held),
                                     candidate.peer_in_flight);
    }
    if (options_.detect_outliers) {
      candidate.eligible = entry.detector.CanSend(i);
      candidate.latency_factor = entry.detector.LatencyFactor(i);
    }
    candidate.memory_reserved = entry.ledger.Peak(i);
    candidate.memory_total = options_.reserve_memory ? options_.memory_total : 0;
    return candidate;
  }

  void DispatchQueue(simulated_entry& entry) {
    while (!entry.queue.empty()) {
      simulated_stream& next = *entry.queue.front();
      next.predicted = entry.lengths.Predict("all", account_id{1}, 0, options_.reserved_quantile);
      std::vector<endpoint_candidate> candidates;
      candidates.reserve(kEndpoints);
      for (endpoint_index i = 0; i < kEndpoints; ++i) {
        candidates.push_back(MakeCandidate(entry, i));
        if (options_.reserve_memory) {
          candidates.back().eligible &= entry.ledger.Fits(i, {next.prompt, next.predicted});
        }
      }
      const auto chosen = entry.selector.Choose(candidates, entry.random);
      if (!chosen) {
        return;
      }
      Send(entry, static_cast<endpoint_index>(*chosen));
    }
  }

  void Send(simulated_entry& entry, endpoint_index i) {
    stream_ptr sent = std::move(entry.queue.front());
    entry.queue.pop_front();
    sent->attempt = {++next_attempt_};
    entry.ledger.Reserve(sent->attempt, i, {sent->prompt, sent->predicted});
    entry.own_in_flight[i] += 1;
    entry.in_flight_histories[i].Record(now_, entry.own_in_flight[i]);
    if (entry.detector.Health(i) == endpoint_health::kHalfOpen && entry.detector.CanSend(i)) {
      entry.detector.BeginProbe(now_, i);
    }
    endpoints_[i].waiting.push_back(std::move(sent));
  }

  bool HasMemory(const simulated_endpoint& endpoint, const simulated_stream& next) const {
    return options_.memory_total == 0 ||
           UsedMemory(endpoint) + HeldMemory(next) + 1 <= options_.memory_total;
  }

  void RunEndpoint(endpoint_index i) {
    simulated_endpoint& endpoint = endpoints_[i];
    while (!endpoint.waiting.empty() && endpoint.running.size() < options_.slots &&
           HasMemory(endpoint, *endpoint.waiting.front())) {
      endpoint.running.push_back(std::move(endpoint.waiting.front()));
      endpoint.waiting.pop_front();
    }
    const double speed = i < options_.slow_endpoints ? 0.2 : 1;
    for (stream_ptr& stream : endpoint.running) {
      stream->generated += speed;
      RecordTokens(i, *stream);
    }
    std::erase_if(endpoint.running, [](const stream_ptr& stream) { return stream == nullptr; });
    FinishStreams(i, endpoint);
    PreemptStreams(endpoint);
  }

  void RecordTokens(endpoint_index i, simulated_stream& stream) {
    const auto generated_tokens = static_cast<std::uint32_t>(stream.generated + 1e-9);
    if (generated_tokens == stream.observed_tokens) {
      return;
    }
    stream.observed_tokens = generated_tokens;
    simulated_entry& owner = *entries_[stream.entry_index];
    if (stream.last_token != time_point{}) {
      owner.detector.RecordLatency(now_, i, latency_kind::kBetweenTokens, now_ - stream.last_token);
      owner.detector.RecordSuccess(now_, i);
    }
    stream.last_token = now_;
    const std::uint32_t total =
        owner.lengths.Predict("all", account_id{1}, generated_tokens, options_.reserved_quantile);
    owner.ledger.Adjust(stream.attempt, {HeldMemory(stream), total - generated_tokens});
    owner.held_histories[i].Record(now_, owner.ledger.OwnHeldMemory(i));
  }

  void FinishStreams(endpoint_index i, simulated_endpoint& endpoint) {
    for (stream_ptr& stream : endpoint.running) {
      if (stream->generated + 1e-9 < stream->tokens) {
        continue;
      }
      simulated_entry& owner = *entries_[stream->entry_index];
      owner.own_in_flight[i] -= 1;
      owner.in_flight_histories[i].Record(now_, owner.own_in_flight[i]);
      owner.ledger.Release(stream->attempt);
      owner.held_histories[i].Record(now_, owner.ledger.OwnHeldMemory(i));
      owner.lengths.Record("all", account_id{1}, stream->tokens);
      if (is_measured_) {
        const double elapsed_steps =
            static_cast<double>((now_ + kStep - stream->arrived_at) / kStep);
        slowdowns_.push_back(elapsed_steps / stream->tokens);
        if (stream->tokens <= kShortTokens) {
          short_slowdowns_.push_back(elapsed_steps / stream->tokens);
        }
      }
      stream.reset();
    }
    std::erase_if(endpoint.running, [](const stream_ptr& stream) { return stream == nullptr; });
  }

  /** Preempts the streams that started last until the rest fit; they go to the front of the queue.
   */
  void PreemptStreams(simulated_endpoint& endpoint) {
    while (options_.memory_total > 0 && UsedMemory(endpoint) > options_.memory_total) {
      endpoint.running.back()->was_preempted = true;
      endpoint.waiting.push_front(std::move(endpoint.running.back()));
      endpoint.running.pop_back();
      result_.preemptions += is_measured_ ? 1 : 0;
    }
    const auto stalled = std::ranges::count_if(
        endpoint.waiting, [](const stream_ptr& stream) { return stream->was_preempted; });
    result_.stall_seconds += is_measured_ ? 0.05 * static_cast<double>(stalled) : 0;
  }

  static double Quantile(std::vector<double>& samples, double q) {
    if (samples.empty()) {
      return 0;
    }
    const auto position =
        samples.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(samples.size() - 1));
    std::ranges::nth_element(samples, position);
    return *position;
  }

  void ComputeResult() {
    result_.finished = slowdowns_.size();
    result_.p50_slowdown = Quantile(slowdowns_, 0.5);
    result_.p99_slowdown = Quantile(slowdowns_, 0.99);
    result_.p99_short_slowdown = Quantile(short_slowdowns_, 0.99);
  }

  comparison_options options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<simulated_entry>> entries_;
  std::vector<simulated_endpoint> endpoints_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_attempt_ = 0;
  bool is_measured_ = false;
  std::vector<double> slowdowns_;
  std::vector<double> short_slowdowns_;
  comparison_result result_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_TESTS_POLICY_FLEET_COMPARISON_H_
