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
struct BigEndian {
  std::array<std::uint8_t, sizeof(T)> bytes{};
  BigEndian() = default;
  BigEndian(T value) {  // NOLINT(google-explicit-constructor): reads as the number it holds
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
  BigEndian<std::uint16_t> magic;
  BigEndian<std::uint8_t> version;
  BigEndian<std::uint8_t> type;
  BigEndian<std::uint32_t> length;  // of what follows the header
};
static_assert(sizeof(FrameHeader) == 8);

struct HelloBody {
  BigEndian<std::uint64_t> incarnation;
  BigEndian<std::uint16_t> name_length;
};
static_assert(sizeof(HelloBody) == 10);

struct PeerStatusBody {
  BigEndian<std::uint64_t> term;
  BigEndian<std::uint8_t>
      state_ok;  // not 0: reached; above the lowest bit stands what the sender understands
  BigEndian<std::uint8_t> leading;
};
static_assert(sizeof(PeerStatusBody) == 10);

struct RelayedRequestBody {
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint8_t> post;
  BigEndian<std::uint16_t> path_length;
  BigEndian<std::uint32_t> body_length;
};
static_assert(sizeof(RelayedRequestBody) == 15);

struct RelayedResponseBody {
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint16_t> status;
  BigEndian<std::uint32_t> retry_after_ms;
  BigEndian<std::uint32_t> body_length;
};
static_assert(sizeof(RelayedResponseBody) == 18);

struct JobProgressBody {
  BigEndian<std::uint32_t> done;
  BigEndian<std::uint32_t> running;
  BigEndian<std::uint16_t> job_length;
  BigEndian<std::uint16_t> reason_length;
};
static_assert(sizeof(JobProgressBody) == 12);

struct ProgressRequestBody {
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint64_t> stream;
  BigEndian<std::uint64_t> version;
};
static_assert(sizeof(ProgressRequestBody) == 24);

struct ProgressUpdateBody {
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint64_t> stream;
  BigEndian<std::uint64_t> after;
  BigEndian<std::uint64_t> version;
  BigEndian<std::uint32_t> live_jobs;
  BigEndian<std::uint8_t> complete;
  BigEndian<std::uint8_t> settled;
  BigEndian<std::uint16_t> entries;
};
static_assert(sizeof(ProgressUpdateBody) == 40);

struct ProgressEntryBody {  // followed by a JobProgressBody with its texts
  BigEndian<std::uint8_t> certain;
};
static_assert(sizeof(ProgressEntryBody) == 1);

struct ControllerLoadBody {
  BigEndian<std::uint32_t> workers;
  BigEndian<std::uint32_t> capacity;
  BigEndian<std::uint16_t> zone_length;
};
static_assert(sizeof(ControllerLoadBody) == 10);

// Batches begin with the number of their items.
struct BatchBody {
  BigEndian<std::uint16_t> items;
};
static_assert(sizeof(BatchBody) == 2);

struct HeartbeatBody {  // of any heartbeat; a full one goes on with FullReportBody
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint64_t> base_sequence;  // 0: in full
  BigEndian<std::uint64_t> agent_epoch;
  BigEndian<std::uint64_t> sequence;
  BigEndian<std::uint64_t> fencing_token;
  BigEndian<std::uint16_t> machine_id_length;
};
static_assert(sizeof(HeartbeatBody) == 42);

struct FullHeartbeatBody {
  BigEndian<std::uint8_t> preemptible;
  BigEndian<std::uint32_t> preemption_notice_ms;  // kNoWarning: none
  BigEndian<std::uint16_t> address_length;
  BigEndian<std::uint16_t> machine_type_length;
  BigEndian<std::uint16_t> zone_length;
  BigEndian<std::uint32_t> tasks;
};
static_assert(sizeof(FullHeartbeatBody) == 15);
constexpr std::uint32_t kNoPreemptionNotice = 0xFFFFFFFF;

struct TaskStatusBody {
  BigEndian<std::uint32_t> index;
  BigEndian<std::uint64_t> attempt;
  BigEndian<std::uint8_t> state;
  BigEndian<std::uint8_t> exit_reason;
  BigEndian<std::uint8_t> checkpoint_saved;
  BigEndian<std::uint16_t> job_length;
};
static_assert(sizeof(TaskStatusBody) == 17);

struct HeartbeatResponseBody {
  BigEndian<std::uint64_t> id;
  BigEndian<std::uint8_t> status;
  BigEndian<std::uint64_t> fencing_token;
  BigEndian<std::uint16_t> commands;
};
static_assert(sizeof(HeartbeatResponseBody) == 19);

struct CommandBody {
  BigEndian<std::uint8_t> type;
  BigEndian<std::uint32_t> index;
  BigEndian<std::uint64_t> attempt;
  BigEndian<std::uint32_t> grace_period_ms;
  BigEndian<std::uint16_t> job_length;
};
static_assert(sizeof(CommandBody) == 19);

// The frames as values.
struct Hello {
  std::uint64_t incarnation = 0;
  std::string node;
  bool operator==(const Hello&) const = default;
};
struct PeerStatus {
  std::uint64_t term = 0;
  bool state_ok = false;
  bool leading = false;
  std::uint8_t features = 0;  // kFeature...; told only while state_ok is
  bool operator==(const PeerStatus&) const = default;
};
struct RelayedRequest {  // an HTTP request relayed to a peer
  std::uint64_t id = 0;
  bool post = false;
  std::string path;
  std::string body;
  bool operator==(const RelayedRequest&) const = default;
};
struct RelayedResponse {
  std::uint64_t id = 0;
  std::uint16_t status = 0;
  std::uint32_t retry_after_ms = 0;
  std::string body;
  bool operator==(const RelayedResponse&) const = default;
};
struct JobProgress {  // what the leader knows of a job's tasks, for display
  std::uint32_t done = 0;
  std::uint32_t running = 0;
  std::string job;
  std::string reason;
  bool operator==(const JobProgress&) const = default;
};

// Frames of the kinds below go only to peers whose beats say that they understand them: 0.3.0 takes a
// frame of an unknown kind for malformed and closes the connection.
constexpr std::uint8_t kFeatureHeartbeatForwarding = 1;
constexpr std::uint8_t kFeatureProgressSync = 2;

struct ControllerLoad {  // how many workers report to a controller
  std::uint32_t workers = 0;
  std::uint32_t capacity = 0;
  std::string zone;
  bool operator==(const ControllerLoad&) const = default;
};

// A worker's heartbeat on its way from a forwarding controller to the leader. With `base` not 0 it is brief:
// only machine, agent epoch, counter and fencing token are told, the rest is as in the heartbeat of that
// counter.
struct ForwardedHeartbeat {
  std::uint64_t id = 0;  // of the exchange; the response names it
  std::uint64_t base_sequence = 0;
  Heartbeat heartbeat;
  bool operator==(const ForwardedHeartbeat&) const = default;
};
struct ForwardedHeartbeats {
  std::vector<ForwardedHeartbeat> items;
  bool operator==(const ForwardedHeartbeats&) const = default;
};

// What the leader answers to a heartbeat.
enum class HeartbeatResult : std::uint8_t {
  accepted,        // 200 with this fencing token and these orders
  rejected,        // no right to answer
  resend_in_full,  // a brief heartbeat that the leader cannot complete: to be sent once more, in full
};
struct HeartbeatResponse {
  std::uint64_t id = 0;
  HeartbeatResult result = HeartbeatResult::rejected;
  FencingToken fencing_token;
  std::vector<Command> commands;
  bool operator==(const HeartbeatResponse&) const = default;
};
struct HeartbeatResponses {
  std::vector<HeartbeatResponse> items;
  bool operator==(const HeartbeatResponses&) const = default;
};

// Asks the leader for the progress of all jobs that changed after `version` of `stream`. A sender that holds
// no copy yet names stream 0.
struct ProgressRequest {
  std::uint64_t id = 0;  // the update names it
  std::uint64_t stream = 0;
  std::uint64_t version = 0;
  bool operator==(const ProgressRequest&) const = default;
};

// The progress of one job, as an entry of an update.
struct ProgressEntry {
  JobProgress progress;
  // False while tasks that an earlier leader started may run on machines that this leader has not heard of.
  bool certain = true;
  bool operator==(const ProgressEntry&) const = default;
};

// The leader's answer to a ProgressRequest: entries in the order of their versions.
struct ProgressUpdate {
  std::uint64_t id = 0;
  std::uint64_t stream = 0;   // fencing token with which the sender's term began; 0: no update
  std::uint64_t after = 0;    // version after which the entries begin; 0: from the first
  std::uint64_t version = 0;  // version of the last entry
  std::uint32_t live_jobs = 0;
  bool complete = false;  // false: more entries follow after `version`
  // False while the leader, after a time in which it took no heartbeats, has not heard of all machines again.
  bool settled = false;
  std::vector<ProgressEntry> entries;
  bool operator==(const ProgressUpdate&) const = default;
};

using Frame = std::variant<Hello, PeerStatus, RelayedRequest, RelayedResponse, JobProgress, ControllerLoad,
                           ForwardedHeartbeats, HeartbeatResponses, ProgressRequest, ProgressUpdate>;

// The report as it goes into a frame, in full, but for its counter: two of a worker that are equal here tell
// the same.
std::string fingerprint(const Heartbeat& heartbeat);

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
