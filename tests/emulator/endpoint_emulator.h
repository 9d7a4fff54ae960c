#ifndef TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_
#define TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "emulator/execution_record.h"
#include "emulator/http_service.h"

namespace tarragon::emulator {

/** Shares of requests that go wrong. */
struct endpoint_faults {
  /** The request runs and its connection is reset instead of an answer. */
  double lost_answers = 0;
  /** The request is declined with the statement that it did not run. */
  double declined = 0;
  /** The request runs and ends with status 500. */
  double errors = 0;
};

struct endpoint_options {
  std::string id;
  /** Time between two events of a stream. */
  std::chrono::milliseconds step{5};
  /** Time from a plain call to its answer. */
  std::chrono::milliseconds start{10};
  /** Time that work takes relative to the usual, as told to callers. */
  double slowness = 1;
  endpoint_faults faults;
  std::uint64_t seed = 1;
};

/**
 * One model engine or one instance of a plain service, as the platform's pages describe them. A
 * request whose path begins with `/stream` is a generation of `Event-Count` events; others are
 * plain calls. Copies of a generation's memory are the number of its events.
 */
class endpoint_emulator final {
 public:
  /** Engines of one fleet by address, so that they can copy memory to each other. */
  using directory = std::map<std::string, endpoint_emulator*>;

  endpoint_emulator(asio::io_context& loop,
                    endpoint_options options,
                    execution_record& record,
                    directory& engines);
  ~endpoint_emulator();

  const std::string& id() const { return options_.id; }
  std::string address() const { return service_.address(); }

  /** Ends at once: all connections are reset, and nothing is known any more. */
  void Crash();

 private:
  struct generation {
    std::string request;
    std::uint64_t events_made = 0;
    std::uint64_t events_total = 0;
    std::string backup_address;
    responder_ptr answer;
    /** The head of the answer has been sent. */
    bool began = false;
  };

  void Handle(const incoming_request& request, const responder_ptr& answer);
  void StartCall(const incoming_request& request, const responder_ptr& answer);
  void StartGeneration(const incoming_request& request, const responder_ptr& answer);
  void CopyMemory(const incoming_request& request, const responder_ptr& answer);
  void Decline(const incoming_request& request, const responder_ptr& answer, int status) const;
  void End(const generation& which);
  void Step();
  bool Draw(double share);
  std::vector<http::header> AnswerHeaders(const std::string& request) const;

  asio::io_context& loop_;
  endpoint_options options_;
  execution_record& record_;
  directory& engines_;
  std::mt19937_64 random_;
  std::list<generation> running_;
  /** Events of generations whose memory other engines have copied here, by handle. */
  std::map<std::string, std::uint64_t> copies_;
  asio::steady_timer timer_;
  http_service service_;
};

}  // namespace tarragon::emulator

#endif  // TARRAGON_TESTS_EMULATOR_ENDPOINT_EMULATOR_H_
