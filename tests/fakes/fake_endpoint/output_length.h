#ifndef TARRAGON_FAKES_FAKE_ENDPOINT_OUTPUT_LENGTH_H_
#define TARRAGON_FAKES_FAKE_ENDPOINT_OUTPUT_LENGTH_H_

#include <cstdint>
#include <string_view>

namespace tarragon::fakes {

/**
 * Length of the output without `max_tokens`: N for a prompt that contains `[len=N]`, otherwise
 * drawn from a log-normal distribution (median 60, 1% above 2,000) that is seeded with the prompt,
 * so that each engine draws the same length.
 * @return number of tokens, from 1 to 50,000.
 */
std::uint32_t OutputLength(std::string_view prompt);

}  // namespace tarragon::fakes

#endif  // TARRAGON_FAKES_FAKE_ENDPOINT_OUTPUT_LENGTH_H_
