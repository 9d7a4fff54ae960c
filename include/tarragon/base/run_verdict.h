#ifndef TARRAGON_BASE_RUN_VERDICT_H_
#define TARRAGON_BASE_RUN_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragon {

/** States whether a request, or one attempt of it, may have run at an endpoint. */
enum class run_verdict : std::uint8_t {
  /** The request can no longer reach an endpoint, or the endpoint stated that it did not run. */
  kNotRun,
  /** The request was sent to an endpoint and its outcome is unknown. */
  kMayHaveRun,
  /** The endpoint stated that the request ran. */
  kRan,
};

/** @return the value of the `Run-Verdict` header: `not-run`, `may-have-run` or `ran`. */
std::string_view ToString(run_verdict verdict);

/** @return the verdict for the value of a `Run-Verdict` header; empty for an unknown value. */
std::optional<run_verdict> ParseRunVerdict(std::string_view text);

/** @return the verdict of a request with two attempts: the greater of their verdicts. */
run_verdict Combine(run_verdict a, run_verdict b);

}  // namespace tarragon

#endif  // TARRAGON_BASE_RUN_VERDICT_H_
