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

enum class outcome : std::uint8_t {
  /** Whole, verified, verdict `ran`. */
  kOk,
  /** Verdict `not-run`. */
  kNotRun,
  /** The answer says `may-have-run`. */
  kMayHaveRun,
  /** No answer, or an answer without a verdict, after all resumes. */
  kLost,
  /** Tokens out of order or of two generations, a part shown as whole, or a wrong text. */
  kWrong,
  /** Left by the caller when the run ended. */
  kAbandoned,
};

/** What one caller observed. Times are relative to the time the request was due. */
struct call_result {
  planned_request request;
  outcome end = outcome::kLost;
  int status = 0;
  std::string detail;
  /** Time between the due time and the actual start; caused by the generator itself. */
  offset start_delay{0};
  std::optional<offset> first_token;
  offset whole{0};
  std::vector<offset> gaps;
  std::uint32_t resumes = 0;
  std::uint32_t restarts = 0;
};

/** Names that a user's document gives to the four kinds of work. */
struct user_names {
  std::string model;
  std::string read_path;
  std::string once_path;
  std::string short_class;
  std::string long_class;
  std::vector<std::string> accounts;

  /** @return the names of `lanhai` or `dobrescu`; empty for another user. */
  static std::optional<user_names> Make(const std::string& user);
};

struct caller_options {
  user_names names;
  /** `ip:port` of each entry. */
  std::vector<std::string> entries;
  /** Distinguishes the requests of this run from those of other runs against the same stack. */
  std::string run;
  /** `Deadline-Ms` of each kind; zero leaves it to the class. */
  std::chrono::milliseconds deadlines[kWorkKinds] = {};
  std::chrono::milliseconds silence_limit{5000};
  std::chrono::milliseconds resume_pause{100};
  std::uint32_t max_resumes = 8;
};

/** Sends one request, resumes it where needed, and checks the answer. Safe from any thread. */
class load_caller final {
 public:
  explicit load_caller(caller_options options) : options_(std::move(options)) {}

  /** @param due when the request was to be sent. */
  call_result Call(const planned_request& request, std::chrono::steady_clock::time_point due) const;

  /** Makes all open streams end as abandoned with their next byte. */
  void Abandon() { abandoned_ = true; }

  /** @return prompt of a generation, unique in the run. */
  std::string Prompt(const planned_request& request) const;
  /** @return path of a plain call below its service, unique in the run. */
  std::string ServicePath(const planned_request& request) const;

 private:
  const caller_options options_;
  std::atomic<bool> abandoned_ = false;
};

std::string_view ToString(outcome end);

}  // namespace tarragon::load

#endif  // TARRAGON_TOOLS_TARRAGON_LOAD_LOAD_CALLER_H_
