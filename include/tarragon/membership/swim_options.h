#ifndef TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_
#define TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tarragon/wire/member_record.h"

namespace tarragon::membership {

struct swim_options {
  std::string name;
  wire::peer_address gossip;
  std::uint16_t document_port = 0;
  /** Wall-clock milliseconds at the start of the process. */
  std::uint64_t incarnation = 0;
  /** Addresses to contact while they are not known as live members. */
  std::vector<wire::peer_address> seeds;
  /** Authenticates datagrams; the same on all members. */
  std::string key;

  std::chrono::milliseconds period{1000};
  /** Time for a direct ack before others are asked to probe; the rest of the period is theirs. */
  std::chrono::milliseconds ack_timeout{400};
  int indirect_probes = 3;
  /** Least suspicion time in periods, times log10 of the member count. */
  double suspicion_factor = 5;
  /** Suspicion time without any confirmation, relative to the least one (Lifeguard). */
  double max_suspicion_ratio = 6;
  /** Confirmations that bring the suspicion time to its least value. */
  int confirmations = 3;
  int max_local_health = 8;
  /** Sends of one update, times log10 of the member count plus one. */
  int retransmit_factor = 4;
  /** Members that a new document version is announced to, in each round. */
  int announce_fanout = 3;
  /** A dead member or seed is probed once in this many periods, so that partitions merge. */
  int rejoin_every = 5;
  /** Dead members are forgotten after this time; longer than the regions lose contact. */
  std::chrono::minutes forget_after{30};
};

}  // namespace tarragon::membership

#endif  // TARRAGON_MEMBERSHIP_SWIM_OPTIONS_H_
