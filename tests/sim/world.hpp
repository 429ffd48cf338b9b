// A simulated site: several controllers with stand-ins for state service, cloud, workers, users and the
// network between them. Everything random comes from one seed; the rules are checked after each step.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "app/node.hpp"
#include "app/settings.hpp"
#include "net/rate_limit.hpp"

namespace bankhill::sim {

class World;

// Clock, timers and posts of one controller; all stop when the controller does.
class SimLoop final : public runtime::Loop {
 public:
  SimLoop(World& world, int node, double drift, std::uint64_t seed);
  ~SimLoop() override { *alive_ = false; }
  double now() const override;
  double wall() const override;
  void post(std::function<void()> work) override;
  runtime::Timer after(double seconds, std::function<void()> work) override;
  std::mt19937_64& random() override { return random_; }
  std::shared_ptr<bool> alive() const { return alive_; }

 private:
  World& world_;
  int node_;
  double drift_;
  double skew_;  // of its time of day
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct SimTask {
  wire::TryNo try_no;
  wire::MemberPhase phase = wire::MemberPhase::pulling;
  wire::ExitCause cause = wire::ExitCause::none;
  double ends = 0;
  double ordered = 0;  // when the order that started it left its controller
};

struct SimMachine {
  std::string host;
  std::string flavor;
  std::string zone;
  bool spot = false;
  bool up = false;
  bool dead = false;
  double born = 0;
  double hung_until = 0;
  double deaf_until = 0;  // its reports arrive, answers and commands do not
  double mute_since = 0;  // it reaches no controller; commands reach it
  double mute_until = 0;
  double taken_at = 0;  // 0: not warned
  bool sick = false;
  double up_since = 0;
  bool listed = false;  // by the cloud at some time
  double owned_at = 0;  // when it was last recorded, or could not be
  std::uint64_t tenure = 1;
  std::uint64_t counter = 0;
  std::uint64_t fence = 0;
  double lease_from = 0;
  double pending_from = 0;  // sending of the report whose answer waits in the hanging machine's socket
  int node = 0;             // reports to
  bool in_flight = false;
  bool report_wanted = false;
  double last_report = -1;
  std::uint64_t exchange = 0;
  std::map<wire::MemberId, SimTask> tasks;
  std::set<std::string> images;
  bool within_lease(double now, double lease_s) const;
  // A machine that hangs may go on at any moment within its lease, not after it: its tasks are there until
  // then, and end with it also where the hang hides it. An answer that came while it hangs, and that it still
  // takes when it goes on, lengthens the lease from the moment it came.
  bool on(const wire::MemberId& member, double now, double lease_s) const;
};

struct SimJob {
  wire::JobSpec spec;
  double run_s = 0;
  double longer = 1;  // each further task takes so many times the one before
  bool submitted = false;
  bool accepted = false;
  bool cancel_asked = false;
  bool cancel_started = false;
  bool told_done = false;
  double told_done_at = 0;
  double told_cancelled = 0;  // 0: not
  double created = 0;
  double begun = 0;            // when its first task started; 0: not
  std::uint32_t starts = 0;    // of its tasks
  bool broken = false;         // fails everywhere
  bool kept = false;           // never cancelled
  bool late = false;           // submitted when all that it waits for is over
  bool cancel_at_end = false;  // its user cancels it about when its last task completes
  std::set<std::uint32_t> completed;
  // When its user last had an answer that counts; accepted at first.
  double status_told = 0;
  double submission_told = 0;
  // When the first answer of any controller that says so left for the user; 0: none has.
  double accepted_left = 0;
  double done_left = 0;
  double cancelled_left = 0;
  double completed_at = 0;  // when its last task ended; 0: not
};

struct StateKey {
  wire::Json data;
  std::uint64_t stamp = 0;
  std::uint64_t hold = 0;
};

struct Timing {  // of the workers, seconds
  double report_s = 3;
  double lease_s = 20;
  double cancel_s = 40;
};

// What troubles may be timed by.
enum class Moment {
  cancelled,  // a user was told so, by this controller
  won,        // this one's reign began
  committed,  // this one sent a transaction
  ordered,    // this one sent a machine orders, directly or as an answer
  exited      // a machine told this one that a task has ended
};

class World {
 public:
  // `controllers`: as many, up to ten; 0 when real processes take their place (see the smoke test). By
  // default three or five, by the seed.
  explicit World(std::uint64_t seed) : World(seed, seed % 2 == 0 ? 5 : 3) {}
  World(std::uint64_t seed, int controllers, Timing timing = {});
  ~World();

  // Ways to controllers and machines outside the simulation.
  std::function<void(int node, net::Request, net::Reply)> to_node;
  std::function<std::string(const std::string& host)> address_of;
  std::function<void(Moment, int node)> on_moment;  // called in the middle of the step
  void serve_state(const net::Request& request, net::Reply reply);
  void serve_cloud(const net::Request& request, const net::Reply& reply) { reply(cloud_call(request)); }
  net::Response serve_machine(const std::string& host, const net::Request& request);

  double now() const { return now_; }
  void at(double time, std::function<void()> work);
  void run(double until);

  // Faults.
  void crash(int node, double restart_after);
  // The controller stands still while its clocks run on: from the middle of its next step, so that what that
  // step sends after its last look at the clock goes out when it wakes. Messages and timers wait for it.
  void freeze(int node, double seconds) { freezes_[node].pending = seconds; }
  void cut(const std::string& a, const std::string& b, double seconds, bool hold);
  // The controller loses the state service and the other controllers; users and workers reach it.
  void isolate(int node, double seconds, bool hold = false);
  // The workers of a zone and one controller reach each other, users and nothing else.
  void cut_zone(const std::string& zone, int node, double seconds, bool hold = false) {
    zone_cut_ = {zone, node, {now_ + seconds, hold}};
  }
  // The cloud has no machines in this zone.
  void zone_stockout(const std::string& zone, double seconds) { zone_out_until_[zone] = now_ + seconds; }
  void kill_zone(const std::string& zone, double share);
  void state_outage(double seconds) { state_down_until_ = now_ + seconds; }
  void refuse(int node, double seconds) { refused_until_[node] = now_ + seconds; }
  // This part of the transactions gets no answer and is carried out later, after newer ones.
  void late_writes(double share, double seconds) {
    late_share_ = share;
    late_until_ = now_ + seconds;
    late_at_once_ = false;
  }
  // The same, but carried out at once: only the answers are lost.
  void lost_answers(double share, double seconds) {
    late_writes(share, seconds);
    late_at_once_ = true;
  }
  // Requests to the state service take so long, each half of it before or after they are carried out.
  void slow_state(double from_s, double to_s, double seconds) {
    slow_from_ = from_s;
    slow_to_ = to_s;
    slow_until_ = now_ + seconds;
  }
  void cloud_outage(double seconds) { cloud_down_until_ = now_ + seconds; }
  void kill_machine();
  void kill_machines(double share);
  void hang_machines(double share, double seconds);
  void hang_machine(double seconds);
  // Users call off so many jobs that run and have long to go, within a fifth of a second; up to eight of the
  // machines that they run on hang for so long from now (0: none). Says how many jobs.
  int cancel_now(int count, double hang_s = 0);
  // Reports of these machines arrive; answers to them and direct requests are lost: a share of all machines,
  // or of one zone's. One: any that is up.
  void deafen_machines(double share, double seconds, const std::string& zone = "");
  void deafen_machine(double seconds);
  // These machines reach no controller; direct requests reach them, and are answered.
  void mute_machines(double share, double seconds, const std::string& zone = "");
  // Reports reach this controller; what it answers, and its direct requests to machines, is lost.
  void mute(int node, double seconds) { mute_until_[node] = now_ + seconds; }
  void sicken_machine();
  void reclaim_wave(double share, double notice);
  // Copies of so large a part of the recent reports, and of direct answers, come at any controllers within
  // the next seconds.
  void copies_come(double share, double within_s);
  void copy_comes(int node, const net::Request& report);  // its answer reaches nobody
  // Copies of so large a part of the reports and direct answers sent from `since` on (also a time to come)
  // are kept until somebody wins next. Then they come there, or at every controller, within so many seconds:
  // half of them at once, when the winner may not know of it yet.
  void copies_at_win(double share, double since, double within_s, bool everywhere);
  // This part of the reports of the next seconds arrives nowhere until so long after the next win, and then
  // at the winner, which has acted meanwhile. Their workers have gone on to other controllers by then.
  void hold_reports(double share, double for_s, double after_win_s);
  // A controller that is back within a second, perhaps twice, while what it sent before may still be on its
  // way.
  void back_at_once(int node);
  // A machine that was away for a moment, and its tasks with it: in the next session, which may count from
  // the start and know no token, or, against the order that the protocol gives of reports, as on its first
  // day.
  enum class Back { next_session, counts_anew, first_day };
  void restart_machine(const std::string& host, double away_s, Back how);
  void restart_machines(double share);
  std::string stray_machine(const std::string& zone);  // that nobody's answered request rented
  void tighten() { limits_ = settings_next_; }         // the state service lowers its limits
  void spot_stockout(double seconds) { no_spot_until_ = now_ + seconds; }
  void random_fault();
  void heal();

  // Users.
  void submit_random();
  SimJob random_job();
  void submit_pipeline();
  std::string submit(SimJob job);
  // Whether a job that it needs, directly or through others, was called cancelled more than `ago` before
  // `when`.
  bool doomed(const SimJob& job, double when, double ago = 0) const;
  net::Response ask(int node, net::Request request);  // runs until it is answered, five seconds at most
  void cancel(const std::string& uid) { user_cancel(uid); }
  // Their habits (sim/users.cpp), for so long. Within milliseconds after a job was accepted, ended or was
  // called cancelled its user asks at all controllers, again and again, and submits it again; this share of
  // the users cancels at once.
  void close_looks(double seconds, double cancelled_at_once = 0.2);
  // Unfinished jobs are submitted again, jobs that are done are cancelled, and others come that fit no
  // machine or team's limit, or lack a field or have an invalid one.
  void odd_requests(double seconds);
  // This share of the jobs that end is called off so shortly before or after it.
  void cancel_at_end(double share, double seconds, double within_s = 0.05);
  // No trouble: 3 s after a job's last task has ended every controller knows that it is over.
  bool punctual = false;
  std::uint64_t looks() const { return looks_; }  // questions of close looks
  std::uint64_t odd_answered() const { return odd_answered_; }
  std::uint64_t met_ends() const { return met_ends_; }  // cancellations at the moment of an end
  // Requests to the state service, those over its limit too, in each second.
  const std::map<int, std::uint64_t>& state_requests() const { return state_requests_; }
  const std::map<int, std::uint64_t>& state_puts() const { return state_puts_; }  // also refused ones
  std::uint64_t requests_refused = 0;                                             // for the limit of requests

  net::Request report_now(const std::string& host) const;  // what the machine would report

  // At a day's end on which what was wanted could be had: at least `share` of each class, each team and each
  // class's largest tenth (by tasks, those above the median) was served, and these began within that time.
  // Arrays are served when they are done, services when they began; cancelled and faulty jobs do not count.
  void check_served(double begin_within_s = 240, double share = 0.5);

  // For the tests of the checker itself.
  void force_start(const wire::MemberId& member, std::size_t machine);
  std::uint64_t too_large_refused = 0;  // transactions
  std::uint64_t puts_refused = 0;       // beyond the limit of writes
  std::uint64_t service_stops = 0;      // services stopped by command while nobody had cancelled them
  std::vector<std::string>& broken() { return broken_; }
  std::map<std::string, SimMachine>& machines() { return machines_; }
  std::map<std::string, SimJob>& jobs() { return jobs_; }
  std::mt19937_64& random() { return random_; }
  double uniform(double a, double b) { return std::uniform_real_distribution<double>(a, b)(random_); }
  int pick(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
  bool chance(double p) { return uniform(0, 1) < p; }
  int leaders() const;
  int leader() const;                            // -1: none
  const policy::Policy* policy(int node) const;  // in force there; nothing: it is down
  // Somebody writes to the state service, on no condition; `checked`: a controller that breaks the rules.
  void write(const std::string& key, wire::Json data, bool checked = false);
  std::uint64_t steps() const { return steps_; }
  std::uint64_t starts() const { return starts_; }
  // Tasks that started after a user was told that their job is cancelled.
  struct CancelledStarts {
    std::uint64_t all = 0;
    std::uint64_t ordered_after = 0;  // their order left its controller after that too
    // And nothing had kept that controller from knowing since: neither the state service nor the network.
    std::uint64_t knowable = 0;
    CancelledStarts& operator+=(const CancelledStarts& other);
  };
  const CancelledStarts& cancelled_starts() const { return cancelled_starts_; }
  std::set<std::string> awaited_starts() const;           // machines that direct starts are on their way to
  std::uint64_t delegated() const { return delegated_; }  // reports that went through delegates

  int nodes() const { return node_count_; }
  static constexpr int kNodes = 3;  // real processes of the smoke test

  // Knobs.
  bool announced = true;  // controllers that boot are told of the limits to come
  bool spreading = true;  // controllers that boot take part in delegation; else they are as 0.3.0
  std::map<int, std::string> operator_files;  // YAML: of controllers that boot
  std::set<int> before_policies;              // controllers that boot know nothing of policies and cutoffs
  double clock_error = 0;           // by which the time of day of a controller that boots is wrong at most
  std::size_t states_kept = 20000;  // final states that controllers that boot keep in memory
  int most_machines = 14;           // that the cloud has
  bool large_offered = true;        // by the cloud, beside the small ones
  double report_delay = 0;          // on the way to the controllers
  double quick_boots = 0;           // this part of what is rented is up within two seconds
  // The cloud's list is late by up to twice its lag, may be older than the one before it, and shows what is
  // gone and as booting what is up.
  bool lists_lag = false;
  double unowned_limit_s = 0;  // in which a machine that is there and hears is recorded; 0: not checked
  std::map<std::string, std::uint64_t> lost_starts;  // by machine: orders to start that never arrived
  int deaf_node = -1;                                // its watches of the state service are not answered
  int unread_node = -1;                              // its reads of single keys are refused
  std::set<std::string> unread;                      // keys whose reads are refused
  bool no_puts = false;                              // the limit of writes is used up
  double at_limit = 0;                               // part of the requests that are refused for the limit
  int unanswered_puts = 0;                           // of jobs: so many are executed without an answer
  // The next transaction with a write that it is true of gets no answer and waits in `held_back`.
  std::function<bool(const wire::Json& write)> hold_next;
  std::optional<wire::Json> held_back;
  // The next transaction with a write that it is true of is carried out at once, and its answer is lost.
  std::function<bool(const wire::Json& write)> lose_next;
  std::uint64_t lost_answers_count = 0;  // of those that took effect
  int lost_by = -1;                      // who sent the last of them
  net::Response carry_out_held() { return commit(*std::exchange(held_back, std::nullopt)); }
  std::uint64_t late_executed = 0;  // transactions without an answer, carried out late
  bool unchecked_records = false;   // for starts that no controller ordered
  // Class -> machines that make one replica; what controllers that boot while `spanning` know of it.
  std::map<std::string, std::uint32_t> spans;
  bool spanning = true;
  bool split_seen = false;  // also where the leader knows no replicas
  double half_limit_s = 0;  // in which a replica that is partly there is whole or gone; 0: not checked
  // Preemption: tasks stopped by command that nobody had cancelled; those among them that made room for the
  // same class twice in a row; and those after which nothing above them began on their machine within this
  // time.
  double room_used_within_s = 20;
  std::uint64_t made_room = 0;
  std::uint64_t made_room_again = 0;
  std::uint64_t made_room_in_vain = 0;
  // Starts accepted by machines that had been mute for most of a lease: their tasks are lost with it.
  std::uint64_t starts_on_mute = 0;
  double waited_most_s = 0;    // beside room, with all well: the most that was seen (rule `stranded`)
  bool moves_checked = false;  // replicas are stopped by nothing but moves: a part of a job's at a time
  // Keys whose writes are refused as malformed.
  std::set<std::string> untaken;
  // Seconds by which this message is late: of controllers, "state", machines (commands and their answers)
  // and "workers-" with a zone (reports and theirs); the body is empty between controllers.
  std::function<double(const std::string& from, const std::string& to, const std::string& body)> held_up;
  // Whether all members of a replica run, and how many replicas of the job are whole.
  bool whole(const std::string& uid, std::uint32_t replica) const;
  std::uint32_t whole(const std::string& uid) const;
  bool recorded(const std::string& host) const;
  // Writes a key as no controller would, or deletes it; their watches see it.
  void tamper(const std::string& key, std::optional<wire::Json> data);
  const std::map<std::string, StateKey>& keys() const { return keys_; }
  std::uint64_t copies() const { return copies_delivered_; }
  std::uint64_t late_reports() const { return late_reports_; }  // of hold_reports

 private:
  friend class SimLoop;
  friend class SimClient;
  friend class SimPeers;

  struct Event {
    double time;
    std::uint64_t order;
    std::function<void()> work;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  struct Controller;
  struct Link {
    double until = 0;
    bool hold = false;
  };

  struct ZoneCut {
    std::string zone;
    int node = -1;  // within
    Link link;
  };
  bool within_cut_zone(const std::string& end) const;

  struct Freeze {
    double pending = 0;  // seconds from its next step
    double until = 0;
    double out_delay = 0;  // of what the present step sends
  };
  void boot_node(int node);
  // Runs work of a controller; later if it stands still.
  void on_node(int node, std::function<void()> work);
  double out_delay(const std::string& from) const;
  void tell(Moment moment, int node) const {
    if (on_moment) on_moment(moment, node);
  }
  // Carries a message; it arrives late or never when the link is cut.
  void carry(const std::string& from, const std::string& to, double latency, std::function<void()> deliver,
             const std::string& body = "");
  const Link* link(const std::string& a, const std::string& b) const;
  void http(int node, const std::string& address, net::Request request, net::Reply reply);

  net::Response state_call(int node, const net::Request& request, const net::Reply& later, bool& answered);
  net::Response commit(const wire::Json& body);
  bool unanswered(int node, const net::Request& request);
  bool too_large(const wire::Json& body) const;
  void state_changed();
  wire::Json news(std::uint64_t after) const;
  void expire_holds();
  void drop_hold(std::uint64_t hold);

  net::Response cloud_call(const net::Request& request);

  void boot_machine(const std::string& host);
  void machine_step(const std::string& host);
  wire::Report report_of(const SimMachine& machine) const;
  // `sent`: when they left their controller.
  void execute(SimMachine& machine, const std::vector<wire::Order>& orders, double sent);
  void start(SimMachine& machine, const wire::MemberId& member, wire::TryNo try_no, double ordered);
  void image_ready(const std::string& host, const wire::MemberId& member, std::uint64_t try_no);
  void task_ended(const std::string& host, const wire::MemberId& member, std::uint64_t try_no);
  void want_report(SimMachine& machine);
  // Whether what this controller tells the machine is lost; counts the starts in it.
  bool unheard(int node, const std::string& host, const std::string& body);
  void send_report(SimMachine& machine);
  net::Response command(SimMachine& machine, const net::Request& request, double sent);
  void count_cancelled_start(const SimJob& job, double ordered);

  void keep_copy(const std::string& body);
  void won(int node);  // its transaction was carried out
  wire::Json cloud_list();
  SimMachine& add_machine(const std::string& flavor, const std::string& zone, bool spot);
  void erase_machine(const std::string& host);

  void user_call(const std::string& uid, net::Request request, double timeout,
                 std::function<void(net::Response)> done, int node = -1);
  void user_submit(const std::string& uid);
  void user_poll(const std::string& uid);
  void user_submit_again(const std::string& uid);
  void user_cancel(const std::string& uid);
  void answer_left(const net::Request& request, const net::Response& response, double asked);
  void look_closely(const std::string& uid, bool just_accepted);
  void look(const std::string& uid, net::Request request, int node);
  void odd_request();
  void repeat_unfinished();
  void withdraw_done();
  void submit_unfit();
  void completed(SimJob& job);
  void end_is_near(const SimJob& job, double ends);
  void ask_unknown();
  void wait_for_unknown();
  bool cancel_asked(const SimJob& job) const;
  void check_phase(SimJob& job, const net::Response& response, double asked);

  void violate(const std::string& rule, const std::string& what);
  void check_frame(int node, const wire::Frame& frame);
  void check_commit(const wire::Json& body);
  void check_forget(const SimMachine& machine, const wire::Order& order);
  void check_start(const SimMachine& machine, const wire::MemberId& member);
  std::uint32_t span(const wire::MemberId& member) const;  // 1: no replica that spans machines
  void check_replica_start(const SimMachine& machine, const wire::MemberId& member);
  void check_replica_stop(const wire::MemberId& member);
  void check_replicas();
  bool troubled() const;
  void check_forgotten();
  void check_owners();
  bool disturbed() const;
  bool room_beside(const SimJob& job, const std::map<std::string, double>& team_cores) const;
  void check_stranded();
  void note_stop(const SimMachine& machine, const wire::MemberId& member);
  void note_room_used(const SimMachine& machine, const wire::MemberId& member);
  void check_room_made();
  void check_step();
  void check_records();
  void check_policy(const wire::Json& body);
  void check_cutoffs();

  int node_count_;
  Timing timing_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t starts_ = 0;
  CancelledStarts cancelled_starts_;
  double step_troubled_at_ = 0;  // as troubled_at_, after each step
  std::uint64_t delegated_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::mt19937_64 random_;
  runtime::Log log_;
  app::Settings settings_;
  app::Settings settings_next_;
  app::Settings limits_;  // of the state service now
  std::optional<net::RateLimit> requests_;
  std::optional<net::RateLimit> puts_;
  std::optional<net::RateLimit> puts_next_;
  std::vector<std::unique_ptr<Controller>> nodes_;
  std::map<std::pair<std::string, std::string>, Link> links_;
  ZoneCut zone_cut_;
  std::map<std::string, double> zone_out_until_;

  std::map<std::string, StateKey> keys_;
  std::vector<std::pair<std::uint64_t, wire::Json>> history_;
  std::uint64_t epoch_ = 0;
  bool foreign_ = false;  // what is committed is not of our controllers
  std::uint64_t next_hold_ = 1;
  std::map<std::uint64_t, std::pair<double, double>> holds_;  // ttl, ends
  std::vector<std::function<void()>> watchers_;
  double state_down_until_ = 0;
  double late_share_ = 0;
  double late_until_ = 0;
  bool late_at_once_ = false;
  double slow_from_ = 0;
  double slow_to_ = 0;
  double slow_until_ = 0;
  bool state_was_down_ = false;
  double troubled_at_ = 0;  // when something between users, controllers and the state service last was broken
  std::map<int, double> refused_until_;
  std::map<int, double> mute_until_;
  std::map<int, Freeze> freezes_;

  double cloud_down_until_ = 0;
  double no_spot_until_ = 0;
  std::map<std::string, std::vector<std::string>> rentals_;
  std::map<std::string, std::optional<double>> cutoffs_;  // of each job, as first committed
  std::set<std::string> rentals_recorded_;                // names whose records were committed at some time
  int next_host_ = 0;
  int next_job_ = 0;
  std::map<std::string, SimMachine> machines_;
  std::map<std::string, double> gone_machines_;      // and since when
  std::deque<std::pair<double, std::string>> kept_;  // reports and direct answers, when they were sent
  std::uint64_t copies_delivered_ = 0;
  struct AtWin {  // copies to come
    double share = 0;
    double since = 0;
    double within_s = 0;
    bool everywhere = false;
  };
  std::vector<AtWin> at_win_;
  struct HeldReports {
    double share = 0;
    double until = 0;
    double after_win_s = 0;
    std::vector<std::string> bodies;
  };
  HeldReports held_reports_;
  std::uint64_t late_reports_ = 0;
  std::deque<std::pair<double, SimMachine>> lately_gone_;  // and when
  double next_owner_check_ = 0;
  int answering_ = -1;  // the controller whose answer a user reads
  std::map<std::string, SimJob> jobs_;
  struct DirectStart {  // on its way to a machine
    std::string host;
    wire::MemberId member;
    wire::TryNo try_no;
    std::uint64_t fence = 0;
    std::uint64_t tenure = 0;
  };
  std::map<std::uint64_t, DirectStart> direct_starts_;
  std::uint64_t next_direct_ = 0;
  double close_until_ = 0;
  double close_cancelled_ = 0;
  std::uint64_t looks_ = 0;
  double odd_until_ = 0;
  int next_odd_ = 0;
  std::uint64_t odd_answered_ = 0;
  double end_until_ = 0;
  double end_share_ = 0;
  double end_within_ = 0;
  std::uint64_t met_ends_ = 0;
  std::map<int, std::uint64_t> state_requests_;
  std::map<int, std::uint64_t> state_puts_;
  std::vector<std::string> broken_;
  using Replica = std::pair<std::string, std::uint32_t>;
  std::map<Replica, double> half_since_;
  std::set<Replica> on_move_;
  double next_replica_check_ = 0;
  double disturbed_at_ = 0;  // when anything of the site, its machines included, last was out of order
  std::set<std::string> failed_machines_;  // dead or sick
  double next_stranded_check_ = 0;
  struct Waits {  // a job beside room
    double since = 0;
    std::uint32_t starts = 0;
  };
  std::map<std::string, Waits> beside_room_;
  struct RoomMade {
    std::string host;
    wire::MemberId member;
    double at = 0;
  };
  std::deque<RoomMade> room_made_;                       // and not used yet
  std::map<wire::MemberId, std::string> made_room_for_;  // class and rank, the last time
};

// The broken rules, a line each.
std::string listing(const std::vector<std::string>& broken);

}  // namespace bankhill::sim
