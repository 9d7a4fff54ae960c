#ifndef TARRAGON_BASE_RUN_VERDICT_H_
#define TARRAGON_BASE_RUN_VERDICT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace tarragon {

/** Says whether a request, or one attempt at it, may have run at an endpoint. */
enum class run_verdict : std::uint8_t {
  /** No byte can reach an endpoint any more, or the endpoint said that it did not take it. */
  kNotRun,
  /** The request left for an endpoint and its outcome is unknown. */
  kMayHaveRun,
  /** The endpoint answered that it ran. */
  kRan,
};

/** @return the value of the `Run-Verdict` header: `not-run`, `may-have-run` or `ran`. */
std::string_view ToString(run_verdict verdict);

/** @return the verdict named by a `Run-Verdict` header, or empty for any other text. */
std::optional<run_verdict> ParseRunVerdict(std::string_view text);

/** @return the verdict of a request made of two attempts: the stronger claim of having run. */
run_verdict Combine(run_verdict a, run_verdict b);

}  // namespace tarragon

#endif  // TARRAGON_BASE_RUN_VERDICT_H_
