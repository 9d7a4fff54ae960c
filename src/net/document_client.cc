#include "tarragon/net/document_client.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "peer_endpoint.h"
#include "tarragon/wire/document_message.h"

namespace tarragon::net {

namespace {

/** Connect, send, read header, read the rest: each step starts the next one. */
class exchange final {
 public:
  exchange(asio::io_context& context, std::string request)
      : socket_(context), frame_(std::move(request)) {}

  void Start(const asio::ip::tcp::endpoint& peer) {
    socket_.async_connect(peer, [this](const asio::error_code& fault) {
      if (!fault) {
        Write();
      }
    });
  }
  bool IsDone() const { return done_; }
  const std::string& Frame() const { return frame_; }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(frame_),
                      [this](const asio::error_code& fault, std::size_t) {
                        if (!fault) {
                          ReadHeader();
                        }
                      });
  }
  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [this](const asio::error_code& fault, std::size_t) {
                       if (!fault) {
                         ReadFrame();
                       }
                     });
  }
  void ReadFrame() {
    const auto length = wire::FrameLength(std::string_view(header_.data(), header_.size()));
    if (!length) {
      return;
    }
    frame_.resize(*length);
    asio::async_read(socket_, asio::buffer(frame_),
                     [this](const asio::error_code& fault, std::size_t) { done_ = !fault; });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, wire::kFrameHeaderSize> header_{};
  std::string frame_;
  bool done_ = false;
};

wire::document_request ToRequest(const document::document_ptr& known) {
  wire::document_request request;
  if (known != nullptr) {
    request.newer_than = known->version();
    std::ranges::transform(known->sections(), std::back_inserter(request.known),
                           [](const document::section& entry) {
                             return wire::known_section{entry.name, entry.version};
                           });
  }
  return request;
}

/** Adds the sections that the peer left out. @return false if one of them is not known here. */
bool AddUnchanged(const std::vector<std::string>& names,
                  const document::document_ptr& known,
                  std::vector<document::section>& sections) {
  return std::ranges::all_of(names, [&](const std::string& name) {
    const document::section* entry = known == nullptr ? nullptr : known->FindSection(name);
    if (entry != nullptr) {
      sections.push_back(*entry);
    }
    return entry != nullptr;
  });
}

}  // namespace

document::document_ptr FetchDocument(const wire::peer_address& peer,
                                     const std::string& key,
                                     const document::document_ptr& known,
                                     std::chrono::milliseconds timeout) {
  asio::io_context context(1);
  const wire::document_request request = ToRequest(known);
  exchange transfer(context, wire::EncodeFrame(request, key));
  transfer.Start({ToIp(peer), peer.port});
  context.run_for(timeout);
  if (!transfer.IsDone()) {
    return nullptr;
  }
  std::optional<wire::document_response> answer = wire::DecodeResponse(transfer.Frame(), key);
  if (!answer || answer->version <= request.newer_than) {
    return nullptr;
  }
  std::vector<document::section> sections;
  sections.reserve(answer->sections.size());
  for (wire::wire_section& entry : answer->sections) {
    sections.push_back({.name = std::move(entry.name),
                        .version = entry.version,
                        .edit_id = std::move(entry.edit_id),
                        .author = std::move(entry.author),
                        .text = std::move(entry.text)});
  }
  if (!AddUnchanged(answer->unchanged, known, sections)) {
    return nullptr;
  }
  return document::operating_document::Make(answer->version, std::move(sections), nullptr);
}

}  // namespace tarragon::net
