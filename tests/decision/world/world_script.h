#ifndef TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_
#define TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <random>
#include <vector>

namespace tarragon::decision {

/** Class of a generation (the first four), or repeatability of a plain service call. */
enum class request_profile : std::uint8_t { kHold, kRestart, kEnd, kUrgent, kRead, kUnrepeatable };

/** One request, and when its caller disconnects and reconnects. */
struct planned_request {
  std::chrono::milliseconds start{0};
  request_profile profile = request_profile::kRestart;
  std::uint32_t tokens = 1;
  std::uint32_t account = 0;
  /** Idempotency key: callers with the same key request the same unrepeatable call. */
  std::uint32_t key = 0;
  bool buffered_response = false;
  /** Each endpoint that runs the request crashes. */
  bool crashes_endpoint = false;
  std::chrono::milliseconds deadline{0};
  /** Time after which the caller disconnects; 0 if it stays. */
  std::chrono::milliseconds disconnects_after{0};
  std::chrono::milliseconds reconnects_after{0};
  bool reconnects_twice = false;

  static planned_request FromBits(std::uint64_t bits);
};

enum class fault_kind : std::uint8_t {
  kEndpointCrashes,
  kEndpointFreezes,
  kConnectionsFallSilent,
  kEndpointUnreachable,
  kEndpointLeaves,
  kEndpointDeclines,
  kEndpointSlow,
  kPlatformOutage,
  kPlatformLosesResponses,
  kEntryCrashes,
  kEntryDrains,
  kEventsUnreliable,
  kGossipLost,
  kEndpointRemoved,
  kCount,
};

struct planned_fault {
  std::chrono::milliseconds start{0};
  fault_kind kind = fault_kind::kEndpointCrashes;
  std::uint32_t target = 0;
  std::chrono::milliseconds duration{0};

  static planned_fault FromBits(std::uint64_t bits);
};

/** All requests and faults of one simulated run. */
struct world_script {
  std::uint64_t seed = 1;
  std::uint32_t entries = 2;
  std::vector<planned_request> requests;
  std::vector<planned_fault> faults;

  /** @return a script of random size, for long runs without shrinking of failing cases. */
  static world_script Random(std::mt19937_64& random);
};

std::ostream& operator<<(std::ostream& out, const planned_request& request);
std::ostream& operator<<(std::ostream& out, const planned_fault& fault);

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_
