#ifndef TARRAGON_ROUTING_SOUND_SILENCE_H_
#define TARRAGON_ROUTING_SOUND_SILENCE_H_

#include <chrono>

namespace tarragon::routing {

/**
 * Longest time for which an endpoint may send nothing, at any moment of its work, and still be
 * sound. The platform's operators state "a second or so" (docs/platform.md).
 */
inline constexpr std::chrono::milliseconds kLongestSoundSilence{1500};

}  // namespace tarragon::routing

#endif  // TARRAGON_ROUTING_SOUND_SILENCE_H_
