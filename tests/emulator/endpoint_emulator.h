#ifndef TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_
#define TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "emulator/execution_record.h"
#include "emulator/http_service.h"

namespace tarragon::emulator {

/** Probability of each fault for one request. */
struct endpoint_faults {
  /** The request runs, but its connection is reset instead of a response. */
  double lost_responses = 0;
  /** The request is declined, and the response states that it did not run. */
  double declined = 0;
  /** The request runs and ends with status 500. */
  double errors = 0;
};

struct endpoint_options {
  std::string id;
  std::string failure_domain;
  /** Part of each event, so that a stream from two versions shows. */
  std::string software_version;
  /** Time between two events of a stream. */
  std::chrono::milliseconds event_interval{5};
  /** Time from a plain call to its response. */
  std::chrono::milliseconds call_duration{10};
  /** Generations that run at once; further ones wait. */
  std::size_t slots = 24;
  /** Processing time relative to the normal one, as reported to the gateways. */
  double reported_slowdown = 1;
  endpoint_faults faults;
  /** Streams have neither a length nor chunks, and end with their connection. */
  bool has_unframed_streams = false;
  /** The engine crashes once it has begun to answer a request with this prompt part. */
  std::string crashing_part;
  std::uint64_t seed = 1;
};

/**
 * One model engine or one instance of a plain service, as the platform documents them. A request
 * whose path begins with `/stream` is a generation of `Event-Count` events; others are plain calls.
 * A copy of the KV cache of a generation is represented by the number of its events.
 */
class endpoint_emulator final {
 public:
  /** Engines of one fleet by address, so that they can copy KV caches to each other. */
  using directory = std::map<std::string, endpoint_emulator*>;

  endpoint_emulator(asio::io_context& loop,
                    endpoint_options options,
                    execution_record& record,
                    directory& engines);
  ~endpoint_emulator();

  const std::string& id() const { return options_.id; }
  const std::string& software_version() const { return options_.software_version; }
  const std::string& failure_domain() const { return options_.failure_domain; }
  std::string address() const { return service_.address(); }

  /** Adds an address at which only one gateway reaches the endpoint. */
  void AddEntrance();
  std::string EntranceAddress(std::size_t entrance) const {
    return entrances_.at(entrance)->address();
  }
  /** Resets the connections of that gateway and refuses new ones, or accepts them again. */
  void SetEntranceOpen(std::size_t entrance, bool is_open);

  /** @param per_second rate that the endpoint names in its answers; empty for none. */
  void SetRateLimit(std::optional<double> per_second) { rate_limit_ = per_second; }

  /** All answers say that the endpoint leaves. */
  void SayLeaving() { says_leaving_ = true; }
  /** Turns all requests away and states how long it wants none; empty to serve again. */
  void TurnAway(std::optional<std::chrono::milliseconds> pause) { pause_ = pause; }
  /** Becomes a new incarnation at the same address, which does not leave. */
  void Reincarnate(const std::string& id);

  /** Sends nothing for this time, and then goes on; it still reads requests. */
  void FallSilent(std::chrono::milliseconds time);

  /** Stops at once: resets all connections and loses all generations and copies. */
  void Crash();
  /** Called when a request with the crashing part has crashed the engine. */
  std::function<void()> on_crash;

 private:
  struct generation {
    std::string request;
    std::uint64_t events_made = 0;
    std::uint64_t events_total = 0;
    std::string backup_address;
    responder_ptr response;
    /** The head of the response has been sent. */
    bool head_sent = false;
    /** The engine crashes after the head of the response. */
    bool is_crashing = false;
  };

  void Handle(const incoming_request& request, const responder_ptr& response);
  /** Handles a request of a caller that is meant for this endpoint. */
  void HandleRequest(const incoming_request& request, const responder_ptr& response);
  void HandleCall(const incoming_request& request, const responder_ptr& response);
  void HandleGeneration(const incoming_request& request, const responder_ptr& response);
  void CopyKvCache(const incoming_request& request, const responder_ptr& response);
  void Decline(const incoming_request& request, const responder_ptr& response, int status) const;
  void RecordRunEnd(const generation& run);
  void ProduceEvents();
  bool is_silent() const { return std::chrono::steady_clock::now() < silent_until_; }
  /** Answers a plain call once its time has passed and the endpoint is not silent. */
  void AnswerCallAfter(std::chrono::milliseconds delay,
                       const incoming_request& request,
                       const responder_ptr& response);
  /** Lets the gateways read the head of a response, and then crashes. */
  void CrashSoon();
  bool ChooseWithProbability(double probability);
  std::vector<http::header> ResponseHeaders(const std::string& request) const;

  asio::io_context& loop_;
  endpoint_options options_;
  execution_record& record_;
  directory& engines_;
  std::optional<double> rate_limit_;
  std::optional<std::chrono::milliseconds> pause_;
  bool says_leaving_ = false;
  std::chrono::steady_clock::time_point silent_until_;
  std::mt19937_64 random_;
  std::list<generation> running_;
  /** Event counts of the KV caches that other engines have copied here, by handle. */
  std::map<std::string, std::uint64_t> kv_copies_;
  asio::steady_timer timer_;
  http_service service_;
  std::vector<std::unique_ptr<http_service>> entrances_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_
