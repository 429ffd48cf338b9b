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
  void operator()(const Beat& beat) {
    const auto state = beat.state_ok ? 1U | static_cast<unsigned>(beat.features) << 1U : 0U;
    add(BeatBody{beat.term, static_cast<std::uint8_t>(state), static_cast<std::uint8_t>(beat.leading)});
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
  void operator()(const Load& load) {
    add(LoadBody{load.workers, load.capacity, static_cast<std::uint16_t>(load.zone.size())}, load.zone);
  }
  void operator()(const Reports& reports) {
    add(BundleBody{static_cast<std::uint16_t>(reports.items.size())});
    for (const auto& item : reports.items) {
      const auto& report = item.report;
      add(ReportBody{item.id, item.base, report.tenure.value, report.counter, report.fence.value,
                     static_cast<std::uint16_t>(report.host.value.size())},
          report.host.value);
      if (item.base == 0) add_rest(report);
    }
  }
  void add_rest(const Report& report) {
    add(FullReportBody{static_cast<std::uint8_t>(report.reclaimable),
                       report.warning_s ? millis(*report.warning_s) : kNoWarning,
                       static_cast<std::uint16_t>(report.address.size()),
                       static_cast<std::uint16_t>(report.flavor.size()),
                       static_cast<std::uint16_t>(report.rack_room.size()),
                       static_cast<std::uint32_t>(report.members.size())},
        report.address, report.flavor);
    payload.append(report.rack_room);
    for (const auto& member : report.members)
      add(MemberBody{member.member.index, member.try_no.value, static_cast<std::uint8_t>(member.phase),
                     static_cast<std::uint8_t>(member.cause), static_cast<std::uint8_t>(member.kept),
                     static_cast<std::uint16_t>(member.member.job.value.size())},
          member.member.job.value);
  }
  void operator()(const Rulings& rulings) {
    add(BundleBody{static_cast<std::uint16_t>(rulings.items.size())});
    for (const auto& ruling : rulings.items) {
      add(RulingBody{ruling.id, static_cast<std::uint8_t>(ruling.verdict), ruling.fence.value,
                     static_cast<std::uint16_t>(ruling.orders.size())});
      for (const auto& order : ruling.orders)
        add(OrderBody{static_cast<std::uint8_t>(order.verb), order.member.index, order.try_no.value,
                      millis(order.wind_down_s), static_cast<std::uint16_t>(order.member.job.value.size())},
            order.member.job.value);
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
bool read_member(Cursor& cursor, std::size_t job_length, std::uint32_t index, MemberId& member) {
  std::string job;
  if (!cursor.read(job, job_length)) return false;
  const auto id = parse_job_id(job);
  if (!id) return false;
  member = {*id, index};
  return true;
}

bool read_rest(Cursor& cursor, Report& report) {
  FullReportBody body;
  if (!cursor.read(body) || !cursor.read(report.address, body.address_length) ||
      !cursor.read(report.flavor, body.flavor_length) || !cursor.read(report.rack_room, body.zone_length))
    return false;
  report.reclaimable = body.reclaimable != 0;
  if (body.warning_ms != kNoWarning) report.warning_s = body.warning_ms / 1000.0;
  for (std::uint32_t i = 0; i < body.members; ++i) {
    MemberBody item;
    MemberReport member;
    if (!cursor.read(item) || !read_member(cursor, item.job_length, item.index, member.member) ||
        !read_enum(item.phase, MemberPhase::exited, member.phase) ||
        !read_enum(item.cause, ExitCause::no_such, member.cause))
      return false;
    member.try_no.value = item.try_no;
    member.kept = item.kept != 0;
    report.members.push_back(std::move(member));
  }
  return true;
}

std::optional<Frame> read_reports(Cursor& cursor) {
  BundleBody bundle;
  if (!cursor.read(bundle)) return std::nullopt;
  Reports reports;
  for (std::uint16_t i = 0; i < bundle.items; ++i) {
    ReportBody body;
    DelegatedReport item;
    if (!cursor.read(body) || !cursor.read(item.report.host.value, body.host_length)) return std::nullopt;
    item.id = body.id;
    item.base = body.base;
    item.report.tenure.value = body.tenure;
    item.report.counter = body.counter;
    item.report.fence.value = body.fence;
    if (item.base == 0 && !read_rest(cursor, item.report)) return std::nullopt;
    reports.items.push_back(std::move(item));
  }
  return reports;
}

std::optional<Frame> read_rulings(Cursor& cursor) {
  BundleBody bundle;
  if (!cursor.read(bundle)) return std::nullopt;
  Rulings rulings;
  for (std::uint16_t i = 0; i < bundle.items; ++i) {
    RulingBody body;
    Ruling ruling;
    if (!cursor.read(body) || !read_enum(body.verdict, Verdict::in_full, ruling.verdict)) return std::nullopt;
    ruling.id = body.id;
    ruling.fence.value = body.fence;
    for (std::uint16_t j = 0; j < body.orders; ++j) {
      OrderBody item;
      Order order;
      if (!cursor.read(item) || !read_member(cursor, item.job_length, item.index, order.member) ||
          !read_enum(item.verb, Verb::forget, order.verb))
        return std::nullopt;
      order.try_no.value = item.try_no;
      order.wind_down_s = item.wind_down_ms / 1000.0;
      ruling.orders.push_back(std::move(order));
    }
    rulings.items.push_back(std::move(ruling));
  }
  return rulings;
}

// The type in a frame's header: its place in the variant.
enum class FrameType : std::uint8_t { hello, beat, call, answer, progress, load, reports, rulings };
static_assert(std::variant_size_v<Frame> == static_cast<std::size_t>(FrameType::rulings) + 1);

std::optional<Frame> read_hello(Cursor& cursor) {
  HelloBody body;
  Hello hello;
  if (!cursor.read(body) || !cursor.read(hello.node, body.name_length)) return std::nullopt;
  hello.incarnation = body.incarnation;
  return hello;
}

std::optional<Frame> read_beat(Cursor& cursor) {
  BeatBody body;
  if (!cursor.read(body)) return std::nullopt;
  return Beat{body.term, body.state_ok != 0, body.leading != 0,
              static_cast<std::uint8_t>(body.state_ok >> 1U)};
}

std::optional<Frame> read_call(Cursor& cursor) {
  CallBody body;
  Call call;
  if (!cursor.read(body) || !cursor.read(call.path, body.path_length) ||
      !cursor.read(call.body, body.body_length))
    return std::nullopt;
  call.id = body.id;
  call.post = body.post != 0;
  return call;
}

std::optional<Frame> read_answer(Cursor& cursor) {
  AnswerBody body;
  Answer answer;
  if (!cursor.read(body) || !cursor.read(answer.body, body.body_length)) return std::nullopt;
  answer.id = body.id;
  answer.status = body.status;
  answer.retry_after_ms = body.retry_after_ms;
  return answer;
}

std::optional<Frame> read_progress(Cursor& cursor) {
  ProgressBody body;
  Progress progress;
  if (!cursor.read(body) || !cursor.read(progress.job, body.job_length) ||
      !cursor.read(progress.reason, body.reason_length))
    return std::nullopt;
  progress.done = body.done;
  progress.running = body.running;
  return progress;
}

std::optional<Frame> read_load(Cursor& cursor) {
  LoadBody body;
  Load load;
  if (!cursor.read(body) || !cursor.read(load.zone, body.zone_length)) return std::nullopt;
  load.workers = body.workers;
  load.capacity = body.capacity;
  return load;
}

std::optional<Frame> read_body(std::uint8_t type, Cursor& cursor) {
  switch (static_cast<FrameType>(type)) {
    case FrameType::hello:
      return read_hello(cursor);
    case FrameType::beat:
      return read_beat(cursor);
    case FrameType::call:
      return read_call(cursor);
    case FrameType::answer:
      return read_answer(cursor);
    case FrameType::progress:
      return read_progress(cursor);
    case FrameType::load:
      return read_load(cursor);
    case FrameType::reports:
      return read_reports(cursor);
    case FrameType::rulings:
      return read_rulings(cursor);
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

std::string fingerprint(const Report& report) {
  Encoder encoder;
  encoder.add(ReportBody{0, 0, report.tenure.value, 0, report.fence.value,
                         static_cast<std::uint16_t>(report.host.value.size())},
              report.host.value);
  encoder.add_rest(report);
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
