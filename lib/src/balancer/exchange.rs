//! Sending load reports to the neighbours and news to all hosts, and taking in theirs.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::balancer::report::HostAnnouncement;
use crate::balancer::report::HostDatagram;
use crate::balancer::report::HostLoadReport;
use crate::balancer::report::is_same_work;
use crate::balancer::shared::LoadBalancer;

/// Time between two reports while the load changes, with up to [`FAST_NEIGHBOURS`] neighbours.
const FAST_INTERVAL: Duration = Duration::from_millis(30);
/// Neighbours that can report at the fast interval; more of them report more slowly.
const FAST_NEIGHBOURS: u32 = 24;
/// Time between two reports while nothing changes.
const QUIET_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two looks at which hosts are neighbours.
const NEIGHBOUR_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which the same news are told again, as datagrams may be lost.
const NEWS_REPEAT: Duration = Duration::from_millis(350);
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Addresses of the other hosts.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    /// Hosts that share upstreams with this one.
    pub neighbours: Vec<SocketAddr>,
    /// All other hosts, neighbours included.
    pub all: Vec<SocketAddr>,
}

/// Exchanges load reports and news of one host.
pub struct LoadExchange {
    socket: UdpSocket,
    places: LoadBalancer,
    report: HostLoadReport,
    news: HostAnnouncement,
    leaving: CancellationToken,
    peers: PeerAddresses,
    peers_found: Instant,
    reported: Instant,
    told: Option<Instant>,
}

impl LoadExchange {
    /// Returns an exchange for the process `incarnation` of `host`, which is about to stop once
    /// `leaving` is cancelled.
    pub fn new(
        socket: UdpSocket,
        places: LoadBalancer,
        host: String,
        incarnation: u64,
        leaving: CancellationToken,
    ) -> Self {
        let news = HostAnnouncement {
            host: host.clone(),
            is_leaving: false,
            new_jobs: Vec::new(),
            silent: Vec::new(),
        };
        let report = HostLoadReport {
            host,
            incarnation,
            number: 0,
            is_leaving: false,
            loads: Vec::new(),
            leaving: Vec::new(),
        };
        Self {
            socket,
            places,
            report,
            news,
            leaving,
            peers: PeerAddresses::default(),
            peers_found: Instant::now(),
            reported: Instant::now(),
            told: None,
        }
    }

    /// Exchanges datagrams with the hosts that `peers` returns, without end. News name the jobs
    /// that `new_jobs` returns; `note_jobs` takes the name of another host and its new jobs.
    pub async fn run(
        mut self,
        peers: impl Fn() -> PeerAddresses,
        new_jobs: impl Fn() -> Vec<String>,
        note_jobs: impl Fn(&str, &[String]),
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut next = Instant::now();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.take(&buffer[..length], &note_jobs);
                    }
                }
                () = tokio::time::sleep_until(next) => {
                    let now = Instant::now();
                    self.find_peers(now, &peers);
                    self.report_load(now).await;
                    self.tell_news(now, new_jobs()).await;
                    let neighbours = self.peers.neighbours.len() as u32;
                    next = now + FAST_INTERVAL * (neighbours + 1).div_ceil(FAST_NEIGHBOURS);
                }
            }
        }
    }

    fn take(&self, bytes: &[u8], note_jobs: &impl Fn(&str, &[String])) {
        let now = Instant::now();
        match HostDatagram::decode(bytes) {
            Some(HostDatagram::Load(report)) => {
                let has_changed = self.places.book().hear(report, now);
                if has_changed {
                    self.places.wake();
                }
            }
            Some(HostDatagram::News(news)) => {
                note_jobs(&news.host, &news.new_jobs);
                self.places.book().apply_announcement(&news, now);
            }
            None => {}
        }
    }

    fn find_peers(&mut self, now: Instant, peers: &impl Fn() -> PeerAddresses) {
        // A host that has just started knows none at first.
        if self.peers.all.is_empty() || now - self.peers_found >= NEIGHBOUR_INTERVAL {
            self.peers = peers();
            self.peers_found = now;
        }
    }

    /// Reports the load to the neighbours if it has changed, or from time to time.
    async fn report_load(&mut self, now: Instant) {
        let (loads, leaving) = {
            let mut book = self.places.book();
            book.forget_silent(now);
            (book.own_loads(now), book.leaving_news(now))
        };
        let is_leaving = self.leaving.is_cancelled();
        let is_news = !is_same_work(&loads, &self.report.loads)
            || leaving != self.report.leaving
            || is_leaving != self.report.is_leaving;
        if !is_news && now - self.reported < QUIET_INTERVAL {
            return;
        }
        self.reported = now;
        self.report.loads = loads;
        self.report.leaving = leaving;
        self.report.is_leaving = is_leaving;
        self.report.number += 1;
        let report = HostDatagram::Load(self.report.clone());
        self.send(&report, &self.peers.neighbours).await;
    }

    /// Tells all hosts what is new, and again for as long as it is.
    async fn tell_news(&mut self, now: Instant, new_jobs: Vec<String>) {
        let is_leaving = self.leaving.is_cancelled();
        let silent = self.places.book().silent_neighbours(now);
        let is_known = is_leaving == self.news.is_leaving
            && new_jobs.iter().all(|job| self.news.new_jobs.contains(job))
            && silent.iter().all(|host| self.news.silent.contains(host));
        self.news.is_leaving = is_leaving;
        self.news.new_jobs = new_jobs;
        self.news.silent = silent;
        let is_empty = self.news.new_jobs.is_empty() && self.news.silent.is_empty();
        let is_told = is_known && self.told.is_some_and(|at| now - at < NEWS_REPEAT);
        if (is_empty && !is_leaving) || is_told {
            return;
        }
        self.told = Some(now);
        let news = HostDatagram::News(self.news.clone());
        self.send(&news, &self.peers.all).await;
    }

    async fn send(&self, datagram: &HostDatagram, addresses: &[SocketAddr]) {
        let bytes = datagram.encode();
        for address in addresses {
            // A report that is not sent is replaced by the next one.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }
}
