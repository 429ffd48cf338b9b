#include "wire/frames.hpp"

#include <algorithm>
#include <cmath>
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

std::uint32_t millis(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(std::llround(seconds * 1000), 0LL, 0xFFFFFFFELL));
}

struct Encoder {
  std::string payload;
  template <class Body>
  void add(const Body& body, std::string_view first = {}, std::string_view second = {}) {
    payload.append(bytes_of(body)).append(first).append(second);
  }
  void operator()(const Hello& hello) {
    add(HelloBody{hello.incarnation, static_cast<std::uint16_t>(hello.node.size())}, hello.node);
  }
  void operator()(const PeerStatus& status) {
    const auto state = status.state_ok ? 1U | static_cast<unsigned>(status.features) << 1U : 0U;
    add(PeerStatusBody{status.term, static_cast<std::uint8_t>(state),
                       static_cast<std::uint8_t>(status.leading)});
  }
  void operator()(const RelayedRequest& call) {
    add(RelayedRequestBody{call.id, static_cast<std::uint8_t>(call.post),
                           static_cast<std::uint16_t>(call.path.size()),
                           static_cast<std::uint32_t>(call.body.size())},
        call.path, call.body);
  }
  void operator()(const RelayedResponse& answer) {
    add(RelayedResponseBody{answer.id, answer.status, answer.retry_after_ms,
                            static_cast<std::uint32_t>(answer.body.size())},
        answer.body);
  }
  void operator()(const JobProgress& progress) {
    add(JobProgressBody{progress.done, progress.running, static_cast<std::uint16_t>(progress.job.size()),
                        static_cast<std::uint16_t>(progress.reason.size())},
        progress.job, progress.reason);
  }
  void operator()(const ProgressRequest& request) {
    add(ProgressRequestBody{request.id, request.stream, request.version});
  }
  void operator()(const ProgressUpdate& update) {
    add(ProgressUpdateBody{update.id, update.stream, update.after, update.version, update.live_jobs,
                           static_cast<std::uint8_t>(update.complete),
                           static_cast<std::uint8_t>(update.settled),
                           static_cast<std::uint16_t>(update.entries.size())});
    for (const auto& entry : update.entries) {
      add(ProgressEntryBody{static_cast<std::uint8_t>(entry.certain)});
      (*this)(entry.progress);
    }
  }
  void operator()(const ControllerLoad& load) {
    add(ControllerLoadBody{load.workers, load.capacity, static_cast<std::uint16_t>(load.zone.size())},
        load.zone);
  }
  void operator()(const ForwardedHeartbeats& heartbeats) {
    add(BatchBody{static_cast<std::uint16_t>(heartbeats.items.size())});
    for (const auto& item : heartbeats.items) {
      const auto& heartbeat = item.heartbeat;
      add(HeartbeatBody{item.id, item.base_sequence, heartbeat.agent_epoch.value, heartbeat.sequence,
                        heartbeat.fencing_token.value,
                        static_cast<std::uint16_t>(heartbeat.machine_id.value.size())},
          heartbeat.machine_id.value);
      if (item.base_sequence == 0) add_rest(heartbeat);
    }
  }
  void add_rest(const Heartbeat& heartbeat) {
    add(FullHeartbeatBody{static_cast<std::uint8_t>(heartbeat.preemptible),
                          heartbeat.preemption_notice_s ? millis(*heartbeat.preemption_notice_s)
                                                        : kNoPreemptionNotice,
                          static_cast<std::uint16_t>(heartbeat.address.size()),
                          static_cast<std::uint16_t>(heartbeat.machine_type.size()),
                          static_cast<std::uint16_t>(heartbeat.zone.size()),
                          static_cast<std::uint32_t>(heartbeat.tasks.size())},
        heartbeat.address, heartbeat.machine_type);
    payload.append(heartbeat.zone);
    for (const auto& task_status : heartbeat.tasks)
      add(TaskStatusBody{task_status.task.index, task_status.attempt.value,
                         static_cast<std::uint8_t>(task_status.state),
                         static_cast<std::uint8_t>(task_status.exit_reason),
                         static_cast<std::uint8_t>(task_status.checkpoint_saved),
                         static_cast<std::uint16_t>(task_status.task.job.value.size())},
          task_status.task.job.value);
  }
  void operator()(const HeartbeatResponses& responses) {
    add(BatchBody{static_cast<std::uint16_t>(responses.items.size())});
    for (const auto& response : responses.items) {
      add(HeartbeatResponseBody{response.id, static_cast<std::uint8_t>(response.result),
                                response.fencing_token.value,
                                static_cast<std::uint16_t>(response.commands.size())});
      for (const auto& command : response.commands)
        add(CommandBody{static_cast<std::uint8_t>(command.type), command.task.index, command.attempt.value,
                        millis(command.grace_period_s),
                        static_cast<std::uint16_t>(command.task.job.value.size())},
            command.task.job.value);
    }
  }
};

template <class Enum>
bool read_enum(std::uint8_t byte, Enum last, Enum& value) {
  if (byte > static_cast<std::uint8_t>(last)) return false;
  value = static_cast<Enum>(byte);
  return true;
}

// A job's name must have the documented form: what is read here is used without another check.
bool read_member(Cursor& cursor, std::size_t job_length, std::uint32_t index, TaskId& task_id) {
  std::string job;
  if (!cursor.read(job, job_length)) return false;
  const auto id = parse_job_id(job);
  if (!id) return false;
  task_id = {*id, index};
  return true;
}

bool read_rest(Cursor& cursor, Heartbeat& heartbeat) {
  FullHeartbeatBody body;
  if (!cursor.read(body) || !cursor.read(heartbeat.address, body.address_length) ||
      !cursor.read(heartbeat.machine_type, body.machine_type_length) ||
      !cursor.read(heartbeat.zone, body.zone_length))
    return false;
  heartbeat.preemptible = body.preemptible != 0;
  if (body.preemption_notice_ms != kNoPreemptionNotice)
    heartbeat.preemption_notice_s = body.preemption_notice_ms / 1000.0;
  for (std::uint32_t i = 0; i < body.tasks; ++i) {
    TaskStatusBody item;
    TaskStatus task_status;
    if (!cursor.read(item) || !read_member(cursor, item.job_length, item.index, task_status.task) ||
        !read_enum(item.state, TaskState::exited, task_status.state) ||
        !read_enum(item.exit_reason, ExitReason::unknown_task, task_status.exit_reason))
      return false;
    task_status.attempt.value = item.attempt;
    task_status.checkpoint_saved = item.checkpoint_saved != 0;
    heartbeat.tasks.push_back(std::move(task_status));
  }
  return true;
}

std::optional<Frame> read_heartbeats(Cursor& cursor) {
  BatchBody bundle;
  if (!cursor.read(bundle)) return std::nullopt;
  ForwardedHeartbeats heartbeats;
  for (std::uint16_t i = 0; i < bundle.items; ++i) {
    HeartbeatBody body;
    ForwardedHeartbeat item;
    if (!cursor.read(body) || !cursor.read(item.heartbeat.machine_id.value, body.machine_id_length))
      return std::nullopt;
    item.id = body.id;
    item.base_sequence = body.base_sequence;
    item.heartbeat.agent_epoch.value = body.agent_epoch;
    item.heartbeat.sequence = body.sequence;
    item.heartbeat.fencing_token.value = body.fencing_token;
    if (item.base_sequence == 0 && !read_rest(cursor, item.heartbeat)) return std::nullopt;
    heartbeats.items.push_back(std::move(item));
  }
  return heartbeats;
}

std::optional<Frame> read_heartbeat_responses(Cursor& cursor) {
  BatchBody bundle;
  if (!cursor.read(bundle)) return std::nullopt;
  HeartbeatResponses responses;
  for (std::uint16_t i = 0; i < bundle.items; ++i) {
    HeartbeatResponseBody body;
    HeartbeatResponse response;
    if (!cursor.read(body) || !read_enum(body.status, HeartbeatResult::resend_in_full, response.result))
      return std::nullopt;
    response.id = body.id;
    response.fencing_token.value = body.fencing_token;
    for (std::uint16_t j = 0; j < body.commands; ++j) {
      CommandBody item;
      Command command;
      if (!cursor.read(item) || !read_member(cursor, item.job_length, item.index, command.task) ||
          !read_enum(item.type, CommandType::forget, command.type))
        return std::nullopt;
      command.attempt.value = item.attempt;
      command.grace_period_s = item.grace_period_ms / 1000.0;
      response.commands.push_back(std::move(command));
    }
    responses.items.push_back(std::move(response));
  }
  return responses;
}

// The type in a frame's header: its place in the variant.
enum class FrameType : std::uint8_t {
  hello,
  peer_status,
  relayed_request,
  relayed_response,
  job_progress,
  controller_load,
  heartbeats,
  heartbeat_responses,
  progress_request,
  progress_update
};
static_assert(std::variant_size_v<Frame> == static_cast<std::size_t>(FrameType::progress_update) + 1);

std::optional<Frame> read_hello(Cursor& cursor) {
  HelloBody body;
  Hello hello;
  if (!cursor.read(body) || !cursor.read(hello.node, body.name_length)) return std::nullopt;
  hello.incarnation = body.incarnation;
  return hello;
}

std::optional<Frame> read_peer_status(Cursor& cursor) {
  PeerStatusBody body;
  if (!cursor.read(body)) return std::nullopt;
  return PeerStatus{body.term, body.state_ok != 0, body.leading != 0,
                    static_cast<std::uint8_t>(body.state_ok >> 1U)};
}

std::optional<Frame> read_relayed_request(Cursor& cursor) {
  RelayedRequestBody body;
  RelayedRequest call;
  if (!cursor.read(body) || !cursor.read(call.path, body.path_length) ||
      !cursor.read(call.body, body.body_length))
    return std::nullopt;
  call.id = body.id;
  call.post = body.post != 0;
  return call;
}

std::optional<Frame> read_relayed_response(Cursor& cursor) {
  RelayedResponseBody body;
  RelayedResponse answer;
  if (!cursor.read(body) || !cursor.read(answer.body, body.body_length)) return std::nullopt;
  answer.id = body.id;
  answer.status = body.status;
  answer.retry_after_ms = body.retry_after_ms;
  return answer;
}

bool read_progress_body(Cursor& cursor, JobProgress& progress) {
  JobProgressBody body;
  if (!cursor.read(body) || !cursor.read(progress.job, body.job_length) ||
      !cursor.read(progress.reason, body.reason_length))
    return false;
  progress.done = body.done;
  progress.running = body.running;
  return true;
}

std::optional<Frame> read_progress(Cursor& cursor) {
  JobProgress progress;
  if (!read_progress_body(cursor, progress)) return std::nullopt;
  return progress;
}

std::optional<Frame> read_progress_request(Cursor& cursor) {
  ProgressRequestBody body;
  if (!cursor.read(body)) return std::nullopt;
  return ProgressRequest{body.id, body.stream, body.version};
}

std::optional<Frame> read_progress_update(Cursor& cursor) {
  ProgressUpdateBody body;
  if (!cursor.read(body)) return std::nullopt;
  ProgressUpdate update;
  update.id = body.id;
  update.stream = body.stream;
  update.after = body.after;
  update.version = body.version;
  update.live_jobs = body.live_jobs;
  update.complete = body.complete != 0;
  update.settled = body.settled != 0;
  for (std::uint16_t i = 0; i < body.entries; ++i) {
    ProgressEntryBody item;
    ProgressEntry entry;
    if (!cursor.read(item) || !read_progress_body(cursor, entry.progress) ||
        !parse_job_id(entry.progress.job))
      return std::nullopt;
    entry.certain = item.certain != 0;
    update.entries.push_back(std::move(entry));
  }
  return update;
}

std::optional<Frame> read_load(Cursor& cursor) {
  ControllerLoadBody body;
  ControllerLoad load;
  if (!cursor.read(body) || !cursor.read(load.zone, body.zone_length)) return std::nullopt;
  load.workers = body.workers;
  load.capacity = body.capacity;
  return load;
}

std::optional<Frame> read_body(std::uint8_t type, Cursor& cursor) {
  switch (static_cast<FrameType>(type)) {
    case FrameType::hello:
      return read_hello(cursor);
    case FrameType::peer_status:
      return read_peer_status(cursor);
    case FrameType::relayed_request:
      return read_relayed_request(cursor);
    case FrameType::relayed_response:
      return read_relayed_response(cursor);
    case FrameType::job_progress:
      return read_progress(cursor);
    case FrameType::controller_load:
      return read_load(cursor);
    case FrameType::heartbeats:
      return read_heartbeats(cursor);
    case FrameType::heartbeat_responses:
      return read_heartbeat_responses(cursor);
    case FrameType::progress_request:
      return read_progress_request(cursor);
    case FrameType::progress_update:
      return read_progress_update(cursor);
  }
  return std::nullopt;
}

std::optional<Frame> decode(std::uint8_t type, std::string_view payload) {
  Cursor cursor(payload);
  auto frame = read_body(type, cursor);
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

std::string fingerprint(const Heartbeat& heartbeat) {
  Encoder encoder;
  encoder.add(HeartbeatBody{0, 0, heartbeat.agent_epoch.value, 0, heartbeat.fencing_token.value,
                            static_cast<std::uint16_t>(heartbeat.machine_id.value.size())},
              heartbeat.machine_id.value);
  encoder.add_rest(heartbeat);
  return std::move(encoder.payload);
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
