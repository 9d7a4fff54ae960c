#include "tarragon/routing/endpoint_paths.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace tarragon::routing {
namespace {

using std::chrono::milliseconds;

/** An attempt that ends at `at`; it fails if it names an endpoint. */
struct step {
  milliseconds at;
  std::string failed;
  /** Start of an attempt that succeeds. */
  milliseconds started{0};
};

struct path_case {
  std::string name;
  std::vector<step> steps;
  bool is_cut = false;
  std::size_t known_endpoints = 5;
};

class endpoint_paths_test : public testing::TestWithParam<path_case> {};

// Guards against endpoints that have ended and are taken for a lost path, and the other way round.
TEST_P(endpoint_paths_test, TellsALostPathFromEndpointsThatHaveEnded) {
  const auto time = [](milliseconds at) { return time_point(std::chrono::seconds(100) + at); };
  endpoint_paths paths;
  for (const step& next : GetParam().steps) {
    if (next.failed.empty()) {
      paths.OnConnected(time(next.started));
    } else {
      paths.OnConnectFailed(time(next.at), next.failed, GetParam().known_endpoints);
    }
    paths.Validate();
  }
  EXPECT_EQ(paths.is_cut(), GetParam().is_cut);
}

constexpr milliseconds kLater{100};

INSTANTIATE_TEST_SUITE_P(
    Paths,
    endpoint_paths_test,
    testing::Values(
        path_case{"OneEndpoint", {{milliseconds(0), "a"}, {kLater, "a"}}, false},
        path_case{"TwoEndpoints", {{milliseconds(0), "a"}, {kLater, "b"}}, true},
        path_case{"OnlyEndpoint", {{milliseconds(0), "a"}}, true, 1},
        path_case{"FarApart", {{milliseconds(0), "a"}, {milliseconds(5001), "b"}}, false},
        path_case{"SuccessBetween",
                  {{milliseconds(0), "a"}, {kLater, "", kLater}, {2 * kLater, "b"}},
                  false},
        path_case{"OldSuccessBetween",
                  {{kLater, "a"}, {2 * kLater, "", milliseconds(0)}, {3 * kLater, "b"}},
                  true},
        path_case{"SuccessAfterwards",
                  {{milliseconds(0), "a"}, {kLater, "b"}, {3 * kLater, "", 2 * kLater}},
                  false},
        path_case{"OldSuccessAfterwards",
                  {{kLater, "a"}, {2 * kLater, "b"}, {3 * kLater, "", milliseconds(0)}},
                  true}),
    [](const auto& instance) { return instance.param.name; });

}  // namespace
}  // namespace tarragon::routing
