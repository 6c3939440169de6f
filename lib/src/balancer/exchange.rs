//! Exchange of load reports with neighbouring hosts, and of broadcast messages with all hosts, by
//! UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::balancer::handle::LoadBalancer;
use crate::balancer::message_order::MessageOrder;
use crate::balancer::report::AcquiredJob;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::report::HostDatagram;
use crate::balancer::report::HostLoadReport;
use crate::balancer::report::UpstreamLoad;
use crate::balancer::report::is_same_work;
use crate::balancer::waiting::is_same_backlog;
use crate::collections::HashMap;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::host_views::HostViews;
use crate::host_views::ViewAges;
use crate::origins::HostTag;
use crate::origins::OriginKeeper;
use crate::origins::OriginQuery;
use crate::origins::REGISTRARS;
use crate::origins::StreamTag;
use crate::quotas::QuotaKeeper;
use crate::reach::ReachKeeper;
use crate::reach::ReachNotice;
use crate::reach::stranded_interval;
use crate::suspects::CrashKeeper;
use crate::suspects::CrashNews;
use crate::view_monitor::ViewRole;
use crate::view_news::NewsAssembly;
use crate::view_news::NewsPart;
use crate::view_news::ViewNews;
use crate::view_news::encode_news;

/// Interval of load reports while the load changes, with fewer than [`FAST_NEIGHBOURS`] neighbours.
const FAST_INTERVAL: Duration = Duration::from_millis(30);
/// Neighbours per [`FAST_INTERVAL`]: the interval grows with their number, so that the datagrams
/// per second that a host sends stay bounded.
const FAST_NEIGHBOURS: u32 = 24;
/// Interval of load reports while nothing changes; they also serve as heartbeats.
const IDLE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the addresses of the other hosts are read again.
const NEIGHBOUR_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an unchanged broadcast is repeated, as datagrams may be lost.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(350);
/// Time for which a host broadcasts that it is there, once it knows other hosts and after a gap in its
/// reports for which others may have announced it as silent.
const PRESENCE_TIME: Duration = Duration::from_secs(1);
/// Shortest gap between two reports after which the host broadcasts that it is there.
const MIN_REPORT_GAP: Duration = Duration::from_secs(1);
/// Position on the ring near which hosts hold the watches of all.
const TELLER_POSITION: f64 = 0.5;
/// Time after the start within which a host that hears no other one opens no watches.
const STARTING_TIME: Duration = Duration::from_secs(2);
/// The same while it knows of no other one.
const ALONE_TIME: Duration = Duration::from_millis(100);
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Shortest interval between two messages with this host's convictions to the same host.
const CONVICTIONS_INTERVAL: Duration = Duration::from_millis(300);
/// Bytes that a host may send at once in news of crashes to all hosts.
const NEWS_BURST_BYTES: f64 = 512.0 * 1024.0;
/// Bytes a second that a host may send in news of crashes on the mean.
const NEWS_BYTES_PER_SECOND: f64 = 8.0 * 1024.0;

/// Addresses of the other hosts, by what they receive.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    /// Hosts that share upstreams with this one and receive its load reports.
    pub neighbours: Vec<SocketAddr>,
    /// All other hosts, neighbours included; they receive its broadcasts.
    pub all: Vec<SocketAddr>,
    /// Addresses of all other hosts by their names.
    pub by_name: HashMap<String, SocketAddr>,
}

/// Sends the load reports and broadcasts of one host, and applies those of the others.
pub struct LoadExchange {
    socket: UdpSocket,
    balancer: LoadBalancer,
    report: HostLoadReport,
    announcement: HostAnnouncement,
    leaving: CancellationToken,
    peers: PeerAddresses,
    peers_read_at: Instant,
    reported_at: Instant,
    announced_at: Option<Instant>,
    /// When this host last became stranded, or reached upstreams again.
    stranded_changed_at: Option<Instant>,
    /// When the current run of uninterrupted reports to other hosts began; `None` before it knew any.
    present_since: Option<Instant>,
    crashes: CrashKeeper,
    /// When other hosts, by name, were last sent the convictions.
    convictions_sent: HashMap<String, Instant>,
    news_budget: NewsBudget,
    log: EventLog,
    origins: OriginKeeper,
    quotas: QuotaKeeper,
    /// When the hosts that may pace workspaces were last looked at.
    quota_fleet_at: Option<Instant>,
    reach: ReachKeeper,
    /// What this host last told of its reach, and when.
    reach_notice: ReachNotice,
    reach_told_at: Option<Instant>,
    views: HostViews,
    /// Shared secret of the hosts, once it is known.
    secret: Arc<OnceLock<String>>,
    /// Since when the host waits for others before it opens watches; `None` if it holds its own ones
    /// whatever others tell.
    started_at: Option<Instant>,
    news_assembly: NewsAssembly,
    /// When the last step began.
    stepped_at: Instant,
    /// Time before which all datagrams that have been received since the last step had not arrived.
    emptied_at: Instant,
    /// State of the limits that the last report told of.
    limit_revision: u64,
    /// Order of the messages that tell of the reach of other hosts.
    reach_order: MessageOrder,
}

/// Bytes that may be sent in news of crashes. A message may overdraw it; the next one waits until
/// it is refilled.
#[derive(Debug)]
struct NewsBudget {
    bytes: f64,
    refilled_at: Instant,
}

impl NewsBudget {
    fn new(now: Instant) -> Self {
        Self {
            bytes: NEWS_BURST_BYTES,
            refilled_at: now,
        }
    }

    fn is_spent(&mut self, now: Instant) -> bool {
        let refill = (now - self.refilled_at).as_secs_f64() * NEWS_BYTES_PER_SECOND;
        self.bytes = (self.bytes + refill).min(NEWS_BURST_BYTES);
        self.refilled_at = now;
        self.bytes <= 0.0
    }

    fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}

impl LoadExchange {
    /// Creates the exchange of `host`, whose process started at `incarnation`, in milliseconds
    /// since the Unix epoch. Once `leaving` is cancelled, its messages say that the host is
    /// leaving.
    pub fn new(
        socket: UdpSocket,
        balancer: LoadBalancer,
        host: String,
        incarnation: u64,
        leaving: CancellationToken,
    ) -> Self {
        let announcement = HostAnnouncement {
            host: host.clone(),
            incarnation,
            sequence: 0,
            is_leaving: false,
            acquired_jobs: Vec::new(),
            job_versions: Vec::new(),
            silent_hosts: Vec::new(),
            is_stranded: false,
        };
        let crashes = CrashKeeper::new(&host, EventLog::disabled());
        let quotas = QuotaKeeper::new(&host);
        let report = HostLoadReport {
            host,
            incarnation,
            sequence: 0,
            is_leaving: false,
            loads: Vec::new(),
            leaving: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            convictions: 0,
            limits: Vec::new(),
            reach: None,
            flows: Vec::new(),
            paces: Vec::new(),
        };
        Self {
            socket,
            balancer,
            report,
            announcement,
            leaving,
            peers: PeerAddresses::default(),
            peers_read_at: Instant::now(),
            reported_at: Instant::now(),
            announced_at: None,
            stranded_changed_at: None,
            present_since: None,
            crashes,
            convictions_sent: HashMap::default(),
            news_budget: NewsBudget::new(Instant::now()),
            log: EventLog::disabled(),
            origins: OriginKeeper::default(),
            quotas,
            quota_fleet_at: None,
            reach: ReachKeeper::default(),
            reach_notice: ReachNotice::default(),
            reach_told_at: None,
            views: HostViews::new(ViewAges::default(), 0, &EventLog::disabled()),
            secret: Arc::default(),
            started_at: None,
            news_assembly: NewsAssembly::default(),
            stepped_at: Instant::now(),
            emptied_at: Instant::now(),
            limit_revision: 0,
            reach_order: MessageOrder::default(),
        }
    }

    /// Writes changes of upstreams' limits to `log`.
    pub fn with_log(mut self, log: EventLog) -> Self {
        self.log = log;
        self
    }

    /// Also exchanges what `crashes` knows of crashes of upstreams.
    pub fn with_crashes(mut self, crashes: CrashKeeper) -> Self {
        self.crashes = crashes;
        self
    }

    /// Also exchanges what `origins` knows of the versions at which streams began.
    pub fn with_origins(mut self, origins: OriginKeeper) -> Self {
        self.origins = origins;
        self
    }

    /// Also exchanges what `quotas` asks and grants of requests of workspaces.
    pub fn with_quotas(mut self, quotas: QuotaKeeper) -> Self {
        self.quotas = quotas;
        self
    }

    /// Also exchanges what `reach` knows of the reach of hosts.
    pub fn with_reach(mut self, reach: ReachKeeper) -> Self {
        self.reach = reach;
        self
    }

    /// Also exchanges what proves `views`.
    pub fn with_views(mut self, views: HostViews) -> Self {
        self.views = views;
        self
    }

    /// Also exchanges changes of the views once `secret` is set, and has some hosts hold the watches of all.
    pub fn with_secret(mut self, secret: Arc<OnceLock<String>>) -> Self {
        self.views.set_role(ViewRole::Starting);
        self.started_at = Some(Instant::now());
        self.secret = secret;
        self
    }

    /// Exchanges datagrams with the hosts that `peers` returns, until the future is dropped.
    ///
    /// Broadcasts announce the jobs that `acquired_jobs` returns. For each broadcast received,
    /// `note_jobs` is called with the name of its sender and the jobs that the sender announces.
    pub async fn run(
        mut self,
        peers: impl Fn() -> PeerAddresses,
        acquired_jobs: impl Fn() -> Vec<AcquiredJob>,
        note_jobs: impl Fn(&str, &[AcquiredJob]),
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next = Instant::now();
        let crashes = self.crashes.clone();
        let (balancer, origins) = (self.balancer.clone(), self.origins.clone());
        let (views, quotas) = (self.views.clone(), self.quotas.clone());
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, sender)) = received {
                        self.receive(&buffer[..length], sender, &note_jobs).await;
                    }
                }
                () = crashes.news_added() => self.send_news(Instant::now()).await,
                () = balancer.grants_requested() => self.send_grant_requests().await,
                () = origins.messages_added() => self.send_origins().await,
                () = quotas.asks_added() => self.send_quota_asks().await,
                () = views.notice_added() => self.send_view_messages().await,
                () = tokio::time::sleep_until(next) => {
                    let now = Instant::now();
                    self.receive_arrived(&mut buffer, now, &note_jobs).await;
                    self.refresh_peers(now, &peers);
                    self.report_load(now).await;
                    self.announce(now, acquired_jobs()).await;
                    self.send_news(now).await;
                    if self.quotas.is_active() {
                        self.send_quota_asks().await;
                    }
                    self.send_view_messages().await;
                    let neighbours = self.peers.neighbours.len() as u32;
                    next = now + FAST_INTERVAL * (neighbours + 1).div_ceil(FAST_NEIGHBOURS);
                }
            }
        }
    }

    /// Handles all datagrams that have arrived.
    ///
    /// They may have waited long, as after this process was paused. Those that are received until the next
    /// step arrived after the step before this one.
    async fn receive_arrived(
        &mut self,
        buffer: &mut [u8],
        now: Instant,
        note_jobs: &impl Fn(&str, &[AcquiredJob]),
    ) {
        while let Ok((length, sender)) = self.socket.try_recv_from(buffer) {
            self.receive(&buffer[..length], sender, note_jobs).await;
        }
        self.emptied_at = std::mem::replace(&mut self.stepped_at, now);
    }

    async fn receive(
        &mut self,
        bytes: &[u8],
        sender: SocketAddr,
        note_jobs: &impl Fn(&str, &[AcquiredJob]),
    ) {
        let now = Instant::now();
        match HostDatagram::decode(bytes) {
            Some(HostDatagram::Load(report)) => {
                self.send_convictions(&report, sender, now).await;
                if self.is_newest_of_reach(&report.host, report.incarnation, report.sequence, now) {
                    let (host, loads) = (&report.host, &report.loads);
                    match &report.reach {
                        Some(notice) => self.reach.apply_report(host, loads, notice, now),
                        None => self.reach.apply_loads(host, loads, now),
                    }
                }
                let has_changed = self.balancer.state().apply_report(report, now);
                if has_changed {
                    self.balancer.notify_waiters();
                }
            }
            Some(HostDatagram::Announcement(announcement)) => {
                let is_newest = self.balancer.state().apply_announcement(&announcement, now);
                if is_newest {
                    note_jobs(&announcement.host, &announcement.jobs());
                }
                let (incarnation, sequence) = (announcement.incarnation, announcement.sequence);
                if self.is_newest_of_reach(&announcement.host, incarnation, sequence, now) {
                    let reach = &self.reach;
                    reach.apply_stranded(&announcement.host, announcement.is_stranded, now);
                }
            }
            Some(HostDatagram::Crashes(news)) => self.apply_news(news),
            Some(HostDatagram::GrantRequest(request)) => {
                let reply = self.balancer.state().answer_grant_request(&request, now);
                let reply = HostDatagram::GrantReply(reply);
                self.send(&reply, &[sender]).await;
            }
            Some(HostDatagram::GrantReply(reply)) => {
                let has_changed = self.balancer.state().apply_grant_reply(&reply, now);
                if has_changed {
                    self.balancer.notify_waiters();
                }
            }
            Some(HostDatagram::Origins(notice)) => self.origins.apply(&notice),
            Some(HostDatagram::TakeUp(notice)) => {
                if let Some(reply) = self.origins.apply_take_up(&notice) {
                    let to = self.address_of(notice.host).unwrap_or(sender);
                    self.send(&HostDatagram::TakeUpReply(reply), &[to]).await;
                }
            }
            Some(HostDatagram::TakeUpReply(reply)) => self.origins.apply_take_up_reply(&reply),
            Some(HostDatagram::OriginQuery(query)) => {
                let reply = self.origins.reply(query.tag, &self.report.host);
                self.send(&HostDatagram::OriginReply(reply), &[sender])
                    .await;
            }
            Some(HostDatagram::OriginReply(reply)) => self.origins.apply_reply(&reply),
            Some(HostDatagram::QuotaAsk(ask)) => {
                self.refresh_quota_fleet(now);
                if let Some(reply) = self.quotas.answer(&ask, now) {
                    self.send(&HostDatagram::QuotaReply(reply), &[sender]).await;
                }
            }
            Some(HostDatagram::QuotaReply(reply)) => self.quotas.apply_reply(&reply, now),
            Some(HostDatagram::View(notice)) => {
                self.views.apply(&notice, self.emptied_at);
                if let Some(query) = self.views.query(notice.view) {
                    self.send(&HostDatagram::ViewQuery(query), &[sender]).await;
                }
            }
            Some(HostDatagram::ViewQuery(query)) => {
                if let Some(news) = self.views.answer(&query) {
                    self.send_view_news(&news, &[sender]).await;
                }
            }
            Some(HostDatagram::ViewNews(part)) => self.apply_view_news(part),
            None => {}
        }
    }

    /// Whether a report or broadcast with this sequence number is the newest that tells of the reach of
    /// another host.
    fn is_newest_of_reach(
        &mut self,
        host: &str,
        incarnation: u64,
        sequence: u64,
        now: Instant,
    ) -> bool {
        let order = &mut self.reach_order;
        host != self.report.host && order.accept(host, incarnation, sequence, now)
    }

    fn apply_news(&self, news: CrashNews) {
        let fleet = self.balancer.state().fleet_size();
        self.crashes.apply_arrived(news, self.emptied_at, fleet);
    }

    /// Sends this host's convictions to the host that sent `report`, if that knows others.
    async fn send_convictions(&mut self, report: &HostLoadReport, to: SocketAddr, now: Instant) {
        if report.convictions == self.crashes.digest() {
            return;
        }
        let sent_at = self.convictions_sent.get(&report.host);
        if sent_at.is_some_and(|at| now - *at < CONVICTIONS_INTERVAL) {
            return;
        }
        if let Some(news) = self.crashes.convictions_notice() {
            self.convictions_sent
                .retain(|_, at| now - *at < CONVICTIONS_INTERVAL);
            self.convictions_sent.insert(report.host.clone(), now);
            self.send(&HostDatagram::Crashes(news), &[to]).await;
        }
    }

    async fn send_grant_requests(&self) {
        let requests = self.balancer.state().take_grant_requests();
        for (host, request) in requests {
            // Without an address, the request counts as one without a reply.
            if let Some(address) = self.peers.by_name.get(&host) {
                self.send(&HostDatagram::GrantRequest(request), &[*address])
                    .await;
            }
        }
    }

    /// Asks the hosts that pace workspaces, and tells them what this host owes and returns.
    async fn send_quota_asks(&mut self) {
        let now = Instant::now();
        self.refresh_quota_fleet(now);
        for (host, ask) in self.quotas.take_asks(now) {
            // Without an address, the question counts as one without a reply.
            if let Some(address) = self.peers.by_name.get(&host) {
                self.send(&HostDatagram::QuotaAsk(ask), &[*address]).await;
            }
        }
    }

    /// Looks at the hosts that may pace workspaces, if that is due.
    fn refresh_quota_fleet(&mut self, now: Instant) {
        let is_recent = |at: Instant| now - at < NEIGHBOUR_INTERVAL;
        if self.quota_fleet_at.is_some_and(is_recent) {
            return;
        }
        self.quota_fleet_at = Some(now);
        let mut names: Vec<&str> = self.peers.by_name.keys().map(String::as_str).collect();
        names.sort_unstable();
        let view = self.balancer.state().quota_fleet(&names, now);
        self.quotas.set_fleet(view);
    }

    /// Tells registrars of streams that have begun here, and asks them about others. Tells hosts that ran
    /// streams of their take-ups.
    async fn send_origins(&self) {
        for notice in self.origins.take_notices() {
            let tag = notice.origins.first().map(|origin| origin.0);
            let registrars = tag.map(|tag| self.registrars(tag));
            let notice = HostDatagram::Origins(notice);
            self.send(&notice, &registrars.unwrap_or_default()).await;
        }
        for (host, notice) in self.origins.take_take_ups() {
            // Without an address, the take-up is not confirmed.
            if let Some(address) = self.address_of(host) {
                self.send(&HostDatagram::TakeUp(notice), &[address]).await;
            }
        }
        for tag in self.origins.take_queries() {
            let registrars = self.registrars(tag);
            self.origins.note_asked(tag, registrars.len());
            let query = HostDatagram::OriginQuery(OriginQuery { tag });
            self.send(&query, &registrars).await;
        }
    }

    fn address_of(&self, host: HostTag) -> Option<SocketAddr> {
        let mut hosts = self.peers.by_name.iter();
        let (_, address) = hosts.find(|(name, _)| HostTag::new(name) == host)?;
        Some(*address)
    }

    fn registrars(&self, tag: StreamTag) -> Vec<SocketAddr> {
        let hosts = self.balancer.state().hosts_near(tag.position(), REGISTRARS);
        let addresses = hosts.iter().filter_map(|host| self.peers.by_name.get(host));
        addresses.copied().collect()
    }

    fn log_limit_changes(&self) {
        let changes = self.balancer.state().take_limit_changes();
        for (upstream, change) in changes {
            self.log.write(LogEvent::LimitChanged {
                upstream: upstream.map(|id| id.to_string()),
                per_second: change.limit.map(|limit| limit.per_second()),
            });
        }
    }

    /// Broadcasts what this host's calls about its views have brought.
    async fn send_view_messages(&self) {
        for messages in self.views.take_messages() {
            // Hosts that lack the changes have them before the notice says so.
            if let Some(news) = messages.news {
                self.send_view_news(&news, &self.peers.all).await;
            }
            if let Some(notice) = messages.notice {
                self.send(&HostDatagram::View(notice), &self.peers.all)
                    .await;
            }
        }
    }

    async fn send_view_news(&self, news: &ViewNews, addresses: &[SocketAddr]) {
        let Some(secret) = self.secret.get() else {
            return;
        };
        for part in encode_news(news, secret, rand::random()) {
            self.send(&HostDatagram::ViewNews(part), addresses).await;
        }
    }

    fn apply_view_news(&mut self, part: NewsPart) {
        let Some(secret) = self.secret.get() else {
            return;
        };
        if let Some((news, arrived)) = self.news_assembly.add(part, secret, self.emptied_at) {
            self.views.apply_news(news, arrived);
        }
    }

    /// Broadcasts what this host has found out about crashes.
    async fn send_news(&mut self, now: Instant) {
        if self.news_budget.is_spent(now) {
            return;
        }
        if let Some(news) = self.crashes.take_news() {
            let news = HostDatagram::Crashes(news);
            let sent = self.send(&news, &self.peers.all).await;
            self.news_budget.spend(sent);
        }
    }

    fn refresh_peers(&mut self, now: Instant, peers: &impl Fn() -> PeerAddresses) {
        // A host that has just started knows no other host, and looks again at every step until it
        // does.
        if self.peers.all.is_empty() || now - self.peers_read_at >= NEIGHBOUR_INTERVAL {
            let was_alone = self.peers.all.is_empty();
            let before = std::mem::replace(&mut self.peers, peers());
            if before.by_name != self.peers.by_name {
                // Other hosts may be the registrars now.
                self.origins.announce_again();
            }
            self.views.set_hosts(self.peers.all.len() + 1);
            self.refresh_role(now);
            self.reach.set_hosts(self.peers.by_name.clone());
            self.peers_read_at = now;
            if was_alone && !self.peers.all.is_empty() {
                self.present_since = Some(now);
            }
        }
    }

    /// Decides whether this host holds watches for all others, or is told by those that do.
    fn refresh_role(&self, now: Instant) {
        let Some(started_at) = self.started_at else {
            return;
        };
        let (rank, hears_any) = {
            let state = self.balancer.state();
            (state.rank_heard(TELLER_POSITION, now), state.hears_any(now))
        };
        let is_told = self.secret.get().is_some() && hears_any;
        let starting_time = match self.peers.all.is_empty() {
            true => ALONE_TIME,
            false => STARTING_TIME,
        };
        self.views.set_role(match is_told {
            true => ViewRole::of_rank(rank),
            false if now - started_at < starting_time => ViewRole::Starting,
            false => ViewRole::Alone,
        });
    }

    /// Sends a load report to the neighbours if the load has changed or [`IDLE_INTERVAL`] has
    /// passed.
    async fn report_load(&mut self, now: Instant) {
        self.log_limit_changes();
        let (loads, flows, leaving, ended, waiting, limit_revision) = {
            let mut state = self.balancer.state();
            state.expire_reports(now);
            (
                state.own_loads(now),
                state.own_flows().loads(),
                state.recent_leaving(now),
                state.recent_ended(now),
                state.own_waiting(now),
                state.limit_revision(),
            )
        };
        let is_leaving = self.leaving.is_cancelled();
        let convictions = self.crashes.digest();
        let reach = self.own_reach(&loads, is_leaving, now);
        let tells_reach = reach.is_news_after(&self.reach_notice);
        let has_changed = !is_same_work(&loads, &self.report.loads)
            || flows != self.report.flows
            || leaving != self.report.leaving
            || ended != self.report.ended
            || !is_same_backlog(&waiting, &self.report.waiting)
            || convictions != self.report.convictions
            || limit_revision != self.limit_revision
            || tells_reach
            || is_leaving != self.report.is_leaving;
        if !has_changed && now - self.reported_at < IDLE_INTERVAL {
            return;
        }
        if now - self.reported_at >= MIN_REPORT_GAP {
            self.present_since = Some(now);
        }
        self.reported_at = now;
        self.report.loads = loads;
        self.report.flows = flows;
        self.report.leaving = leaving;
        self.report.ended = ended;
        self.report.waiting = waiting;
        self.report.is_leaving = is_leaving;
        self.report.convictions = convictions;
        self.report.limits = self.balancer.state().limit_notices(now);
        let is_reach_due = self
            .reach_told_at
            .is_none_or(|at| now - at >= IDLE_INTERVAL);
        self.report.reach = (tells_reach || is_reach_due).then(|| {
            self.reach_told_at = Some(now);
            self.reach_notice = reach.clone();
            Box::new(reach)
        });
        let receivers = self.peers.neighbours.len();
        self.report.paces = self.balancer.state().take_pace_samples(receivers, now);
        self.limit_revision = limit_revision;
        self.report.sequence += 1;
        let report = HostDatagram::Load(self.report.clone());
        self.send(&report, &self.peers.neighbours).await;
    }

    /// What this host tells of its reach beside `loads`, which tell that upstreams are heard as well.
    fn own_reach(&self, loads: &[UpstreamLoad], is_leaving: bool, now: Instant) -> ReachNotice {
        let mut reach = self.reach.own_notice(now);
        if is_leaving {
            reach.reached.clear();
        }
        let is_told = |tag: &u32| loads.iter().any(|load| load.0 == *tag && load.3);
        reach.heard.retain(|tag| !is_told(tag));
        reach
    }

    /// Broadcasts the jobs that this host acquired, its silent neighbours and whether it is leaving:
    /// to all hosts at each change, and every [`ANNOUNCEMENT_INTERVAL`] while there is something to
    /// announce or the host has begun to report less than [`PRESENCE_TIME`] ago. That it is stranded is
    /// repeated for as long after a change, and then at an interval that grows with the number of hosts.
    async fn announce(&mut self, now: Instant, acquired_jobs: Vec<AcquiredJob>) {
        let is_leaving = self.leaving.is_cancelled();
        let silent_hosts = self.balancer.state().silent_neighbours(now);
        let is_stranded = self.reach.is_mostly_stranded();
        if is_stranded != self.announcement.is_stranded {
            self.stranded_changed_at = Some(now);
        }
        let announced_jobs = self.announcement.jobs();
        let is_unchanged = is_leaving == self.announcement.is_leaving
            && is_stranded == self.announcement.is_stranded
            && acquired_jobs.iter().all(|job| announced_jobs.contains(job))
            && silent_hosts
                .iter()
                .all(|host| self.announcement.silent_hosts.contains(host));
        self.announcement.is_leaving = is_leaving;
        self.announcement.set_jobs(acquired_jobs);
        self.announcement.silent_hosts = silent_hosts;
        self.announcement.is_stranded = is_stranded;
        let is_empty =
            self.announcement.acquired_jobs.is_empty() && self.announcement.silent_hosts.is_empty();
        let is_repeated = is_unchanged
            && self
                .announced_at
                .is_some_and(|at| now - at < ANNOUNCEMENT_INTERVAL);
        let is_new = self
            .present_since
            .is_some_and(|since| now - since < PRESENCE_TIME);
        let has_just_changed = self
            .stranded_changed_at
            .is_some_and(|at| now - at < PRESENCE_TIME);
        let interval = stranded_interval(self.peers.all.len());
        let is_due = self.announced_at.is_none_or(|at| now - at >= interval);
        let tells_reach = has_just_changed || (is_stranded && is_due);
        if (is_empty && !is_leaving && !is_new && !tells_reach) || is_repeated {
            return;
        }
        self.announced_at = Some(now);
        self.report.sequence += 1;
        self.announcement.sequence = self.report.sequence;
        let announcement = HostDatagram::Announcement(self.announcement.clone());
        self.send(&announcement, &self.peers.all).await;
    }

    /// Returns the number of bytes sent.
    async fn send(&self, datagram: &HostDatagram, addresses: &[SocketAddr]) -> usize {
        let bytes = datagram.encode();
        for address in addresses {
            // A failed send is not retried: the next report or repeated broadcast replaces it.
            let _ = self.socket.send_to(&bytes, address).await;
        }
        bytes.len() * addresses.len()
    }
}
