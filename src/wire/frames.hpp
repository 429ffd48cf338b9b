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
#include <vector>

#include "wire/messages.hpp"

namespace bankhill::wire {

constexpr std::uint16_t kFrameMagic = 0x4248;  // "BH"
constexpr std::uint8_t kFrameVersion = 1;
constexpr std::size_t kMaxFrame = std::size_t{256} * 1024;

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
  Big<std::uint8_t> state_ok;  // not 0: reached; above the lowest bit stands what the sender understands
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

struct LoadBody {
  Big<std::uint32_t> workers;
  Big<std::uint32_t> capacity;
  Big<std::uint16_t> zone_length;
};
static_assert(sizeof(LoadBody) == 10);

// Bundles begin with the number of their items.
struct BundleBody {
  Big<std::uint16_t> items;
};
static_assert(sizeof(BundleBody) == 2);

struct ReportBody {  // of any report; a full one goes on with FullReportBody
  Big<std::uint64_t> id;
  Big<std::uint64_t> base;  // 0: in full
  Big<std::uint64_t> tenure;
  Big<std::uint64_t> counter;
  Big<std::uint64_t> fence;
  Big<std::uint16_t> host_length;
};
static_assert(sizeof(ReportBody) == 42);

struct FullReportBody {
  Big<std::uint8_t> reclaimable;
  Big<std::uint32_t> warning_ms;  // kNoWarning: none
  Big<std::uint16_t> address_length;
  Big<std::uint16_t> flavor_length;
  Big<std::uint16_t> zone_length;
  Big<std::uint32_t> members;
};
static_assert(sizeof(FullReportBody) == 15);
constexpr std::uint32_t kNoWarning = 0xFFFFFFFF;

struct MemberBody {
  Big<std::uint32_t> index;
  Big<std::uint64_t> try_no;
  Big<std::uint8_t> phase;
  Big<std::uint8_t> cause;
  Big<std::uint8_t> kept;
  Big<std::uint16_t> job_length;
};
static_assert(sizeof(MemberBody) == 17);

struct RulingBody {
  Big<std::uint64_t> id;
  Big<std::uint8_t> verdict;
  Big<std::uint64_t> fence;
  Big<std::uint16_t> orders;
};
static_assert(sizeof(RulingBody) == 19);

struct OrderBody {
  Big<std::uint8_t> verb;
  Big<std::uint32_t> index;
  Big<std::uint64_t> try_no;
  Big<std::uint32_t> wind_down_ms;
  Big<std::uint16_t> job_length;
};
static_assert(sizeof(OrderBody) == 19);

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
  std::uint8_t features = 0;  // kFeature...; told only while state_ok is
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

// Frames of the kinds below go only to siblings whose beats say that they understand them: 0.3.0 takes a
// frame of an unknown kind for malformed and closes the connection.
constexpr std::uint8_t kFeatureDelegation = 1;

struct Load {  // how many workers report to a controller
  std::uint32_t workers = 0;
  std::uint32_t capacity = 0;
  std::string zone;
  bool operator==(const Load&) const = default;
};

// A worker's report on its way from a delegate to the leader. With `base` not 0 it is brief: only host,
// tenure, counter and fence are told, the rest is as in the report of that counter.
struct DelegatedReport {
  std::uint64_t id = 0;  // of the exchange; the ruling names it
  std::uint64_t base = 0;
  Report report;
  bool operator==(const DelegatedReport&) const = default;
};
struct Reports {
  std::vector<DelegatedReport> items;
  bool operator==(const Reports&) const = default;
};

// What the leader answers to a report.
enum class Verdict : std::uint8_t {
  granted,  // 200 with this fence and these orders
  refused,  // no right to answer
  in_full,  // a brief report that the leader cannot complete: to be sent once more, in full
};
struct Ruling {
  std::uint64_t id = 0;
  Verdict verdict = Verdict::refused;
  Fence fence;
  std::vector<Order> orders;
  bool operator==(const Ruling&) const = default;
};
struct Rulings {
  std::vector<Ruling> items;
  bool operator==(const Rulings&) const = default;
};

using Frame = std::variant<Hello, Beat, Call, Answer, Progress, Load, Reports, Rulings>;

// The report as it goes into a frame, in full, but for its counter: two of a worker that are equal here tell
// the same.
std::string fingerprint(const Report& report);

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
