#ifndef TARRAGON_BASE_METRIC_NAMES_H_
#define TARRAGON_BASE_METRIC_NAMES_H_

#include <string_view>

namespace tarragon {

// Metrics that the entries expose and tarragon-burn reads. The label `class` is a request class of
// the document. The histograms also have the label `kind`, which is `call` or `generation`.

/** Counter of finished requests by `class` and `outcome`. */
inline constexpr std::string_view kOutcomesMetric = "tarragon_class_requests_total";
/** Time to first token, measured when the token is passed to the caller's connection. */
inline constexpr std::string_view kFirstTokenMetric = "tarragon_first_token_seconds";
/** Inter-token latency, measured when tokens are passed to the caller's connection. */
inline constexpr std::string_view kBetweenTokensMetric = "tarragon_between_tokens_seconds";
/** Time until the end of a completed response. */
inline constexpr std::string_view kAnswerMetric = "tarragon_answer_seconds";
/** Time until a request is refused for lack of capacity or of time before its deadline. */
inline constexpr std::string_view kRefusalMetric = "tarragon_refusal_seconds";
/** Gauge with the wall-clock start time of the process, in milliseconds since 1970. */
inline constexpr std::string_view kProcessStartMetric = "tarragon_process_start_milliseconds";

}  // namespace tarragon

#endif  // TARRAGON_BASE_METRIC_NAMES_H_
