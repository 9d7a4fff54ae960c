#ifndef TARRAGON_BASE_METRIC_NAMES_H_
#define TARRAGON_BASE_METRIC_NAMES_H_

#include <string_view>

namespace tarragon {

// Metrics that the entries expose and tarragon-burn reads. Their label `class` is a request class
// of the document; the histograms also have `kind`, which is `call` or `generation`.

/** Counter of ended requests by `class` and `outcome`. */
inline constexpr std::string_view kOutcomesMetric = "tarragon_class_requests_total";
/** Time until the first token of a stream is handed to the caller's connection. */
inline constexpr std::string_view kFirstTokenMetric = "tarragon_first_token_seconds";
/** Time between two tokens of a stream, as handed to the caller's connection. */
inline constexpr std::string_view kBetweenTokensMetric = "tarragon_between_tokens_seconds";
/** Time until the end of a completed answer. */
inline constexpr std::string_view kAnswerMetric = "tarragon_answer_seconds";
/** Time until a refusal for want of capacity or time. */
inline constexpr std::string_view kRefusalMetric = "tarragon_refusal_seconds";
/** Gauge of the wall-clock start of the process, in milliseconds since 1970. */
inline constexpr std::string_view kProcessStartMetric = "tarragon_process_start_milliseconds";

}  // namespace tarragon

#endif  // TARRAGON_BASE_METRIC_NAMES_H_
