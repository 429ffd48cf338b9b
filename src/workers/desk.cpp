#include "workers/desk.hpp"

#include <algorithm>
#include <utility>

namespace bankhill::workers {

using net::Response;
using wire::Json;
using wire::Ruling;
using wire::Verdict;

namespace {
constexpr double kRememberReports = 8;  // report intervals in which coming back means: could not reach it
constexpr double kRelayPaces = 0.8;
// A worker that has not reported for this many intervals reports elsewhere, or not at all.
constexpr double kHereReports = 2;
// A leader that is silent for this many paces is not handed reports any more.
constexpr double kLeaderSilentPaces = 2;
// Of the workers here, sent on a pace at most: a controller that joins gets its part gradually.
constexpr double kMoveShare = 0.06;
constexpr double kBundlePaces = 0.006;
// Relayed alone: by which sibling is not told.
const std::string kSomeSibling = "a sibling";
constexpr double kAnswerShare = 0.7;  // of what a worker waits, at most

delegation::Courier::Timing timing(const DeskSettings& settings) {
  return {kBundlePaces * settings.pace_s,
          std::min(kRelayPaces * settings.pace_s, kAnswerShare * net::kWorkerWaitS),
          kRememberReports * settings.report_s};
}

Response granted(const Ruling& ruling) {
  return {200, Json{{"fence", ruling.fence.value}, {"orders", to_json(ruling.orders)}}.dump(), std::nullopt};
}

// The worker tries the next controller a second later.
Response next_please() { return {421, "{}", std::nullopt}; }
Response unable() { return {503, "{}", 1.0}; }
}  // namespace

Desk::Desk(runtime::Loop& loop, runtime::Log log, DeskSettings settings, Ports ports)
    : Actor(loop),
      log_(std::move(log)),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      courier_(loop, loop.random()() >> 1, timing(settings_),
               {ports_.peers, [this](wire::Report report, std::uint64_t base, net::RulingReply reply,
                                     const std::string& node) {
                  ports_.take(std::move(report), base, std::move(reply), net::Via::delegate, node);
                }}) {}

void Desk::start() { tidy(); }

void Desk::on(Changed& message) {
  for (const auto& change : *message.changes) {
    if (change.key != wire::kLeaderKey) continue;
    leader_.clear();
    sent_.clear();
    if (!change.data) continue;
    try {
      leader_ = wire::parse_leader_record(*change.data).node;
    } catch (const std::exception&) {
      // The elector tells it; workers go on to the next controller meanwhile.
    }
  }
}

void Desk::on(FromSibling& message) {
  courier_.tell(delegation::Arrived{std::move(message.node), std::move(message.frame)});
}

void Desk::on(ReportCall& message) {
  wire::Report report;
  try {
    report = wire::parse_report(wire::parse_object(message.request.body));
  } catch (const wire::Malformed& error) {
    return message.reply({400, Json{{"error", error.what()}}.dump(), std::nullopt});
  }
  const auto siblings = ports_.relay.siblings();
  if (ports_.leading()) {
    if (!message.relayed && turned_away(report, siblings, message.reply)) return;
    return ports_.take(
        std::move(report), 0,
        [reply = std::move(message.reply)](const Ruling& ruling) {
          reply(ruling.verdict == Verdict::granted ? granted(ruling) : unable());
        },
        message.relayed ? net::Via::sibling : net::Via::worker, message.relayed ? kSomeSibling : "");
  }
  // No right to act for the controllers: never 200 on our own word (invariant 18).
  if (!message.relayed && cut_off(siblings)) return send_elsewhere(report.host, siblings, message.reply);
  if (message.relayed || leader_.empty() || leader_ == settings_.node) return message.reply(unable());
  if (!delegating(siblings)) return redirect(report.host, message);
  if (turned_away(report, siblings, message.reply)) return;
  const auto host = report.host;
  courier_.tell(delegation::Deliver{
      leader_, std::move(report), guard([this, host, reply = std::move(message.reply)](const Ruling& ruling) {
        if (ruling.verdict == Verdict::granted) return reply(granted(ruling));
        ours_.erase(host);
        reply(next_please());
      })});
}

// Workers are spread only while all siblings that are there understand it: one that does not sends every
// worker to the leader, and would undo it.
bool Desk::spreads(const Siblings& siblings) const {
  return settings_.delegates && std::all_of(siblings.begin(), siblings.end(), [](const auto& sibling) {
           return !sibling.fresh || sibling.delegates;
         });
}

bool Desk::delegating(const Siblings& siblings) const {
  if (leader_.empty() || leader_ == settings_.node || !spreads(siblings)) return false;
  for (const auto& sibling : siblings)
    if (sibling.node == leader_)
      return sibling.delegates && sibling.silence_s < kLeaderSilentPaces * settings_.pace_s;
  return false;
}

bool Desk::cut_off(const Siblings& siblings) const {
  return !siblings.empty() &&
         std::none_of(siblings.begin(), siblings.end(), [](const auto& sibling) { return sibling.fresh; });
}

// No ruling can come here (invariant 28). The worker is refused at once, and by name: it goes on without the
// second that a refusal without one costs. To one of those heard until the cut, not all to the same.
void Desk::send_elsewhere(const wire::HostId& host, const Siblings& siblings, const net::Reply& reply) {
  const double now = loop().now();
  ours_.erase(host);
  const auto sent = sent_.find(host);
  double last = siblings.front().silence_s;
  for (const auto& sibling : siblings) last = std::min(last, sibling.silence_s);
  std::vector<std::string> there;
  for (const auto& sibling : siblings)
    if (sibling.silence_s < last + kLeaderSilentPaces * settings_.pace_s &&
        (sent == sent_.end() || sent->second.controller != sibling.node))
      there.push_back(sibling.node);
  if (there.empty()) return reply(next_please());
  const auto& node = there[loop().random()() % there.size()];
  sent_[host] = {node, now};
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
}

wire::Load Desk::load() const {
  const auto siblings = ports_.relay.siblings();
  const bool takes = ports_.leading() ? spreads(siblings) : delegating(siblings);
  return {static_cast<std::uint32_t>(ours_.size()),
          takes ? static_cast<std::uint32_t>(settings_.capacity) : 0, settings_.zone};
}

// Names the controller that is to take this worker, if it is not this one.
bool Desk::turned_away(const wire::Report& report, const Siblings& siblings, const net::Reply& reply) {
  const double now = loop().now();
  const bool settled = ours_.contains(report.host);
  if (!spreads(siblings)) {
    ours_[report.host] = now;
    return false;
  }
  std::vector<delegation::Member> members{{settings_.node, settings_.zone, static_cast<double>(ours_.size()),
                                           settings_.capacity, ports_.leading()}};
  for (const auto& sibling : siblings)
    if (sibling.fresh && sibling.load.capacity > 0)
      members.push_back({sibling.node, sibling.load.zone, sibling.load.workers + sent_on_[sibling.node],
                         static_cast<double>(sibling.load.capacity), sibling.node == leader_});
  const auto target = delegation::choose(members, 0, report.rack_room, settled);
  // One that comes back could not reach the other.
  const auto sent = sent_.find(report.host);
  const bool came_back = sent != sent_.end() && now - sent->second.at < kRememberReports * settings_.report_s;
  if (target == 0 || (settled && moves_ < 1) || (!settled && came_back)) {
    ours_[report.host] = now;
    return false;
  }
  if (settled) moves_ -= 1;
  const auto& node = members[target].node;
  sent_[report.host] = {node, now};
  ours_.erase(report.host);
  sent_on_[node] += 1;
  reply({421, Json{{"controller", node}}.dump(), std::nullopt});
  return true;
}

void Desk::tidy() {
  tidy_timer_ = loop().after(settings_.pace_s / 2, guard([this] { tidy(); }));
  const double now = loop().now();
  std::erase_if(ours_,
                [&](const auto& entry) { return now - entry.second > kHereReports * settings_.report_s; });
  std::erase_if(sent_, [&](const auto& entry) {
    return now - entry.second.at > kRememberReports * settings_.report_s;
  });
  // By now what they tell includes those.
  sent_on_.clear();
  moves_ = std::max(1.0, kMoveShare * static_cast<double>(ours_.size()) / 2);
  const auto siblings = ports_.relay.siblings();
  const bool alone = cut_off(siblings);
  if (alone != std::exchange(cut_off_before_, alone)) {
    if (alone)
      log_->warn("workers: no sibling is heard, sending workers on to them");
    else
      log_->info("workers: siblings are heard again");
  }
  const bool spread = spreads(siblings);
  if (spread != std::exchange(spread_before_, spread))
    log_->info(spread ? "workers: spread over all controllers that are there"
                      : "workers: sent to the leader alone, a sibling does not take part");
}

void Desk::redirect(const wire::HostId& host, ReportCall& message) {
  const double now = loop().now();
  auto& sent = sent_[host];
  const bool came_back = sent.controller == leader_ && now - sent.at < kRememberReports * settings_.report_s;
  sent = {leader_, now};
  if (!came_back) return message.reply({421, Json{{"controller", leader_}}.dump(), std::nullopt});
  // It cannot reach the leader: pass its report on rather than send it round until its lease ends.
  log_->debug("worker {}: came back, passing its report on to {}", host.value, leader_);
  ports_.relay.tell(net::RelayCall{leader_, std::move(message.request), kRelayPaces * settings_.pace_s,
                                   guard([this, host, reply = std::move(message.reply)](Response response) {
                                     if (response.status == 200) return reply(std::move(response));
                                     sent_.erase(host);
                                     reply(next_please());
                                   })});
}

}  // namespace bankhill::workers
