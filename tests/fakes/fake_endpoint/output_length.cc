#include "fakes/fake_endpoint/output_length.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

#include "tarragon/base/hash.h"

namespace tarragon::fakes {

namespace {

constexpr std::uint32_t kMaxTokens = 50'000;
constexpr double kMedianTokens = 60;
// exp(2.33 * 1.5) = 33: the 99th percentile is about 33 times the median.
constexpr double kSigma = 1.5;
constexpr std::string_view kLengthMarker = "[len=";

}  // namespace

std::uint32_t OutputLength(std::string_view prompt) {
  const std::size_t marker = prompt.find(kLengthMarker);
  if (marker != std::string_view::npos) {
    std::uint32_t length = 0;
    const char* start = prompt.data() + marker + kLengthMarker.size();
    const auto parsed = std::from_chars(start, prompt.data() + prompt.size(), length);
    if (parsed.ec == std::errc()) {
      return std::clamp(length, 1U, kMaxTokens);
    }
  }
  std::mt19937_64 random(Hash64(prompt));
  const double drawn = std::lognormal_distribution<double>(std::log(kMedianTokens), kSigma)(random);
  return static_cast<std::uint32_t>(std::clamp(drawn, 1.0, double{kMaxTokens}));
}

}  // namespace tarragon::fakes
