// Frames between controllers: packed structs, network byte order, length-framed and versioned.
//
//   header | body struct | variable part (lengths are in the body struct)
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bankhill::wire {

constexpr std::uint16_t kFrameMagic = 0x4248;  // "BH"
constexpr std::uint8_t kFrameVersion = 1;
constexpr std::size_t kMaxFrame = 256 * 1024;

// An unsigned number in network byte order without alignment: structs of these have no padding.
template <class T>
struct Big {
  std::array<std::uint8_t, sizeof(T)> bytes{};
  Big() = default;
  Big(T value) {  // NOLINT(google-explicit-constructor): reads as the number it holds
    for (std::size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 8 * (sizeof(T) > 1)))
      bytes[i] = static_cast<std::uint8_t>(value & 0xFF);
  }
  operator T() const {  // NOLINT(google-explicit-constructor)
    T value = 0;
    for (const auto byte : bytes) value = static_cast<T>((value << 8 * (sizeof(T) > 1)) | byte);
    return value;
  }
};

struct FrameHeader {
  Big<std::uint16_t> magic;
  Big<std::uint8_t> version;
  Big<std::uint8_t> type;
  Big<std::uint32_t> length;  // of what follows the header
};
static_assert(sizeof(FrameHeader) == 8);

struct HelloBody {
  Big<std::uint64_t> incarnation;
  Big<std::uint16_t> name_length;
};
static_assert(sizeof(HelloBody) == 10);

struct BeatBody {
  Big<std::uint64_t> term;
  Big<std::uint8_t> state_ok;
  Big<std::uint8_t> leading;
};
static_assert(sizeof(BeatBody) == 10);

struct CallBody {
  Big<std::uint64_t> id;
  Big<std::uint8_t> post;
  Big<std::uint16_t> path_length;
  Big<std::uint32_t> body_length;
};
static_assert(sizeof(CallBody) == 15);

struct AnswerBody {
  Big<std::uint64_t> id;
  Big<std::uint16_t> status;
  Big<std::uint32_t> retry_after_ms;
  Big<std::uint32_t> body_length;
};
static_assert(sizeof(AnswerBody) == 18);

struct ProgressBody {
  Big<std::uint32_t> done;
  Big<std::uint32_t> running;
  Big<std::uint16_t> job_length;
  Big<std::uint16_t> reason_length;
};
static_assert(sizeof(ProgressBody) == 12);

// The frames as values.
struct Hello {
  std::uint64_t incarnation = 0;
  std::string node;
  bool operator==(const Hello&) const = default;
};
struct Beat {
  std::uint64_t term = 0;
  bool state_ok = false;
  bool leading = false;
  bool operator==(const Beat&) const = default;
};
struct Call {  // an HTTP request relayed to a sibling
  std::uint64_t id = 0;
  bool post = false;
  std::string path;
  std::string body;
  bool operator==(const Call&) const = default;
};
struct Answer {
  std::uint64_t id = 0;
  std::uint16_t status = 0;
  std::uint32_t retry_after_ms = 0;
  std::string body;
  bool operator==(const Answer&) const = default;
};
struct Progress {  // what the leader knows of a job's tasks, for display
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::string job;
  std::string reason;
  bool operator==(const Progress&) const = default;
};

using Frame = std::variant<Hello, Beat, Call, Answer, Progress>;

std::string encode(const Frame& frame);

enum class FrameError { none, bad_header, too_long, bad_body };

// Splits a byte stream into frames. After an error the stream must be closed.
class FrameReader {
 public:
  void append(std::string_view bytes) { buffer_.append(bytes); }
  std::optional<Frame> next();
  FrameError error() const { return error_; }

 private:
  std::string buffer_;
  FrameError error_ = FrameError::none;
};

}  // namespace bankhill::wire
