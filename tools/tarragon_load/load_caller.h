#ifndef TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_CALLER_H_
#define TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_CALLER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load_plan.h"

namespace tarragon::load {

enum class call_outcome : std::uint8_t {
  /** The answer was complete and correct, with the verdict `ran`. */
  kOk,
  /** The verdict was `not-run`. */
  kNotRun,
  /** The verdict was `may-have-run`. */
  kMayHaveRun,
  /** There was no answer, or none with a verdict, after all resume attempts. */
  kLost,
  /** Tokens were out of order or of two generations, or the answer was incomplete or incorrect. */
  kWrong,
  /** The caller closed the stream at the end of the run. */
  kAbandoned,
};

/** Result of one request. Times are relative to the time at which the request was due. */
struct call_result {
  planned_request request;
  call_outcome outcome = call_outcome::kLost;
  int status = 0;
  std::string detail;
  /** Time between the due time and the actual start; caused by the load generator itself. */
  offset start_delay{0};
  std::optional<offset> time_to_first_token;
  offset total_time{0};
  std::vector<offset> inter_token_gaps;
  std::uint32_t resumes = 0;
  std::uint32_t restarts = 0;
};

/** Names that a sample document uses for the model, services, classes and accounts. */
struct document_names {
  std::string model;
  std::string read_path;
  std::string unrepeatable_path;
  std::string short_class;
  std::string long_class;
  std::vector<std::string> accounts;

  /** @return the names in the document of `lanhai` or `dobrescu`; empty for another user. */
  static std::optional<document_names> Make(const std::string& user);
};

struct caller_options {
  document_names names;
  /** `ip:port` of each entry. */
  std::vector<std::string> entries;
  /** Name that distinguishes this run's requests from those of other runs on the same stack. */
  std::string run;
  /** `Deadline-Ms` of each kind; zero applies the default of the request class. */
  std::chrono::milliseconds deadlines[kRequestKinds] = {};
  /** An entry sends nothing while a request is queued, so this also limits the queueing time. */
  std::chrono::milliseconds read_timeout{120000};
  std::chrono::milliseconds resume_delay{100};
  std::uint32_t max_resumes = 8;
};

/** Sends requests, resumes interrupted streams and checks the answers. Thread-safe. */
class load_caller final {
 public:
  explicit load_caller(caller_options options) : options_(std::move(options)) {}

  /** @param due time at which the request was scheduled to be sent. */
  call_result Call(const planned_request& request, std::chrono::steady_clock::time_point due) const;

  /** Ends each open stream as abandoned when its next byte arrives. */
  void Abandon() { abandoned_ = true; }

  /** @return the prompt of a generation, unique within the run. */
  std::string Prompt(const planned_request& request) const;
  /** @return the path of a plain call relative to its service, unique within the run. */
  std::string ServicePath(const planned_request& request) const;

 private:
  const caller_options options_;
  std::atomic<bool> abandoned_ = false;
};

std::string_view ToString(call_outcome outcome);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_CALLER_H_
