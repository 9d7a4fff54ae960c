#ifndef TARRAGON_NET_DOCUMENT_CLIENT_H_
#define TARRAGON_NET_DOCUMENT_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "tarragon/document/operating_document.h"
#include "tarragon/wire/member_record.h"

namespace tarragon::net {

/**
 * Fetches the document from a peer. Blocks the caller.
 * @param newer_than version that the caller has.
 * @param timeout longest time for the whole exchange.
 * @return null if the peer cannot be reached, has nothing newer or sent an invalid document.
 */
document::document_ptr FetchDocument(const wire::peer_address& peer,
                                     const std::string& key,
                                     std::uint64_t newer_than,
                                     std::chrono::milliseconds timeout);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_DOCUMENT_CLIENT_H_
