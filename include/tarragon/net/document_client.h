#ifndef TARRAGON_NET_DOCUMENT_CLIENT_H_
#define TARRAGON_NET_DOCUMENT_CLIENT_H_

#include <chrono>
#include <string>

#include "tarragon/document/operating_document.h"
#include "tarragon/wire/member_record.h"

namespace tarragon::net {

/**
 * Fetches a newer document from a peer. Sections that the caller has are not sent again. Blocks.
 * @param known document that the caller has; may be null.
 * @param timeout limit for the whole exchange.
 * @return null if the peer is unreachable, has no newer version or sent an invalid document.
 */
document::document_ptr FetchDocument(const wire::peer_address& peer,
                                     const std::string& key,
                                     const document::document_ptr& known,
                                     std::chrono::milliseconds timeout);

}  // namespace tarragon::net

#endif  // TARRAGON_NET_DOCUMENT_CLIENT_H_
