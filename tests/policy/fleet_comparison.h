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

/** One run of `fleet_comparison`. */
struct comparison_options {
  endpoint_selector::rule rule = two_choice{};
  /** Uses `outlier_detector` for exclusion and for the latency factor. */
  bool detect_outliers = false;
  /** Sends only what `memory_ledger` says fits; otherwise the endpoint's own queue holds it. */
  bool reserve_memory = false;
  duration report_delay = std::chrono::seconds(1);
  std::size_t slow_endpoints = 0;
  std::uint64_t memory_total = 0;
  std::uint32_t slots = 16;
  /** Quantile of the output length that is reserved. */
  double reserved_quantile = 0.8;
  double requests_per_second = 85;
  double median_tokens = 20;
  double sigma = 0.8;
  std::uint64_t seed = 1;
};

/**
 * Endpoints limited by memory. Output is lognormal with median 80 and sigma 0.8: a stream holds
 * 20 * E[T] + E[T^2] / 2 = 13,700 token steps of 50 ms, which is 685 token seconds. 126 requests a
 * second then need 90% of 12 * 8,000 tokens.
 */
inline comparison_options MemoryBound() {
  return {.memory_total = 8000, .slots = 256, .requests_per_second = 126, .median_tokens = 80};
}

struct comparison_result {
  std::size_t finished = 0;
  /** Time from arrival to the last token, divided by the time that the tokens take undisturbed. */
  double p50_slowdown = 0;
  double p99_slowdown = 0;
  /** The same of requests with at most `kShortTokens`. */
  double p99_short_slowdown = 0;
  std::size_t preemptions = 0;
  /** Time that started streams spent preempted. */
  double stall_seconds = 0;
};

/**
 * Deterministic comparison of policies on the same arrivals: 8 entries, 12 endpoints with slots,
 * memory and a queue, late reports, gossip one second old. One step is one token at full speed. It
 * compares decisions only and does not model the network.
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
      entries_.push_back(std::make_unique<entry>(options.rule, options.seed + 100 + i));
      for (endpoint_index endpoint = 0; endpoint < kEndpoints; ++endpoint) {
        entries_.back()->detector.Add(endpoint);
      }
    }
  }

  comparison_result Run() {
    constexpr int kWarmUp = 600;
    constexpr int kSteps = 3000;
    for (int step = 0; step < kSteps; ++step) {
      is_measured_ = step >= kWarmUp;
      Arrive();
      Exchange(step);
      for (auto& each : entries_) {
        Dispatch(*each);
      }
      for (endpoint_index i = 0; i < kEndpoints; ++i) {
        Serve(i);
      }
      now_ += kStep;
    }
    Summarise();
    return result_;
  }

 private:
  struct stream {
    std::size_t entry = 0;
    time_point arrived;
    std::uint32_t prompt = 0;
    std::uint32_t tokens = 0;
    double generated = 0;
    std::uint32_t seen = 0;
    time_point last_token{};
    std::uint32_t predicted = 0;
    attempt_id attempt{};
    bool was_preempted = false;
  };
  using stream_ptr = std::unique_ptr<stream>;

  struct report {
    time_point measured;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t used = 0;
  };

  struct endpoint {
    std::vector<stream_ptr> running;
    std::deque<stream_ptr> waiting;
    std::deque<report> reports;
  };

  struct entry {
    entry(const endpoint_selector::rule& rule, std::uint64_t seed)
        : selector(rule), random(seed), in_flight(kEndpoints), held(kEndpoints), own(kEndpoints) {}

    endpoint_selector selector;
    std::mt19937_64 random;
    outlier_detector detector;
    length_estimator lengths;
    memory_ledger ledger;
    std::vector<in_flight_history> in_flight;
    std::vector<in_flight_history> held;
    std::vector<std::uint32_t> own;
    std::deque<stream_ptr> queue;
  };

  static std::uint32_t Held(const stream& each) {
    return each.prompt + static_cast<std::uint32_t>(each.generated);
  }

  static std::uint64_t Used(const endpoint& at) {
    std::uint64_t used = 0;
    for (const stream_ptr& each : at.running) {
      used += Held(*each);
    }
    return used;
  }

  void Arrive() {
    const double mean = options_.requests_per_second * std::chrono::duration<double>(kStep).count();
    int count = std::poisson_distribution<int>(mean)(random_);
    std::lognormal_distribution<double> tokens(std::log(options_.median_tokens), options_.sigma);
    for (; count > 0; --count) {
      auto added = std::make_unique<stream>();
      added->entry = std::uniform_int_distribution<std::size_t>(0, kEntries - 1)(random_);
      added->arrived = now_;
      added->prompt = 20;
      added->tokens = 1 + static_cast<std::uint32_t>(std::min(tokens(random_), kMaxTokens));
      entries_[added->entry]->queue.push_back(std::move(added));
    }
  }

  void Exchange(int step) {
    constexpr int kReportPeriod = 10;
    for (endpoint& at : endpoints_) {
      if (step % kReportPeriod == 0) {
        at.reports.push_back({now_, static_cast<std::uint32_t>(at.running.size()),
                              static_cast<std::uint32_t>(at.waiting.size()), Used(at)});
      }
      while (at.reports.size() > 1 && now_ - at.reports[1].measured >= options_.report_delay) {
        at.reports.pop_front();
      }
    }
    for (auto& each : entries_) {
      each->detector.Update(now_);
    }
  }

  std::uint32_t PeerInFlight(const entry& self, endpoint_index i) const {
    constexpr duration kGossipDelay = std::chrono::seconds(1);
    std::uint64_t sum = 0;
    for (const auto& other : entries_) {
      sum += other.get() == &self ? 0 : other->in_flight[i].At(now_ - kGossipDelay);
    }
    return static_cast<std::uint32_t>(sum);
  }

  endpoint_candidate MakeCandidate(entry& self, endpoint_index i) {
    endpoint_candidate candidate{.own_in_flight = self.own[i],
                                 .peer_in_flight = PeerInFlight(self, i),
                                 .slots = options_.slots};
    const report& last = endpoints_[i].reports.front();
    if (now_ - last.measured >= options_.report_delay) {
      candidate.reported_running = last.running;
      candidate.reported_waiting = last.waiting;
      candidate.report_age = now_ - last.measured;
      candidate.own_in_flight_at_report =
          static_cast<std::uint32_t>(self.in_flight[i].At(last.measured));
      const std::uint64_t own_held = self.held[i].At(last.measured);
      self.ledger.SetEndpoint(i, options_.memory_total, last.used - std::min(last.used, own_held),
                              candidate.peer_in_flight);
    }
    if (options_.detect_outliers) {
      candidate.eligible = self.detector.MaySend(i);
      candidate.latency_factor = self.detector.LatencyFactor(i);
    }
    candidate.memory_reserved = self.ledger.Peak(i);
    candidate.memory_total = options_.reserve_memory ? options_.memory_total : 0;
    return candidate;
  }

  void Dispatch(entry& self) {
    while (!self.queue.empty()) {
      stream& head = *self.queue.front();
      head.predicted = self.lengths.Predict("all", account_id{1}, 0, options_.reserved_quantile);
      std::vector<endpoint_candidate> candidates;
      candidates.reserve(kEndpoints);
      for (endpoint_index i = 0; i < kEndpoints; ++i) {
        candidates.push_back(MakeCandidate(self, i));
        if (options_.reserve_memory) {
          candidates.back().eligible &= self.ledger.Fits(i, {head.prompt, head.predicted});
        }
      }
      const auto chosen = self.selector.Choose(candidates, self.random);
      if (!chosen) {
        return;
      }
      Send(self, static_cast<endpoint_index>(*chosen));
    }
  }

  void Send(entry& self, endpoint_index i) {
    stream_ptr sent = std::move(self.queue.front());
    self.queue.pop_front();
    sent->attempt = {++next_attempt_};
    self.ledger.Reserve(sent->attempt, i, {sent->prompt, sent->predicted});
    self.own[i] += 1;
    self.in_flight[i].Record(now_, self.own[i]);
    if (self.detector.Health(i) == endpoint_health::kHalfOpen && self.detector.MaySend(i)) {
      self.detector.BeginProbe(now_, i);
    }
    endpoints_[i].waiting.push_back(std::move(sent));
  }

  bool HasMemory(const endpoint& at, const stream& next) const {
    return options_.memory_total == 0 || Used(at) + Held(next) + 1 <= options_.memory_total;
  }

  void Serve(endpoint_index i) {
    endpoint& at = endpoints_[i];
    while (!at.waiting.empty() && at.running.size() < options_.slots &&
           HasMemory(at, *at.waiting.front())) {
      at.running.push_back(std::move(at.waiting.front()));
      at.waiting.pop_front();
    }
    const double speed = i < options_.slow_endpoints ? 0.2 : 1;
    for (stream_ptr& each : at.running) {
      each->generated += speed;
      Observe(i, *each);
    }
    std::erase_if(at.running, [](const stream_ptr& each) { return each == nullptr; });
    Finish(i, at);
    Preempt(at);
  }

  void Observe(endpoint_index i, stream& each) {
    const auto produced = static_cast<std::uint32_t>(each.generated + 1e-9);
    if (produced == each.seen) {
      return;
    }
    each.seen = produced;
    entry& owner = *entries_[each.entry];
    if (each.last_token != time_point{}) {
      owner.detector.RecordLatency(now_, i, latency_kind::kBetweenTokens, now_ - each.last_token);
      owner.detector.RecordSuccess(now_, i);
    }
    each.last_token = now_;
    const std::uint32_t total =
        owner.lengths.Predict("all", account_id{1}, produced, options_.reserved_quantile);
    owner.ledger.Adjust(each.attempt, {Held(each), total - produced});
    owner.held[i].Record(now_, owner.ledger.OwnHeld(i));
  }

  void Finish(endpoint_index i, endpoint& at) {
    for (stream_ptr& each : at.running) {
      if (each->generated + 1e-9 < each->tokens) {
        continue;
      }
      entry& owner = *entries_[each->entry];
      owner.own[i] -= 1;
      owner.in_flight[i].Record(now_, owner.own[i]);
      owner.ledger.Release(each->attempt);
      owner.held[i].Record(now_, owner.ledger.OwnHeld(i));
      owner.lengths.Record("all", account_id{1}, each->tokens);
      if (is_measured_) {
        const double took = static_cast<double>((now_ + kStep - each->arrived) / kStep);
        slowdowns_.push_back(took / each->tokens);
        if (each->tokens <= kShortTokens) {
          short_slowdowns_.push_back(took / each->tokens);
        }
      }
      each.reset();
    }
    std::erase_if(at.running, [](const stream_ptr& each) { return each == nullptr; });
  }

  /** The stream that started last gives up its memory and waits in front of the queue. */
  void Preempt(endpoint& at) {
    while (options_.memory_total > 0 && Used(at) > options_.memory_total) {
      at.running.back()->was_preempted = true;
      at.waiting.push_front(std::move(at.running.back()));
      at.running.pop_back();
      result_.preemptions += is_measured_ ? 1 : 0;
    }
    const auto stalled = std::ranges::count_if(
        at.waiting, [](const stream_ptr& each) { return each->was_preempted; });
    result_.stall_seconds += is_measured_ ? 0.05 * static_cast<double>(stalled) : 0;
  }

  static double Quantile(std::vector<double>& values, double q) {
    if (values.empty()) {
      return 0;
    }
    const auto place =
        values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, place);
    return *place;
  }

  void Summarise() {
    result_.finished = slowdowns_.size();
    result_.p50_slowdown = Quantile(slowdowns_, 0.5);
    result_.p99_slowdown = Quantile(slowdowns_, 0.99);
    result_.p99_short_slowdown = Quantile(short_slowdowns_, 0.99);
  }

  comparison_options options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::vector<endpoint> endpoints_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_attempt_ = 0;
  bool is_measured_ = false;
  std::vector<double> slowdowns_;
  std::vector<double> short_slowdowns_;
  comparison_result result_;
};

}  // namespace tarragon::policy

#endif  // TARRAGON_TESTS_POLICY_FLEET_COMPARISON_H_
