#ifndef TARRAGON_ROUTING_SOUND_SILENCE_H_
#define TARRAGON_ROUTING_SOUND_SILENCE_H_

#include <chrono>

namespace tarragon::routing {

/**
 * Longest time for which an endpoint may send nothing, at any moment of its work, and still be
 * sound. The platform's operators state "a second or so" (docs/platform.md).
 */
inline constexpr std::chrono::milliseconds kLongestSoundSilence{1500};

/**
 * Shortest time without an event that counts as a silence rather than as a slow pace. The longest
 * pause between events in the users' site files is 180 ms.
 */
inline constexpr std::chrono::milliseconds kShortestSilence{500};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SOUND_SILENCE_H_
