#include "tarragon/routing/drain_policy.h"

namespace tarragon::routing {

namespace {

/** Decode step with some other generations in flight; the data sheets give 7 ms and more. */
constexpr std::chrono::duration<double, std::milli> kDecodeTimePerToken{11};
/** Prefill speed in the data sheets, shared with other prompts. */
constexpr std::chrono::duration<double, std::milli> kPrefillTimePerToken{0.15};
/** Connecting, queueing and the first decode step. */
constexpr std::chrono::milliseconds kStartLatency{300};

}  // namespace

std::chrono::milliseconds MaxGenerationDuration(const work_size& size) {
  const auto work =
      size.prompt_tokens * kPrefillTimePerToken + size.max_output_tokens * kDecodeTimePerToken;
  return kStartLatency + std::chrono::ceil<std::chrono::milliseconds>(work);
}

bool MayAcceptWhileDraining(const route& rule,
                            const work_size& size,
                            std::chrono::milliseconds remaining_time) {
  if (rule.kind == repeat_kind::kStream) {
    return MaxGenerationDuration(size) < remaining_time;
  }
  return rule.timeout < remaining_time;
}

}  // namespace tarragon::routing
