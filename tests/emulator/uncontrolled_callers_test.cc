#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include "emulator/caller_crowd.h"
#include "emulator/fleet_emulator.h"
#include "emulator/process_usage.h"

namespace tarragon::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
/** Targets for the smallest VM, which has 88 MB. */
constexpr std::size_t kMaxResident = 64 * kMegabyte;
constexpr std::size_t kMaxResidentAfterwards = 16 * kMegabyte;
/** Descriptors that the platform reserves for files. */
constexpr std::size_t kReservedDescriptors = 200;
/** Time for the crowd's bytes to arrive; connections that the gateway does not read never finish.
 */
constexpr seconds kSendTime{6};
/** Time in which the endpoints serve what the crowd has sent. */
constexpr seconds kServeTime{3};
constexpr seconds kReturnTimeout{20};

std::string RepeatLines(std::string_view line, std::size_t bytes) {
  std::string lines;
  while (lines.size() + line.size() <= bytes) {
    lines += line;
  }
  return lines;
}

/** @return the head of a request without the empty line at its end. */
std::string MakeHead(std::string_view method_and_path) {
  return fmt::format(
      "{} HTTP/1.1\r\nHost: fleet.example\r\nAuthorization: Token key\r\nDeadline-Ms: 20000\r\n",
      method_and_path);
}

/** Each case plays one crowd against a gateway whose settings name the smallest VM's memory. */
class uncontrolled_callers_test : public testing::Test {
 protected:
  static constexpr std::size_t kDescriptors = 4100;

  explicit uncontrolled_callers_test(std::size_t descriptors = kDescriptors)
      : fleet(Options(descriptors)), max_sockets(descriptors - kReservedDescriptors) {}

  static fleet_options Options(std::size_t descriptors) {
    fleet_options options;
    options.gateways = 1;
    options.engines = 1;
    options.plain_endpoints = 1;
    options.further_settings =
        fmt::format("[limits]\nmemory_mb = 88\ndescriptors = {}\n", descriptors);
    return options;
  }

  void SetUp() override {
    ASSERT_TRUE(fleet.WaitUntilServing());
    resident_at_start = ResidentBytes(process());
  }

  pid_t process() { return fleet.gateway(0).process(); }

  /** Plays a crowd, and checks that memory and descriptors stay in bounds and come back. */
  void Play(std::size_t connections, const std::string& bytes) {
    caller_crowd crowd(fleet.loop(), fleet.gateway(0).callers_address(), connections);
    crowd.Send(bytes);
    std::size_t sockets = 0;
    fleet.RunUntil(
        [&] {
          sockets = std::max(sockets, CountSockets(process()));
          return crowd.is_done();
        },
        kSendTime);
    fleet.RunFor(kServeTime);
    EXPECT_FALSE(fleet.gateway(0).HasExited());
    EXPECT_LE(PeakResidentBytes(process()), kMaxResident);
    EXPECT_LE(std::max(sockets, CountSockets(process())), max_sockets);
    crowd.Leave();
    ExpectOrdinaryRequestIsAnswered();
    ExpectMemoryIsReturned();
  }

  void ExpectOrdinaryRequestIsAnswered() { EXPECT_TRUE(fleet.WaitUntilServing()); }

  void ExpectMemoryIsReturned() {
    const auto is_returned = [&] {
      return ResidentBytes(process()) <= resident_at_start + kMaxResidentAfterwards;
    };
    EXPECT_TRUE(fleet.RunUntil(is_returned, kReturnTimeout))
        << ResidentBytes(process()) << " bytes are resident, " << resident_at_start << " at start";
    EXPECT_FALSE(fleet.gateway(0).HasExited());
  }

  fleet_emulator fleet;
  std::size_t max_sockets;
  std::size_t resident_at_start = 0;
};

// Guards against heads whose lines cost far more memory than the bytes that are counted.
TEST_F(uncontrolled_callers_test, HeadsOfShortLinesWithoutEnd) {
  Play(200, MakeHead("GET /read/1") + RepeatLines("a:\r\n", 60'000));
}

// Guards against complete requests of legal size whose short or odd lines cost far more than their
// bytes while the requests are served.
TEST_F(uncontrolled_callers_test, LegalHeadsOfShortAndOddLines) {
  constexpr std::size_t kLineBytes = 15'800;
  const std::string head = MakeHead("POST /stream-report/1") +
                           "Event-Count: 2000\r\nToken-Usage: 3000,2000\r\nContent-Length: 0\r\n";
  const std::string lines =
      RepeatLines("a:\r\n", kLineBytes / 2) + RepeatLines("!#$%&'*+-.^_`|~: \r\n", kLineBytes / 2);
  Play(500, head + lines + "\r\n");
}

// Guards against the same with heads that do not end.
TEST_F(uncontrolled_callers_test, LegalHeadsOfShortLinesWithoutEnd) {
  Play(500, MakeHead("GET /read/1") + RepeatLines("a:\r\n", 15'800));
}

// Guards against half-sent bodies that together fill the memory of the VM.
TEST_F(uncontrolled_callers_test, HalfSentBodies) {
  Play(120, MakeHead("POST /commit/1") + "Content-Length: 2000000\r\n\r\n" +
                std::string(kMegabyte, 'x'));
}

// Guards against responses that pile up for callers that send one request after the other and read
// nothing.
TEST_F(uncontrolled_callers_test, PipelinedRequestsWithoutReading) {
  constexpr std::size_t kRequests = 120;
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) {
    requests += MakeHead("GET /read/1") + "Attempt-Id: " + std::to_string(i) +
                "\r\nExtra-Bytes: 60000\r\n\r\n";
  }
  Play(40, requests);
}

/** The VM allows so few descriptors that a small crowd could take them all. */
class few_descriptors_test : public uncontrolled_callers_test {
 protected:
  few_descriptors_test() : uncontrolled_callers_test(kReservedDescriptors + 200) {}
};

// Guards against silent connections that take all descriptors of the VM.
TEST_F(few_descriptors_test, SilentConnections) {
  Play(300, "");
}

}  // namespace
}  // namespace tarragon::emulator
