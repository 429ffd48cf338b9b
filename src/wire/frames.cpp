#include "wire/frames.hpp"

#include <cstring>

namespace bankhill::wire {

namespace {

template <class Body>
std::string_view bytes_of(const Body& body) {
  static_assert(std::is_trivially_copyable_v<Body>);
  return {reinterpret_cast<const char*>(&body), sizeof(Body)};
}

// Reads from a bounded piece of memory; every read is checked.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}
  template <class Body>
  bool read(Body& body) {
    if (rest_.size() < sizeof(Body)) return false;
    std::memcpy(&body, rest_.data(), sizeof(Body));
    rest_.remove_prefix(sizeof(Body));
    return true;
  }
  bool read(std::string& text, std::size_t length) {
    if (rest_.size() < length) return false;
    text.assign(rest_.substr(0, length));
    rest_.remove_prefix(length);
    return true;
  }
  bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

struct Encoder {
  std::string payload;
  template <class Body>
  void add(const Body& body, std::string_view first = {}, std::string_view second = {}) {
    payload.append(bytes_of(body)).append(first).append(second);
  }
  void operator()(const Hello& hello) {
    add(HelloBody{hello.incarnation, static_cast<std::uint16_t>(hello.node.size())}, hello.node);
  }
  void operator()(const Beat& beat) {
    add(BeatBody{beat.term, static_cast<std::uint8_t>(beat.state_ok),
                 static_cast<std::uint8_t>(beat.leading)});
  }
  void operator()(const Call& call) {
    add(CallBody{call.id, static_cast<std::uint8_t>(call.post), static_cast<std::uint16_t>(call.path.size()),
                 static_cast<std::uint32_t>(call.body.size())},
        call.path, call.body);
  }
  void operator()(const Answer& answer) {
    add(AnswerBody{answer.id, answer.status, answer.retry_after_ms,
                   static_cast<std::uint32_t>(answer.body.size())},
        answer.body);
  }
  void operator()(const Progress& progress) {
    add(ProgressBody{progress.done, progress.running, static_cast<std::uint16_t>(progress.job.size()),
                     static_cast<std::uint16_t>(progress.reason.size())},
        progress.job, progress.reason);
  }
};

std::optional<Frame> decode(std::uint8_t type, std::string_view payload) {
  Cursor cursor(payload);
  std::optional<Frame> frame;
  if (type == 0) {
    HelloBody body;
    Hello hello;
    if (cursor.read(body) && cursor.read(hello.node, body.name_length)) {
      hello.incarnation = body.incarnation;
      frame = std::move(hello);
    }
  } else if (type == 1) {
    BeatBody body;
    if (cursor.read(body)) frame = Beat{body.term, body.state_ok != 0, body.leading != 0};
  } else if (type == 2) {
    CallBody body;
    Call call;
    if (cursor.read(body) && cursor.read(call.path, body.path_length) &&
        cursor.read(call.body, body.body_length)) {
      call.id = body.id;
      call.post = body.post != 0;
      frame = std::move(call);
    }
  } else if (type == 3) {
    AnswerBody body;
    Answer answer;
    if (cursor.read(body) && cursor.read(answer.body, body.body_length)) {
      answer.id = body.id;
      answer.status = body.status;
      answer.retry_after_ms = body.retry_after_ms;
      frame = std::move(answer);
    }
  } else if (type == 4) {
    ProgressBody body;
    Progress progress;
    if (cursor.read(body) && cursor.read(progress.job, body.job_length) &&
        cursor.read(progress.reason, body.reason_length)) {
      progress.done = body.done;
      progress.running = body.running;
      frame = std::move(progress);
    }
  }
  if (!cursor.at_end()) return std::nullopt;
  return frame;
}

}  // namespace

std::string encode(const Frame& frame) {
  Encoder encoder;
  std::visit(encoder, frame);
  const FrameHeader header{kFrameMagic, kFrameVersion, static_cast<std::uint8_t>(frame.index()),
                           static_cast<std::uint32_t>(encoder.payload.size())};
  return std::string(bytes_of(header)) + encoder.payload;
}

std::optional<Frame> FrameReader::next() {
  if (error_ != FrameError::none || buffer_.size() < sizeof(FrameHeader)) return std::nullopt;
  FrameHeader header;
  std::memcpy(&header, buffer_.data(), sizeof header);
  if (header.magic != kFrameMagic || header.version != kFrameVersion) {
    error_ = FrameError::bad_header;
    return std::nullopt;
  }
  if (header.length > kMaxFrame) {
    error_ = FrameError::too_long;
    return std::nullopt;
  }
  const std::size_t total = sizeof header + header.length;
  if (buffer_.size() < total) return std::nullopt;
  auto frame = decode(header.type, std::string_view(buffer_).substr(sizeof header, header.length));
  buffer_.erase(0, total);
  if (!frame) error_ = FrameError::bad_body;
  return frame;
}

}  // namespace bankhill::wire
