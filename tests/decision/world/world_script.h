#ifndef TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_
#define TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <random>
#include <vector>

namespace tarragon::decision {

enum class caller_wish : std::uint8_t { kHold, kRestart, kEnd, kUrgent, kRead, kUnrepeatable };

/** One request and what its caller does. */
struct planned_request {
  std::chrono::milliseconds at{0};
  caller_wish wish = caller_wish::kRestart;
  std::uint32_t tokens = 1;
  std::uint32_t account = 0;
  /** Callers with the same key ask for the same unrepeatable call. */
  std::uint32_t key = 0;
  bool whole_answer = false;
  /** Each endpoint that runs the request dies. */
  bool crashes = false;
  std::chrono::milliseconds deadline{0};
  /** Time after which the caller disconnects; 0 if it stays. */
  std::chrono::milliseconds leaves_after{0};
  std::chrono::milliseconds returns_after{0};
  bool returns_twice = false;

  static planned_request FromBits(std::uint64_t bits);
};

enum class fault_kind : std::uint8_t {
  kEndpointDies,
  kEndpointFreezes,
  kConnectionsSilent,
  kEndpointUnreachable,
  kEndpointLeaves,
  kEndpointDeclines,
  kEndpointSlow,
  kPlatformOutage,
  kPlatformLosesAnswers,
  kEntryDies,
  kEntryDrains,
  kEventsDisordered,
  kGossipLost,
  kDocumentChanges,
  kCount,
};

struct planned_fault {
  std::chrono::milliseconds at{0};
  fault_kind kind = fault_kind::kEndpointDies;
  std::uint32_t target = 0;
  std::chrono::milliseconds lasts{0};

  static planned_fault FromBits(std::uint64_t bits);
};

/** Everything that happens in one run. */
struct world_script {
  std::uint64_t seed = 1;
  std::uint32_t entries = 2;
  std::vector<planned_request> requests;
  std::vector<planned_fault> faults;

  /** @return a script of random size, for long runs without shrinking. */
  static world_script Random(std::mt19937_64& random);
};

std::ostream& operator<<(std::ostream& out, const planned_request& request);
std::ostream& operator<<(std::ostream& out, const planned_fault& fault);

}  // namespace tarragon::decision

#endif  // TARRAGON_DECISION_WORLD_WORLD_SCRIPT_H_
