#include "tarragon/net/document_client.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "peer_address_conversion.h"
#include "tarragon/wire/document_message.h"

namespace tarragon::net {

namespace {

/** Connects, sends the request, reads the header and then the frame of the response, in a chain. */
class document_fetch final {
 public:
  document_fetch(asio::io_context& context, std::string request)
      : socket_(context), frame_(std::move(request)) {}

  void Start(const asio::ip::tcp::endpoint& peer) {
    socket_.async_connect(peer, [this](const asio::error_code& error) {
      if (!error) {
        Write();
      }
    });
  }
  bool IsDone() const { return done_; }
  const std::string& Frame() const { return frame_; }

 private:
  void Write() {
    asio::async_write(socket_, asio::buffer(frame_),
                      [this](const asio::error_code& error, std::size_t) {
                        if (!error) {
                          ReadHeader();
                        }
                      });
  }
  void ReadHeader() {
    asio::async_read(socket_, asio::buffer(header_),
                     [this](const asio::error_code& error, std::size_t) {
                       if (!error) {
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
                     [this](const asio::error_code& error, std::size_t) { done_ = !error; });
  }

  asio::ip::tcp::socket socket_;
  std::array<char, wire::kFrameHeaderSize> header_{};
  std::string frame_;
  bool done_ = false;
};

wire::document_request MakeRequest(const document::document_ptr& known) {
  wire::document_request request;
  if (known != nullptr) {
    request.newer_than = known->version();
    std::ranges::transform(known->sections(), std::back_inserter(request.known),
                           [](const document::section& section) {
                             return wire::known_section{section.name, section.version};
                           });
  }
  return request;
}

/** Adds the sections omitted by the peer from `known`. @return false if `known` lacks one. */
bool CopyUnchangedSections(const std::vector<std::string>& names,
                           const document::document_ptr& known,
                           std::vector<document::section>& sections) {
  return std::ranges::all_of(names, [&](const std::string& name) {
    const document::section* section = known == nullptr ? nullptr : known->FindSection(name);
    if (section != nullptr) {
      sections.push_back(*section);
    }
    return section != nullptr;
  });
}

}  // namespace

document::document_ptr FetchDocument(const wire::peer_address& peer,
                                     const std::string& key,
                                     const document::document_ptr& known,
                                     std::chrono::milliseconds timeout) {
  asio::io_context context(1);
  const wire::document_request request = MakeRequest(known);
  document_fetch fetch(context, wire::EncodeFrame(request, key));
  fetch.Start({ToIp(peer), peer.port});
  context.run_for(timeout);
  if (!fetch.IsDone()) {
    return nullptr;
  }
  std::optional<wire::document_response> response = wire::DecodeResponse(fetch.Frame(), key);
  if (!response || response->version <= request.newer_than) {
    return nullptr;
  }
  std::vector<document::section> sections;
  sections.reserve(response->sections.size());
  for (wire::wire_section& section : response->sections) {
    sections.push_back({.name = std::move(section.name),
                        .version = section.version,
                        .edit_id = std::move(section.edit_id),
                        .author = std::move(section.author),
                        .text = std::move(section.text)});
  }
  if (!CopyUnchangedSections(response->unchanged, known, sections)) {
    return nullptr;
  }
  return document::operating_document::Make(response->version, std::move(sections), nullptr);
}

}  // namespace tarragon::net
